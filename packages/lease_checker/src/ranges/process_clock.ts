/**
 * Clocks of a simulated process. Timers that are due during a pause fire after it, and none fires once the process is
 * killed. While the instance is suspended, the monotonic clock stops as well.
 */
import type { Clock, Sleep } from "@bulrushwood/types";
import type { Scheduler } from "../scheduler.ts";

/** Monotonic clock, time of day and timers of one process. */
export class ProcessClock {
  readonly #scheduler: Scheduler;
  #pausedUntil = 0;
  #suspendedMs = 0;
  #isKilled = false;

  constructor(scheduler: Scheduler) {
    this.#scheduler = scheduler;
  }

  /** Monotonic clock, which stops while the instance is suspended. */
  readonly now: Clock = () => this.#scheduler.now - this.#suspendedMs;

  /** Time of day, which advances while the instance is suspended. */
  readonly timeOfDay: Clock = () => this.#scheduler.now;

  readonly sleep: Sleep = (ms, signal) =>
    new Promise((resolve) => {
      let isResolved = false;
      const resolveOnce = () => {
        if (isResolved || this.#isKilled) {
          return;
        }
        if (this.#scheduler.now < this.#pausedUntil) {
          this.#scheduler.at(this.#pausedUntil, resolveOnce);
          return;
        }
        isResolved = true;
        resolve();
      };
      this.#scheduler.at(this.#scheduler.now + Math.max(0, ms), resolveOnce);
      signal?.addEventListener("abort", () => this.#scheduler.at(this.#scheduler.now, resolveOnce));
      if (signal?.aborted) {
        this.#scheduler.at(this.#scheduler.now, resolveOnce);
      }
    });

  /** Whether the process is neither paused nor killed. */
  get isRunning(): boolean {
    return !this.#isKilled && this.#scheduler.now >= this.#pausedUntil;
  }

  /** Pauses the process; its clocks advance. */
  pause(ms: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, this.#scheduler.now + ms);
  }

  /** Suspends the instance; its monotonic clock does not count the time. */
  suspend(ms: number): void {
    this.pause(ms);
    this.#suspendedMs += ms;
  }

  /** Kills the process: its timers never fire again. */
  kill(): void {
    this.#isKilled = true;
  }
}
