/**
 * Token bucket that spaces out the requests that are sent to a backend server, so that it gets no more than the
 * requests a second that it accepts. The bucket is empty when a limit begins, since it is not known how many
 * requests the server got just before.
 *
 * More urgent requests that arrive later start first, so the expected wait counts with the rate at which they did
 * recently.
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
/** Time constant with which starts count less for the rate of their priority, in milliseconds. */
const DECAY_MS = 1_000;
/** Smallest share of the rate that is expected to be left for less urgent requests, so that waits are finite. */
const SHARE_LEFT_MIN = 0.05;
const MS_PER_SECOND = 1_000;

/** Starts of one priority, each weighted by its age. */
interface RecentStarts {
  weight: number;
  updatedAt: number;
}

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
  /** Recent starts by priority; 0 is the most urgent. */
  readonly #recentStarts = new Map<number, RecentStarts>();

  constructor(options: StartRateOptions) {
    this.#options = options;
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

  /** Expected time until a request of a priority starts when `ahead` others start before it, in milliseconds. */
  expectedMs(ahead: number, priority: number): number {
    const perSecond = this.#update();
    if (perSecond === undefined) {
      return 0;
    }
    const shareLeft = 1 - this.#urgentPerSecond(priority) / perSecond;
    const rate = perSecond * Math.max(SHARE_LEFT_MIN, shareLeft);
    return Math.max(0, (ahead + 1 - this.#tokens) * MS_PER_SECOND / rate);
  }

  /** Recent rate of the requests that are more urgent than a priority, in requests a second. */
  #urgentPerSecond(priority: number): number {
    let weight = 0;
    for (const [other, recent] of this.#recentStarts) {
      weight += other < priority ? this.#decayed(recent) : 0;
    }
    return weight * MS_PER_SECOND / DECAY_MS;
  }

  #decayed({ weight, updatedAt }: RecentStarts): number {
    return weight * Math.exp((updatedAt - this.#options.now()) / DECAY_MS);
  }

  /** Records that a request of a priority starts. */
  recordStart(priority: number): void {
    if (this.#update() !== undefined) {
      this.#tokens--;
    }
    const recent = this.#recentStarts.get(priority);
    const weight = recent === undefined ? 0 : this.#decayed(recent);
    this.#recentStarts.set(priority, { weight: weight + 1, updatedAt: this.#options.now() });
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
