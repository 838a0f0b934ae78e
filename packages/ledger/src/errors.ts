/**
 * Errors of the ledger: records that cannot be parsed, and submissions that did not take effect.
 */

/** Kind of failure of the ledger. */
export enum LedgerErrorKind {
  /** A record in the log is corrupt or of an unknown kind. */
  CorruptRecord = "damaged-record",
  /** The submitted record is in the log without effect, since a precondition no longer held. */
  Conflict = "conflict",
  /** The submitted record has no effect and never will. */
  NotApplied = "not-applied",
  /** Whether the submitted record takes effect is not known yet. */
  Unsettled = "unsettled",
  /** The log no longer retains the records that this process still needs. */
  Expired = "expired",
}

/** Failure of the ledger. */
export class LedgerError extends Error {
  readonly kind: LedgerErrorKind;

  constructor(kind: LedgerErrorKind, message: string) {
    super(message);
    this.name = "LedgerError";
    this.kind = kind;
  }
}
