/**
 * Errors of calls to the platform's log.
 */

/** Kind of failure of a call to the log. */
export enum LogErrorKind {
  /** The append was rejected or never sent; it has no effect. */
  NotApplied = "not-applied",
  /** The append may take effect, now or later. */
  Ambiguous = "ambiguous",
  /** The records at the requested offset are no longer retained. */
  Expired = "expired",
  /** The log did not respond to a read, or its response was malformed. */
  Unreadable = "unreadable",
}

/** A failed call to the log. */
export class LogError extends Error {
  readonly kind: LogErrorKind;
  /** First offset that the log still retains; set with `Expired`. */
  readonly first: number | undefined;

  constructor(
    kind: LogErrorKind,
    message: string,
    options: { first?: number } = {},
  ) {
    super(message);
    this.name = "LogError";
    this.kind = kind;
    this.first = options.first;
  }
}
