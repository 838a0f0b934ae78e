/**
 * The clocks of one simulated process. Its timers fire late while it is paused, and never after it was
 * killed; while its instance is suspended its monotonic clock stands still as well.
 */
import type { Clock, Sleep } from "@bulrushwood/types";
import type { Scheduler } from "../scheduler.ts";

/** Clocks of one process. */
export class ProcessClock {
  readonly #scheduler: Scheduler;
  #pausedUntil = 0;
  #suspendedMs = 0;
  #isKilled = false;

  constructor(scheduler: Scheduler) {
    this.#scheduler = scheduler;
  }

  /** The monotonic clock. */
  readonly now: Clock = () => this.#scheduler.now - this.#suspendedMs;

  /** The time of day, which goes on while the instance is suspended. */
  readonly timeOfDay: Clock = () => this.#scheduler.now;

  readonly sleep: Sleep = (ms, signal) =>
    new Promise((resolve) => {
      let isDone = false;
      const finish = () => {
        if (isDone || this.#isKilled) {
          return;
        }
        if (this.#scheduler.now < this.#pausedUntil) {
          this.#scheduler.at(this.#pausedUntil, finish);
          return;
        }
        isDone = true;
        resolve();
      };
      this.#scheduler.at(this.#scheduler.now + Math.max(0, ms), finish);
      signal?.addEventListener("abort", () => this.#scheduler.at(this.#scheduler.now, finish));
      if (signal?.aborted) {
        this.#scheduler.at(this.#scheduler.now, finish);
      }
    });

  /** Whether the process runs now. */
  get isRunning(): boolean {
    return !this.#isKilled && this.#scheduler.now >= this.#pausedUntil;
  }

  /** Stops the process for some time; its clocks go on. */
  pause(ms: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, this.#scheduler.now + ms);
  }

  /** Suspends the instance for some time; its monotonic clock does not count it. */
  suspend(ms: number): void {
    this.pause(ms);
    this.#suspendedMs += ms;
  }

  /** Ends the process. */
  kill(): void {
    this.#isKilled = true;
  }
}
