/**
 * Decides which requests are rejected because backend servers ended while they ran them. Such a request comes again, from
 * its caller or from others, and would end one server after the other.
 *
 * When a server ends, each request that it ran is suspected, most of them wrongly. A request is cleared when any server
 * has responded to it since. It is quarantined if a second server ended while it ran the request, and had begun to when
 * the first end was known; servers that end at the same moment for another reason do not count as two. Several servers
 * may have run the request before the first end was known, so three ends count in any case.
 */
import type { Clock } from "@bulrushwood/types";

/** Number of servers whose ends quarantine a request, whenever they began to run it. */
const ENDS_MAX = 3;
/** Time after the last end for which a request is quarantined or suspected, in milliseconds. */
const QUARANTINE_MS = 5 * 60_000;
/** Largest number of requests that are remembered; a server runs some tens at a time when it ends. */
const SUSPECTS_MAX = 10_000;

/** One request that a server ran when it ended. */
export interface SuspectRun {
  /** Identifies the request's content. */
  fingerprint: string;
  /** Whether the server began to run the request when it was suspected already. */
  isRepeated: boolean;
}

/** End of one incarnation of a backend server. */
export interface ServerEnd {
  /** Name of the incarnation. */
  server: string;
  runs: SuspectRun[];
}

interface Suspect {
  /** Incarnations that ended while they ran the request. */
  servers: Set<string>;
  isRepeated: boolean;
  /** When the request is forgotten, unless another server ends. */
  until: number;
  /** When the last end became known here. */
  knownAt: number;
}

/** Requests under which servers ended, as known to one daemon. */
export class Quarantine {
  readonly #now: Clock;
  readonly #suspects = new Map<string, Suspect>();
  /** When all requests are forgotten, unless another server ends. */
  #until = Number.NEGATIVE_INFINITY;

  constructor(now: Clock) {
    this.#now = now;
  }

  /** Whether no request is suspected. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0 || this.#now() >= this.#until;
  }

  /** Returns whether a run that began at a time is a repeated one, should its server end. */
  isRepeated(fingerprint: string, startedAt: number): boolean {
    const suspect = this.#find(fingerprint);
    return suspect !== undefined && startedAt >= suspect.knownAt;
  }

  /** Records the end of a server, once for each incarnation; `ageMs` is the time since then, in milliseconds. */
  recordEnd({ server, runs }: ServerEnd, options: { ageMs: number }): void {
    this.#forgetOld();
    const endUntil = this.#now() - options.ageMs + QUARANTINE_MS;
    if (endUntil <= this.#now()) {
      return;
    }
    this.#until = Math.max(this.#until, endUntil);
    for (const { fingerprint, isRepeated } of runs) {
      const suspect = this.#suspects.get(fingerprint);
      if (suspect?.servers.has(server)) {
        continue;
      }
      this.#suspects.delete(fingerprint);
      this.#suspects.set(fingerprint, {
        servers: new Set(suspect?.servers).add(server),
        isRepeated: isRepeated || (suspect?.isRepeated ?? false),
        until: Math.max(suspect?.until ?? endUntil, endUntil),
        knownAt: this.#now(),
      });
    }
  }

  /** Clears a request to which a server has responded; returns whether it was suspected. */
  clear(fingerprint: string): boolean {
    return this.#suspects.delete(fingerprint);
  }

  /** Time for which a request is still quarantined, in milliseconds; 0 if it may run. */
  remainingMs(fingerprint: string): number {
    const suspect = this.#find(fingerprint);
    const isQuarantined = suspect !== undefined &&
      (suspect.isRepeated || suspect.servers.size >= ENDS_MAX);
    return isQuarantined ? suspect.until - this.#now() : 0;
  }

  #find(fingerprint: string): Suspect | undefined {
    const suspect = this.#suspects.get(fingerprint);
    return suspect !== undefined && this.#now() < suspect.until ? suspect : undefined;
  }

  #forgetOld(): void {
    for (const [fingerprint, { until }] of this.#suspects) {
      if (this.#now() >= until || this.#suspects.size > SUSPECTS_MAX) {
        this.#suspects.delete(fingerprint);
      }
    }
  }
}
