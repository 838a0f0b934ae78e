/**
 * Notices that the instance was suspended: the monotonic clock stands still meanwhile, the time of day does
 * not. The time of day may also be set forward, which then looks like a suspension; that only costs the
 * support that is forgotten until the next heartbeat. The boot clock would tell the two apart, but Node.js
 * gives it in whole seconds.
 */
import type { Clock } from "@bulrushwood/types";

/** Difference of the clocks that counts as a suspension, in milliseconds; above what a slewed clock gains. */
const GAP_MS = 60;

/** Reads both clocks and compares how far they went. */
export class SuspensionDetector {
  readonly #now: Clock;
  readonly #timeOfDay: Clock;
  #offsetMs: number;

  constructor(now: Clock, timeOfDay: Clock = Date.now) {
    this.#now = now;
    this.#timeOfDay = timeOfDay;
    this.#offsetMs = timeOfDay() - now();
  }

  /** For how long the instance was suspended since the last call, in milliseconds; 0 for not at all. */
  check(): number {
    const offsetMs = this.#timeOfDay() - this.#now();
    const gapMs = offsetMs - this.#offsetMs;
    this.#offsetMs = offsetMs;
    return gapMs > GAP_MS ? gapMs : 0;
  }
}
