/**
 * Token bucket that spaces out the requests that are sent to a backend server, so that it gets no more than the
 * requests a second that it accepts. The bucket is empty when a limit begins, since it is not known how many
 * requests the server got just before.
 */
import type { Clock } from "@bulrushwood/types";

/** Time in which unused starts are saved up, in milliseconds. */
const BURST_MS = 250;
/** Starts that can always be saved up, so that slow rates allow a start at all. */
const BURST_MIN = 1;
/**
 * Slowest rate, in requests a second. Only the response to a request can end a limit, so a server that accepts
 * nothing still gets a request from time to time.
 */
const RATE_MIN = 0.5;
const MS_PER_SECOND = 1_000;

/** Options of `StartRate`. */
export interface StartRateOptions {
  now: Clock;
  /** Returns the requests a second that the server accepts; undefined while there is no limit. */
  perSecond: () => number | undefined;
}

/** Limits how many requests start each second. */
export class StartRate {
  readonly #options: StartRateOptions;
  #tokens = 0;
  #isLimited = false;
  #updatedAt: number;

  constructor(options: StartRateOptions) {
    this.#options = options;
    this.#updatedAt = options.now();
  }

  /** Whether there is a limit now. */
  get isLimited(): boolean {
    return this.#options.perSecond() !== undefined;
  }

  /** Time until a request may start when `ahead` others start before it, in milliseconds; 0 if it may start now. */
  waitMs(ahead: number): number {
    const perSecond = this.#update();
    if (perSecond === undefined) {
      return 0;
    }
    return Math.max(0, (ahead + 1 - this.#tokens) * MS_PER_SECOND / perSecond);
  }

  /** Records that a request starts. */
  recordStart(): void {
    if (this.#update() !== undefined) {
      this.#tokens--;
    }
  }

  #update(): number | undefined {
    const { now, perSecond } = this.#options;
    const elapsedMs = now() - this.#updatedAt;
    this.#updatedAt = now();
    const limit = perSecond();
    const isNewLimit = !this.#isLimited;
    this.#isLimited = limit !== undefined;
    if (limit === undefined) {
      return undefined;
    }
    const rate = Math.max(RATE_MIN, limit);
    const tokensMax = Math.max(BURST_MIN, rate * BURST_MS / MS_PER_SECOND);
    const tokens = isNewLimit ? 0 : this.#tokens + elapsedMs * rate / MS_PER_SECOND;
    this.#tokens = Math.min(tokensMax, tokens);
    return rate;
  }
}
