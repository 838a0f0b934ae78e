/**
 * Decides which requests a daemon rejects at once because it lacks processor time. When more work arrives than it can
 * do, work waits longer and longer, until callers leave before they get a response, and come back with new requests.
 * Rejecting a request takes a fraction of the time that serving it takes, so the daemon rejects as many as needed to
 * keep the wait short, the least urgent first. Of equally urgent ones, it rejects those of its own callers before those
 * that other daemons have forwarded, since the work that these have done would be lost.
 *
 * A single long wait, such as after a pause of the process, is no overload: only if all work of an interval has waited
 * long, more is at hand all the time.
 */
import type { Clock } from "@bulrushwood/types";

/** Longest wait of work without overload, in milliseconds; callers wait a few hundred for the response. */
const WAIT_MS_MAX = 50;
/** Time over which the shortest wait counts, in milliseconds; longer than the usual pauses of a process. */
const INTERVAL_MS = 200;
/** Least pieces of work in an interval that show an overload. */
const WAITS_MIN = 3;
/** Time after which an interval ends without work, in milliseconds. */
const IDLE_MS = 1_000;
/** Least factor by which the share of accepted requests changes after one interval with overload. */
const DECREASE_MIN = 0.5;
/** Amount by which the share of accepted requests grows after each interval without overload. */
const INCREASE = 0.1;
/** Least share of accepted requests, so that some show whether there is still overload. */
const ACCEPTED_MIN = 0.05;
/** Time in which the weight of earlier requests in the mix of ranks decays to about a third (1/e), in milliseconds. */
const MIX_DECAY_MS = 1_000;
/** Shortest and longest retry-after time of rejected requests, in milliseconds; spread so that callers do not return together. */
const RETRY_AFTER_MIN_MS = 200;
const RETRY_AFTER_MAX_MS = 500;

export interface LoadShedderOptions {
  now: Clock;
  /** Returns a random number from 0 to 1. */
  random: () => number;
  /** Called when the daemon begins or stops to reject requests. */
  onOverload: (isOverloaded: boolean) => void;
}

/** Rejects as many requests as needed to keep the wait of work short. */
export class LoadShedder {
  readonly #options: LoadShedderOptions;
  /** Share of requests that are accepted, over all priorities. */
  #accepted = 1;
  #intervalStartedAt: number;
  /** Shortest wait in this interval, in milliseconds, and the number of waits. */
  #shortestMs = Infinity;
  #waits = 0;
  /** Number of requests in this interval, by rank. */
  readonly #arrivals = new Map<number, number>();
  /** Number of requests in the intervals before, weighted by their age, by rank. */
  readonly #mix = new Map<number, number>();

  constructor(options: LoadShedderOptions) {
    this.#options = options;
    this.#intervalStartedAt = options.now();
  }

  /**
   * Records the time for which the oldest work has waited when the daemon begins with the next, in milliseconds. Less urgent
   * work may wait while other work begins at once.
   */
  recordWait(ms: number): void {
    this.#shortestMs = Math.min(this.#shortestMs, ms);
    this.#waits++;
    if (this.#elapsedMs >= INTERVAL_MS) {
      this.#update();
    }
  }

  /** Share of requests that are accepted, over all priorities; 1 without overload. */
  get acceptedShare(): number {
    return this.#accepted;
  }

  /**
   * Whether a request of a priority may be accepted; a lower number is more urgent. `isForwarded` says whether another
   * daemon has accepted it.
   */
  mayAccept(priority: number, options: { isForwarded?: boolean } = {}): boolean {
    const rank = urgencyRank(priority, options);
    this.#arrivals.set(rank, (this.#arrivals.get(rank) ?? 0) + 1);
    if (this.#accepted >= 1) {
      return true;
    }
    if (this.#elapsedMs >= IDLE_MS) {
      this.#update();
    }
    return this.#options.random() < this.#acceptedOf(rank);
  }

  /** Retry-after time of a rejected request, in milliseconds. */
  get retryAfterMs(): number {
    const spreadMs = RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS;
    return RETRY_AFTER_MIN_MS + this.#options.random() * spreadMs;
  }

  /** Returns the share of one rank's requests that are accepted; higher ranks lose theirs first. */
  #acceptedOf(rank: number): number {
    const requests = sum(this.#mix.values());
    if (requests === 0) {
      return this.#accepted;
    }
    const before = [...this.#mix].filter(([other]) => other < rank);
    const left = this.#accepted * requests - sum(before.map(([, count]) => count));
    const own = Math.max(1, this.#mix.get(rank) ?? 0);
    return Math.max(ACCEPTED_MIN, Math.min(1, left / own));
  }

  /** Adds the requests of the interval that ends to the mix. */
  #updateMix(elapsedMs: number): void {
    const factor = Math.exp(-elapsedMs / MIX_DECAY_MS);
    for (const [rank, count] of this.#mix) {
      this.#mix.set(rank, count * factor);
    }
    for (const [rank, count] of this.#arrivals) {
      this.#mix.set(rank, (this.#mix.get(rank) ?? 0) + count);
    }
    this.#arrivals.clear();
  }

  /** Time since the interval began, in milliseconds. */
  get #elapsedMs(): number {
    return this.#options.now() - this.#intervalStartedAt;
  }

  /** Adapts the share of accepted requests at the end of an interval. */
  #update(): void {
    const elapsedMs = this.#elapsedMs;
    const wasOverloaded = this.#accepted < 1;
    this.#updateMix(elapsedMs);
    if (this.#waits >= WAITS_MIN && this.#shortestMs > WAIT_MS_MAX) {
      this.#accepted *= Math.max(DECREASE_MIN, WAIT_MS_MAX / this.#shortestMs);
      this.#accepted = Math.max(ACCEPTED_MIN, this.#accepted);
    } else {
      const intervals = Math.floor(elapsedMs / INTERVAL_MS);
      this.#accepted = Math.min(1, this.#accepted + INCREASE * intervals);
    }
    this.#intervalStartedAt = this.#options.now();
    this.#shortestMs = Infinity;
    this.#waits = 0;
    const isOverloaded = this.#accepted < 1;
    if (isOverloaded !== wasOverloaded) {
      this.#options.onOverload(isOverloaded);
    }
  }
}

/** Order in which requests are accepted and begun while processor time is short; those with a lower rank come first. */
export function urgencyRank(
  priority: number,
  { isForwarded = false }: { isForwarded?: boolean } = {},
): number {
  return 2 * priority + (isForwarded ? 0 : 1);
}

function sum(values: Iterable<number>): number {
  return [...values].reduce((total, value) => total + value, 0);
}
