/**
 * Decides at an ingress whether requests are sent to a daemon that seems overloaded. Forwarding a request that will be
 * rejected costs an overloaded daemon as much time as serving one, and a daemon that is far behind responds to
 * nobody in time. After consecutive requests that it rejected for lack of room or left without a response, requests
 * of the same or a lower priority are rejected at the ingress for a while, which doubles each time.
 */
import type { Address, Clock } from "@bulrushwood/types";

/** Number of consecutive failures from which on requests are held back; fewer happen in any short rush. */
const FAILURES_MIN = 4;
/** Time after which failures are no longer consecutive, in milliseconds. */
const FORGET_MS = 1_000;
/** Time for which requests are held back after one without a response, in milliseconds. */
const UNANSWERED_MS = 200;
/** Longest time for which requests are held back, in milliseconds; then the next request probes the daemon. */
const BACKOFF_MS_MAX = 1_000;

/** Consecutive failures of requests of one priority at one daemon. */
interface Failures {
  count: number;
  lastAt: number;
  /** When requests may be sent again. */
  until: number;
}

/** Tracks the overload of other daemons, as seen by one ingress. */
export class OverloadBackoff {
  readonly #now: Clock;
  /** Failures by daemon and priority. */
  readonly #failures = new Map<Address, Map<number, Failures>>();

  constructor(now: Clock) {
    this.#now = now;
  }

  /** Time for which requests of a priority should not be sent to a daemon, in milliseconds; 0 for none. */
  remainingMs(address: Address, priority: number): number {
    let until = 0;
    for (const [failedPriority, failures] of this.#failures.get(address) ?? []) {
      if (failedPriority <= priority) {
        until = Math.max(until, failures.until);
      }
    }
    return Math.max(0, until - this.#now());
  }

  /** Records that a daemon rejected a request for lack of room, and after which time it may be sent again. */
  recordRejected(address: Address, priority: number, retryAfterMs: number): void {
    const now = this.#now();
    const byPriority = this.#failures.get(address) ?? new Map<number, Failures>();
    this.#failures.set(address, byPriority);
    const failures = byPriority.get(priority) ?? { count: 0, lastAt: now, until: now };
    byPriority.set(priority, failures);
    // Requests that were under way when the wait began say nothing new.
    if (now < failures.until) {
      return;
    }
    const isConsecutive = now - Math.max(failures.lastAt, failures.until) < FORGET_MS;
    failures.count = isConsecutive ? failures.count + 1 : 1;
    failures.lastAt = now;
    if (failures.count >= FAILURES_MIN) {
      const backoffMs = retryAfterMs * Math.pow(2, failures.count - FAILURES_MIN);
      failures.until = now + Math.min(BACKOFF_MS_MAX, backoffMs);
    }
  }

  /** Records that a daemon did not respond to a request within its target. */
  recordUnanswered(address: Address, priority: number): void {
    this.recordRejected(address, priority, UNANSWERED_MS);
  }

  /** Forgets the failures of the daemon at an address that another one has taken over. */
  forget(address: Address): void {
    this.#failures.delete(address);
  }

  /** Records that a daemon served a request: it has room for this priority and higher ones. */
  recordServed(address: Address, priority: number): void {
    const byPriority = this.#failures.get(address);
    for (const failedPriority of byPriority?.keys() ?? []) {
      if (failedPriority <= priority) {
        byPriority?.delete(failedPriority);
      }
    }
    if (byPriority?.size === 0) {
      this.#failures.delete(address);
    }
  }
}
