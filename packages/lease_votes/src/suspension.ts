/**
 * Detects that the instance was suspended: meanwhile the monotonic clock stops, the time of day does not.
 * A time of day that is set forward also looks like a suspension; that only drops the support until the next
 * heartbeat. The boot clock would distinguish the two, but Node.js provides it only in whole seconds.
 */
import type { Clock } from "@bulrushwood/types";

/** Smallest clock gap that counts as a suspension, in milliseconds; larger than what a slewed clock gains. */
const CLOCK_GAP_MIN_MS = 60;

/** Compares the progress of the monotonic clock and the time of day. */
export class SuspensionDetector {
  readonly #monotonic: Clock;
  readonly #timeOfDay: Clock;
  #offsetMs: number;

  constructor(now: Clock, timeOfDay: Clock = Date.now) {
    this.#monotonic = now;
    this.#timeOfDay = timeOfDay;
    this.#offsetMs = timeOfDay() - now();
  }

  /** Returns how long the instance was suspended since the last call, in milliseconds; 0 for not at all. */
  check(): number {
    const offsetMs = this.#timeOfDay() - this.#monotonic();
    const gapMs = offsetMs - this.#offsetMs;
    this.#offsetMs = offsetMs;
    return gapMs > CLOCK_GAP_MIN_MS ? gapMs : 0;
  }
}
