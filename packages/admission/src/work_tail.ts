/**
 * Estimates how long the work of a backend server takes at most, from its last requests. A lease has to cover the work
 * that begins under it.
 */

/** Number of requests that the estimate is based on. */
const SAMPLE_COUNT = 128;
/** Share of requests whose work ends within the estimate. */
const COVERED_SHARE = 0.98;
/** Smallest estimate as a multiple of the mean, since few samples hardly contain long work. */
const MEAN_FACTOR = 3;

/** Durations of the last requests of one server. */
export class WorkTail {
  readonly #samples: number[] = [];
  #next = 0;
  #estimateMs: number | undefined;

  /** Records the duration of a request, in milliseconds; for an aborted one, the time that it had. */
  record(ms: number): void {
    this.#samples[this.#next] = ms;
    this.#next = (this.#next + 1) % SAMPLE_COUNT;
    this.#estimateMs = undefined;
  }

  /** Time within which nearly all requests end, in milliseconds; undefined before the first. */
  get ms(): number | undefined {
    if (this.#samples.length > 0) {
      this.#estimateMs ??= estimate(this.#samples);
    }
    return this.#estimateMs;
  }
}

function estimate(samples: number[]): number {
  const sorted = samples.toSorted((one, other) => one - other);
  const covered = sorted[Math.floor((sorted.length - 1) * COVERED_SHARE)];
  const mean = sorted.reduce((sum, ms) => sum + ms, 0) / sorted.length;
  return Math.max(covered, MEAN_FACTOR * mean);
}
