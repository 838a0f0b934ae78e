/**
 * Notices that the instance was suspended: the monotonic clock stands still meanwhile, the boot clock
 * does not.
 */
import { uptime } from "node:os";
import type { Clock } from "@bulrushwood/types";

/** Difference of the clocks that counts as a suspension, in milliseconds; the boot clock ticks in 10 ms. */
const GAP_MS = 60;
const MS_PER_SECOND = 1_000;

/** Reads both clocks and compares how far they went. */
export class SuspensionDetector {
  readonly #now: Clock;
  readonly #bootNow: Clock;
  #offsetMs: number;

  constructor(now: Clock, bootNow: Clock = () => uptime() * MS_PER_SECOND) {
    this.#now = now;
    this.#bootNow = bootNow;
    this.#offsetMs = bootNow() - now();
  }

  /** Whether the instance was suspended since the last call. */
  check(): boolean {
    const offsetMs = this.#bootNow() - this.#now();
    const isGap = offsetMs - this.#offsetMs > GAP_MS;
    this.#offsetMs = offsetMs;
    return isGap;
  }
}
