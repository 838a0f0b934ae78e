/**
 * Estimates how long the work of a backend server takes at most, from its last requests. A lease has to cover the work
 * that begins under it.
 */

/** Number of requests that the estimate is based on. */
const SAMPLE_COUNT = 128;
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
  const mean = samples.reduce((sum, ms) => sum + ms, 0) / samples.length;
  return Math.max(MEAN_FACTOR * mean, ...samples);
}
