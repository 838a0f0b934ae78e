/**
 * What a time on this process's clock is on the backend server's clock, never later than it really is.
 * Each announcement carries the server's clock as it was when written, so the server's clock had reached
 * at least that value when the announcement arrived.
 */

/** Announcements that the estimate rests on; old ones are dropped since clocks drift apart. */
const SAMPLES_MAX = 16;

/** Converts times to the clock of one life of a backend server. */
export class ServerClock {
  readonly #offsets: number[] = [];

  /** Takes a reading of the server's clock and the time here when it arrived, in milliseconds. */
  addSample(serverMs: number, arrivedAt: number): void {
    this.#offsets.push(serverMs - arrivedAt);
    if (this.#offsets.length > SAMPLES_MAX) {
      this.#offsets.shift();
    }
  }

  /** The server's clock at a time here, or earlier. */
  toServer(time: number): number {
    return time + Math.max(...this.#offsets);
  }
}
