/**
 * Token bucket that spaces out the requests that are sent to a backend server, so that it gets no more than the
 * requests a second that it accepts. The bucket is empty when a limit begins, since it is not known how many
 * requests the server got just before.
 */
import type { Clock } from "@bulrushwood/types";
import { RecentStarts } from "./recent_starts.ts";

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
  readonly #recentStarts: RecentStarts;

  constructor(options: StartRateOptions) {
    this.#options = options;
    this.#recentStarts = new RecentStarts(options.now);
    this.#updatedAt = options.now();
  }

  /** Whether there is a limit now. */
  get isLimited(): boolean {
    return this.#options.perSecond() !== undefined;
  }

  /** Time until the next request may start, in milliseconds; 0 if it may start now. */
  get nextMs(): number {
    const perSecond = this.#update();
    return perSecond === undefined
      ? 0
      : Math.max(0, (1 - this.#tokens) * MS_PER_SECOND / perSecond);
  }

  /** Expected time until a request of a rank starts when `ahead` others start before it, in milliseconds. */
  expectedMs(ahead: number, rank: number): number {
    const perSecond = this.#update();
    if (perSecond === undefined) {
      return 0;
    }
    const rate = perSecond * this.#recentStarts.shareLeft(rank, perSecond);
    return Math.max(0, (ahead + 1 - this.#tokens) * MS_PER_SECOND / rate);
  }

  /** Records that a request of a rank starts; lower ranks start first. */
  recordStart(rank: number): void {
    if (this.#update() !== undefined) {
      this.#tokens--;
    }
    this.#recentStarts.record(rank, 1);
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
