/**
 * Measures how late the event loop runs timers, which shows that a daemon lacks processor time or was stopped, and
 * detects that the instance was suspended.
 */
import type { SuspensionDetector } from "@bulrushwood/lease_votes";
import { type Clock, createStop, everyTicks } from "@bulrushwood/types";

/** Time between measurements, in milliseconds. */
const INTERVAL_MS = 300;
/** Shortest delay that is reported, in milliseconds. */
const REPORTED_MS = 250;

export interface LoopDelayOptions {
  now: Clock;
  /** Called with each delay that is long enough to be reported, in milliseconds. */
  onDelay: (ms: number) => void;
  suspension: SuspensionDetector;
  /** Called after a suspension, during which this process's clock stood still. */
  onSuspended: () => void;
}

/** Monitor of the event loop's delay. */
export class LoopDelayMonitor {
  readonly #options: LoopDelayOptions;
  readonly #stop = createStop();
  #measuredAt: number;

  constructor(options: LoopDelayOptions) {
    this.#options = options;
    this.#measuredAt = options.now();
    everyTicks(INTERVAL_MS, () => this.#measure(), this.#stop.signal);
  }

  #measure(): void {
    const { now, onDelay, suspension, onSuspended } = this.#options;
    const at = now();
    const delayMs = at - this.#measuredAt - INTERVAL_MS;
    this.#measuredAt = at;
    if (delayMs >= REPORTED_MS) {
      onDelay(delayMs);
    }
    if (suspension.check() > 0) {
      onSuspended();
    }
  }

  /** Stops measuring. */
  close(): void {
    this.#stop.abort();
  }
}
