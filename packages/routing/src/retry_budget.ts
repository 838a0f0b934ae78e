/**
 * Limits retries to a share of the requests, so that retries cannot multiply an overload.
 */

/** Retries that each request pays for. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries that may be saved up. */
const SAVED_RETRIES_MAX = 50;

/** The retries that one daemon may still make. */
export class RetryBudget {
  #saved = SAVED_RETRIES_MAX / 5;

  /** Counts a first attempt. */
  noteRequest(): void {
    this.#saved = Math.min(
      SAVED_RETRIES_MAX,
      this.#saved + RETRIES_PER_REQUEST,
    );
  }

  /** Takes one retry; false when there is none. */
  take(): boolean {
    if (this.#saved < 1) {
      return false;
    }
    this.#saved--;
    return true;
  }
}
