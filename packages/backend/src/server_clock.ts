/**
 * Converts times of this process's clock to the backend server's clock. The result is never later than the true
 * value, so that a grant never outlasts its lease: an announcement carries the server's clock from when it was
 * written, and the clock shows at least that value when the announcement arrives.
 */

/** Number of latest samples in use. Older ones are dropped since clocks drift apart. */
const SAMPLES_MAX = 16;

/** Estimate of the clock of one incarnation of a backend server. */
export class ServerClock {
  readonly #offsets: number[] = [];

  /** Adds a reading of the server's clock and the local time of its arrival, both in milliseconds. */
  addSample(serverMs: number, receivedAt: number): void {
    this.#offsets.push(serverMs - receivedAt);
    if (this.#offsets.length > SAMPLES_MAX) {
      this.#offsets.shift();
    }
  }

  /** Returns what the server's clock shows at a local time, or an earlier value. */
  toServerTime(time: number): number {
    return time + Math.max(...this.#offsets);
  }
}
