/**
 * Errors of admission. A request that ends with one of them was never run.
 */

/** Reason why a request got no slot. */
export enum AdmissionErrorKind {
  Overloaded = "overloaded",
  DeadlinePassed = "deadline-passed",
  Cancelled = "cancelled",
}

/** Rejection of a request, or the end of its time in the queue, without a slot. */
export class AdmissionError extends Error {
  readonly kind: AdmissionErrorKind;
  /** Time after which the caller should retry, in milliseconds; 0 where it is unknown. */
  readonly retryAfterMs: number;

  constructor(
    kind: AdmissionErrorKind,
    message: string,
    options: { retryAfterMs?: number } = {},
  ) {
    super(message);
    this.name = "AdmissionError";
    this.kind = kind;
    this.retryAfterMs = options.retryAfterMs ?? 0;
  }
}
