/**
 * Errors of the platform's log, as a client meets them.
 */

/** What kind of failure a call to the log met. */
export enum LogErrorKind {
  /** The append was refused or never sent; it has no effect. */
  NotApplied = "not-applied",
  /** The append may take effect, now or later. */
  Ambiguous = "ambiguous",
  /** The records at the wanted offset are no longer kept. */
  Expired = "expired",
  /** The log did not answer a read, or answered what a log does not answer. */
  Unreadable = "unreadable",
}

/** A failed call to the log. */
export class LogError extends Error {
  readonly kind: LogErrorKind;
  /** With `Expired`: the first offset that the log still keeps. */
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
