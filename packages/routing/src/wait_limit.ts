/**
 * Limits how long a request waits for a key that changes its owner, during a handover or after the loss of a
 * server. A wait that still meets the target is better than a rejection; a caller that is rejected after that
 * has time left to retry. A request past its target, such as a retry, has no later attempt to fall back on, so
 * it may wait for a share of its remaining time.
 */

/** Share of the remaining time that a request may wait when it can no longer meet its target. */
const LATE_WAIT_SHARE = 0.5;

/** Times of a request that may wait, in milliseconds. */
export interface WaitLimitOptions {
  /** Time left until the target; negative once it has passed. */
  targetMs: number;
  /** Time left until the deadline. */
  remainingMs: number;
  /** Mean service time of a request at the backend server. */
  serviceMs: number;
}

/** Returns the longest useful wait, in milliseconds. */
export function waitLimitMs({ targetMs, remainingMs, serviceMs }: WaitLimitOptions): number {
  const withinTargetMs = targetMs - serviceMs;
  return withinTargetMs > 0
    ? withinTargetMs
    : Math.max(0, (remainingMs - serviceMs) * LATE_WAIT_SHARE);
}
