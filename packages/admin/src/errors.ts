/**
 * Errors of the administration API.
 */

/** Reasons why an operator's request failed. */
export enum AdminErrorKind {
  /** The request, or the configuration in it, is invalid. */
  Malformed = "malformed",
  /** The instance, pool or key that the request names does not exist. */
  NotFound = "not-found",
  /** Another change was accepted first. */
  Conflict = "conflict",
  /** The request has no effect, since a daemon or the log did not respond. */
  Unavailable = "unavailable",
  /** It is not known yet whether the request takes effect. */
  Unsettled = "unsettled",
}

/** Failure of an operator's request. */
export class AdminError extends Error {
  readonly kind: AdminErrorKind;
  /** Faults of the request, one line each. */
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
