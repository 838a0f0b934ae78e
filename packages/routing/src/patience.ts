/**
 * How long a request waits for a key that changes its owner. Answers hand-overs and lost servers: a wait
 * that ends in time for the target is better than a refusal; after that, a refused caller still has time
 * to come back. One that came back already has no later try, so it may wait for longer.
 */

/** Share of its time that a request waits whose target cannot be met any more. */
const LATE_SHARE = 0.5;

/** What is known of a request that may wait, all in milliseconds. */
export interface PatienceOptions {
  /** Time until the answer should be there; negative where that has passed. */
  targetMs: number;
  /** Time until nobody waits for the answer any more. */
  remainingMs: number;
  /** Time that a backend server usually takes for a request. */
  serviceMs: number;
}

/** The longest useful wait, in milliseconds. */
export function patienceOf({ targetMs, remainingMs, serviceMs }: PatienceOptions): number {
  const timelyMs = targetMs - serviceMs;
  return timelyMs > 0 ? timelyMs : Math.max(0, (remainingMs - serviceMs) * LATE_SHARE);
}
