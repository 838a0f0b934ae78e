/**
 * Limits retries to a share of the requests, so that retries cannot amplify an overload.
 */

/** Retries that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;
/** Largest number of unused retries that the budget keeps. */
const SAVED_RETRIES_MAX = 50;

/** Options of `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget. */
  perRequest?: number;
  /** Largest number of unused retries that the budget keeps. */
  savedMax?: number;
}

/** A token bucket with the retries that one daemon may still make. It starts at a fifth of its capacity. */
export class RetryBudget {
  readonly #perRequest: number;
  readonly #savedMax: number;
  #saved: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#perRequest = options.perRequest ?? RETRIES_PER_REQUEST;
    this.#savedMax = options.savedMax ?? SAVED_RETRIES_MAX;
    this.#saved = this.#savedMax / 5;
  }

  /** Adds the share of a first attempt to the budget. */
  recordRequest(): void {
    this.#saved = Math.min(
      this.#savedMax,
      this.#saved + this.#perRequest,
    );
  }

  /** Takes one retry; returns false when none is left. */
  take(): boolean {
    if (this.#saved < 1) {
      return false;
    }
    this.#saved--;
    return true;
  }
}
