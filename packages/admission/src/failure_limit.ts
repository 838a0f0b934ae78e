/**
 * Bounds the requests of one class at a server while they fail because of something that they wait for, such as calls to
 * another service that has no room. Such a request holds its slot longer than one that succeeds, its failure is no use
 * to the caller, and what it asked of the other service delays the rest. While they fail, the server gets fewer at once,
 * so that as many begin as the other service can take.
 *
 * Requests that fail early hold no slot in vain, so they do not count: a server that fails everything it gets is not
 * helped by getting less.
 */

/** Weight of the newest success in the moving mean of the time that successes take. */
const MEAN_WEIGHT = 0.1;
/** Factor by which a failure changes the share of the slots. */
const DECREASE = 0.65;
/** Factor by which the first success after a failure changes the share of the slots, less one. */
const INCREASE = 0.001;
/** The same after many successes in a row: it grows with their square, so that a limit ends soon after its cause. */
const INCREASE_MAX = 0.2;
/** Least share of the slots. */
const SHARE_MIN = 0.125;
/** Requests at once that show whether they still fail. */
const PROBES = 1;

/** End of a request that had a response. */
export interface RequestEnd {
  /** Time for which it held its slot, in milliseconds. */
  ms: number;
  hasFailed: boolean;
}

/** Limit on the requests of one class at one server. */
export class FailureLimit {
  #share = 1;
  /** Successes since the last failure. */
  #streak = 0;
  /** Mean time that successes take, in milliseconds; 0 before the first. */
  #successMs = 0;

  /** Records the end of a request. */
  record({ ms, hasFailed }: RequestEnd): void {
    if (hasFailed) {
      this.#recordFailure(ms);
    } else {
      this.#recordSuccess(ms);
    }
  }

  #recordSuccess(ms: number): void {
    this.#successMs = this.#successMs > 0
      ? this.#successMs + MEAN_WEIGHT * (ms - this.#successMs)
      : ms;
    this.#streak++;
    const increase = Math.min(INCREASE_MAX, INCREASE * this.#streak * this.#streak);
    this.#share = Math.min(1, this.#share * (1 + increase));
  }

  #recordFailure(ms: number): void {
    if (this.#successMs > 0 && ms > this.#successMs) {
      this.#streak = 0;
      this.#share = Math.max(SHARE_MIN, this.#share * DECREASE);
    }
  }

  /** Returns how many of a server's slots requests of the class may hold. */
  limit(slots: number): number {
    return Math.min(slots, Math.max(PROBES, Math.round(slots * this.#share)));
  }
}
