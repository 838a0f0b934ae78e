/**
 * Limits retries to a share of the requests, so that retries cannot multiply an overload.
 */

/** Retries that each request pays for. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries that may be saved up. */
const SAVED_RETRIES_MAX = 50;

/** How to make a budget. */
export interface RetryBudgetOptions {
  /** Retries that each request pays for. */
  perRequest?: number;
  /** Retries that may be saved up. */
  savedMax?: number;
}

/** The retries that one daemon may still make. */
export class RetryBudget {
  readonly #perRequest: number;
  readonly #savedMax: number;
  #saved: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#perRequest = options.perRequest ?? RETRIES_PER_REQUEST;
    this.#savedMax = options.savedMax ?? SAVED_RETRIES_MAX;
    this.#saved = this.#savedMax / 5;
  }

  /** Counts a first attempt. */
  noteRequest(): void {
    this.#saved = Math.min(
      this.#savedMax,
      this.#saved + this.#perRequest,
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
