/**
 * Errors of the ledger: records that cannot be read, and submissions that did not take effect.
 */

/** What kind of failure the ledger met. */
export enum LedgerErrorKind {
  /** A record in the log is damaged or of an unknown kind. */
  DamagedRecord = "damaged-record",
  /** The submitted record is in the log, but what it builds on no longer held. */
  Conflict = "conflict",
  /** The submitted record has no effect and never will. */
  NotApplied = "not-applied",
  /** Nobody can tell yet whether the submitted record takes effect. */
  Unsettled = "unsettled",
  /** The records that this process still needs are no longer kept. */
  Expired = "expired",
}

/** A failure of the ledger. */
export class LedgerError extends Error {
  readonly kind: LedgerErrorKind;

  constructor(kind: LedgerErrorKind, message: string) {
    super(message);
    this.name = "LedgerError";
    this.kind = kind;
  }
}
