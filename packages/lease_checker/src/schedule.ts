/**
 * What can happen in one run of the checker: faults and moves at certain times.
 */
import fc from "fast-check";

/** Processes of a run. */
export const PROCESSES = 6;
/** Shards of the run's only pool. */
export const SHARDS = 4;
/** Length of a run, in milliseconds of true time. */
export const RUN_MS = 6_000;
const EVENTS_MAX = 24;
/** Largest deviation of a process's clock from true time, as a share. */
const DRIFT_MAX = 0.02;

/** Kinds of events. */
export enum EventKind {
  /** A process does nothing for a while and then goes on. */
  Pause = "pause",
  /** A process ends; a new one starts at its address. */
  Restart = "restart",
  /** Two processes cannot reach each other for a while. */
  Cut = "cut",
  /** The log takes and gives nothing for a while. */
  LogOutage = "log-outage",
  /** Somebody appends a move of a shard to another group, perhaps late. */
  Move = "move",
  /** Somebody appends a new group. */
  Group = "group",
  /** A process gives up all its groups. */
  Surrender = "surrender",
  /** A process ends for good, and an operator declares it lost. */
  DeclareLost = "declare-lost",
  /** The owner of a shard sends work to its backend server. */
  Order = "order",
}

/** One event of a schedule. Times are in milliseconds of true time. */
export interface ScheduledEvent {
  kind: EventKind;
  at: number;
  process: number;
  other: number;
  third: number;
  shard: number;
  lastsMs: number;
}

/** One run: its events, its clocks and the seed of its delays. */
export interface Schedule {
  events: ScheduledEvent[];
  /** Rate of each process's clock against true time. */
  rates: number[];
  /** For each process, whether the backend server beside it checks grants. */
  checksGrants: boolean[];
  /** Share of the messages that are lost. */
  lossShare: number;
  /** Seed of delays and losses. */
  seed: number;
}

const process = fc.integer({ min: 0, max: PROCESSES - 1 });

const event: fc.Arbitrary<ScheduledEvent> = fc.record({
  kind: fc.oneof(
    { weight: 3, arbitrary: fc.constant(EventKind.Pause) },
    { weight: 2, arbitrary: fc.constant(EventKind.Restart) },
    { weight: 3, arbitrary: fc.constant(EventKind.Cut) },
    { weight: 1, arbitrary: fc.constant(EventKind.LogOutage) },
    { weight: 4, arbitrary: fc.constant(EventKind.Move) },
    { weight: 2, arbitrary: fc.constant(EventKind.Group) },
    { weight: 1, arbitrary: fc.constant(EventKind.Surrender) },
    { weight: 1, arbitrary: fc.constant(EventKind.DeclareLost) },
    { weight: 10, arbitrary: fc.constant(EventKind.Order) },
  ),
  at: fc.integer({ min: 0, max: RUN_MS * 0.8 }),
  process,
  other: process,
  third: process,
  shard: fc.integer({ min: 0, max: SHARDS - 1 }),
  lastsMs: fc.integer({ min: 50, max: 2_500 }),
});

/** Random schedules; they shrink to fewer events and perfect clocks. */
export const schedules: fc.Arbitrary<Schedule> = fc.record({
  events: fc.array(event, { minLength: 1, maxLength: EVENTS_MAX, size: "max" }),
  rates: fc.array(fc.constantFrom(1, 1, 1 - DRIFT_MAX, 1 + DRIFT_MAX), {
    minLength: PROCESSES,
    maxLength: PROCESSES,
  }),
  checksGrants: fc.array(fc.constantFrom(true, true, true, false), {
    minLength: PROCESSES,
    maxLength: PROCESSES,
  }),
  lossShare: fc.constantFrom(0, 0.05, 0.2),
  seed: fc.integer(),
});
