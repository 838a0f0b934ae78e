/**
 * Errors of admission: a request that got no slot. None of them ran.
 */

/** Why a request got no slot. */
export enum AdmissionErrorKind {
  Overloaded = "overloaded",
  DeadlinePassed = "deadline-passed",
  Cancelled = "cancelled",
}

/** A request that got no slot. */
export class AdmissionError extends Error {
  readonly kind: AdmissionErrorKind;
  /** When to try again, in milliseconds; 0 where nothing is known. */
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
