/**
 * What happened in a soak: events, unplanned disruptions and findings.
 */
import { now } from "@bulrushwood/types";

/** Rule that a finding breaks. */
export enum Rule {
  /** A process ended by itself, or does not start. */
  Fault = "FAULT",
  /** A request that was read ended without a response. */
  Lost = "LOST",
  /** Two servers held the same keys, or an epoch went back. */
  Owner = "OWNER",
  /** A response of another request, a repeated run, or a response that contradicts the run. */
  Route = "ROUTE",
  /** A request was handled as only an older manifest allows. */
  Config = "CONFIG",
  /** A request reached a server long after a daemon had acknowledged that it leaves. */
  Drain = "DRAIN",
  /** A request reached a server long after the evacuation of its data centre was acknowledged. */
  Evacuation = "EVAC",
}

/** Shortest stall of the stand-ins that is recorded, in milliseconds. */
const STALL_MS_MIN = 50;
/** Stall of the stand-ins from which times that were measured beside it are not judged, in milliseconds. */
const LONG_STALL_MS = 500;

/** Event at a machine, or at all machines if it names none. */
export interface Event {
  at: number;
  machine: string | undefined;
  what: string;
}

/** A broken rule. */
export interface Finding {
  rule: Rule;
  at: number;
  /** Machines that took part. */
  machines: string[];
  detail: string;
}

/** Span in which rules that allow for unplanned disruptions do not hold at a machine. */
interface Disruption {
  /** Undefined if all machines are disrupted. */
  machine: string | undefined;
  from: number;
  /** Infinite until the disruption ends. */
  until: number;
  /** Whether only the path to the store is disrupted. */
  isOfStore: boolean;
}

interface Stall {
  from: number;
  until: number;
}

/** Span in which the servers of some machines must get nothing, from the acknowledgement of an evacuation on. */
export interface EvacuationSpan {
  machines: string[];
  from: number;
  /** Infinite until the evacuation ends. */
  until: number;
}

/** Record of one soak. Times are in milliseconds of the process's clock. */
export class History {
  readonly startedAt = now();
  readonly events: Event[] = [];
  readonly findings: Finding[] = [];
  /** When the leave of each server was first acknowledged, by its id. */
  readonly leaveAcks = new Map<string, number>();
  readonly evacuations: EvacuationSpan[] = [];
  readonly #disruptions: Disruption[] = [];
  /** Spans in which the soak's own process did not run, so that its times are wrong. */
  readonly stalls: Stall[] = [];

  /** Records that the process of the stand-ins was due to run and did not; what it saw then may have come earlier. */
  recordStall(from: number, until: number): void {
    if (until - from > STALL_MS_MIN) {
      this.stalls.push({ from, until });
      this.add(`the soak's own process stalled for ${Math.round(until - from)} ms`);
    }
  }

  /** Returns for how long the stand-ins have been stalled at a time or shortly before, in milliseconds. */
  stalledMs(from: number, until: number): number {
    return this.stalls.filter((stall) => stall.from <= until && stall.until >= from)
      .reduce((sum, stall) => sum + stall.until - stall.from, 0);
  }

  /** Adds an event. */
  add(what: string, machine?: string): void {
    this.events.push({ at: now(), machine, what });
  }

  /** Adds a finding at the current time. */
  report(rule: Rule, machines: string[], detail: string): void {
    this.findings.push({ rule, at: now(), machines, detail });
  }

  /** Adds the start of something that lasts; returns a function that adds its end. */
  begin(what: string, machine?: string): () => void {
    this.add(what, machine);
    return () => this.add(`end of ${what}`, machine);
  }

  /** Starts an unplanned disruption at a machine, or at all; returns a function that ends it. */
  disrupt(what: string, machine?: string, options = { isOfStore: false }): () => void {
    const end = this.begin(what, machine);
    const disruption = { machine, from: now(), until: Infinity, ...options };
    this.#disruptions.push(disruption);
    return () => {
      end();
      disruption.until = now();
    };
  }

  /**
   * Returns whether a disruption at one of the machines, or at any if they are undefined, overlaps a span; one of the path
   * to the store does not count.
   */
  isDisrupted(machines: string[] | undefined, from: number, until: number): boolean {
    const disruptions = this.#disruptions.filter(({ isOfStore }) => !isOfStore);
    return hasDisruption(disruptions, machines, { from, until });
  }

  /** Returns whether any disruption at a machine overlaps a span, also of its path to the store. */
  isOutOfTouch(machine: string, from: number, until: number): boolean {
    return hasDisruption(this.#disruptions, [machine], { from, until });
  }

  /** Returns whether the soak's own process ran throughout a span, without a long stall. */
  isTimed(from: number, until: number): boolean {
    return !this.stalls.some((stall) =>
      stall.from <= until && stall.until >= from && stall.until - stall.from >= LONG_STALL_MS
    );
  }

  /** Returns the last events before a time at the machines, oldest first. */
  eventsBefore(at: number, machines: string[], count: number): Event[] {
    const earlier = this.events.filter((event) =>
      event.at <= at && (event.machine === undefined || machines.includes(event.machine))
    );
    return earlier.slice(-count);
  }
}

function hasDisruption(
  disruptions: Disruption[],
  machines: string[] | undefined,
  { from, until }: { from: number; until: number },
): boolean {
  return disruptions.some(({ machine, ...span }) =>
    (machine === undefined || machines === undefined || machines.includes(machine)) &&
    span.from <= until && span.until >= from
  );
}
