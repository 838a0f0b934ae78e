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
}

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
}

/** Span in which the soak's own process did not run, so that its times are wrong. */
interface Stall {
  from: number;
  until: number;
}

/** Record of one soak. Times are in milliseconds of the process's clock. */
export class History {
  readonly startedAt = now();
  readonly events: Event[] = [];
  readonly findings: Finding[] = [];
  readonly #disruptions: Disruption[] = [];
  readonly stalls: Stall[] = [];

  /** Adds an event. */
  add(what: string, machine?: string): void {
    this.events.push({ at: now(), machine, what });
  }

  /** Adds a finding at the current time. */
  report(rule: Rule, machines: string[], detail: string): void {
    this.findings.push({ rule, at: now(), machines, detail });
  }

  /** Starts an unplanned disruption at a machine, or at all; returns a function that ends it. */
  disrupt(what: string, machine?: string): () => void {
    this.add(what, machine);
    const disruption = { machine, from: now(), until: Infinity };
    this.#disruptions.push(disruption);
    return () => {
      this.add(`end of ${what}`, machine);
      disruption.until = now();
    };
  }

  /** Returns whether a disruption at one of the machines overlaps a span. */
  isDisrupted(machines: string[], from: number, until: number): boolean {
    return this.#disruptions.some((disruption) =>
      (disruption.machine === undefined || machines.includes(disruption.machine)) &&
      disruption.from <= until && disruption.until >= from
    );
  }

  /** Returns whether a disruption at any machine overlaps a span. */
  isAnyDisrupted(from: number, until: number): boolean {
    return this.#disruptions.some((each) => each.from <= until && each.until >= from);
  }

  /** Returns whether the soak's own process ran throughout a span. */
  isTimed(from: number, until: number): boolean {
    return !this.stalls.some((stall) => stall.from <= until && stall.until >= from);
  }

  /** Returns the last events before a time at the machines, oldest first. */
  eventsBefore(at: number, machines: string[], count: number): Event[] {
    const earlier = this.events.filter((event) =>
      event.at <= at && (event.machine === undefined || machines.includes(event.machine))
    );
    return earlier.slice(-count);
  }
}
