/**
 * Errors of the administration API.
 */

/** Why an operator's request failed. */
export enum AdminErrorKind {
  /** The request, or the configuration in it, is not right. */
  Malformed = "malformed",
  /** What the request names does not exist. */
  NotFound = "not-found",
  /** Another change came first. */
  Conflict = "conflict",
  /** The request has no effect since something it needs did not answer. */
  Unavailable = "unavailable",
  /** Nobody can tell yet whether the request takes effect. */
  Unsettled = "unsettled",
}

/** A failed request of an operator. */
export class AdminError extends Error {
  readonly kind: AdminErrorKind;
  /** What is wrong, one line each. */
  readonly faults: string[];

  constructor(
    kind: AdminErrorKind,
    message: string,
    options: { faults?: string[] } = {},
  ) {
    super(message);
    this.name = "AdminError";
    this.kind = kind;
    this.faults = options.faults ?? [];
  }
}
