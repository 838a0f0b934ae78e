/**
 * Random schedules: faults, moves and orders at given times of one run of the checker.
 */
import fc from "fast-check";

/** Number of processes in a run. */
export const PROCESS_COUNT = 6;
/** Number of shards of the run's only pool. */
export const SHARD_COUNT = 4;
/** Length of a run, in milliseconds of true time. */
export const RUN_MS = 6_000;
const EVENT_COUNT_MAX = 24;
/** Largest deviation of the rate of a process's clock from that of true time. */
const CLOCK_DRIFT_MAX = 0.02;

export enum EventKind {
  /** Pauses a process for a while. */
  Pause = "pause",
  /** Ends a process and later starts a new incarnation at its address. */
  Restart = "restart",
  /** Cuts the connection between two processes for a while. */
  Cut = "cut",
  /** Makes the log unavailable for a while. */
  LogOutage = "log-outage",
  /** Appends a move of a shard to another group; the append may be delayed. */
  Move = "move",
  /** Appends the creation of a lease group. */
  Group = "group",
  /** Makes a process surrender all its groups. */
  Surrender = "surrender",
  /** Ends a process permanently and declares it lost, as an operator would. */
  DeclareLost = "declare-lost",
  /** Sends work for a shard from its owner to the owner's backend server. */
  Order = "order",
}

/**
 * Event of a schedule; its kind decides which fields it uses. Times are in milliseconds of true time, and `process`,
 * `other` and `third` are indices of processes.
 */
export interface ScheduledEvent {
  kind: EventKind;
  at: number;
  process: number;
  other: number;
  third: number;
  shard: number;
  lastsMs: number;
}

/** Everything that determines a run. */
export interface Schedule {
  events: ScheduledEvent[];
  /** Rate of each process's clock relative to true time. */
  rates: number[];
  /** Whether the backend server of each process checks grants. */
  checksGrants: boolean[];
  /** Share of messages that are lost. */
  lossShare: number;
  /** Seed of random delays and losses. */
  seed: number;
}

const processArbitrary = fc.integer({ min: 0, max: PROCESS_COUNT - 1 });

const eventArbitrary: fc.Arbitrary<ScheduledEvent> = fc.record({
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
  process: processArbitrary,
  other: processArbitrary,
  third: processArbitrary,
  shard: fc.integer({ min: 0, max: SHARD_COUNT - 1 }),
  lastsMs: fc.integer({ min: 50, max: 2_500 }),
});

/** Generates random schedules, which shrink to fewer events and exact clocks. */
export const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
  events: fc.array(eventArbitrary, { minLength: 1, maxLength: EVENT_COUNT_MAX, size: "max" }),
  rates: fc.array(fc.constantFrom(1, 1, 1 - CLOCK_DRIFT_MAX, 1 + CLOCK_DRIFT_MAX), {
    minLength: PROCESS_COUNT,
    maxLength: PROCESS_COUNT,
  }),
  checksGrants: fc.array(fc.constantFrom(true, true, true, false), {
    minLength: PROCESS_COUNT,
    maxLength: PROCESS_COUNT,
  }),
  lossShare: fc.constantFrom(0, 0.05, 0.2),
  seed: fc.integer(),
});
