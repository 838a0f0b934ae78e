/**
 * Errors of a request to the backend server beside the daemon.
 */

/** What became of a request that the server did not answer. */
export enum BackendErrorKind {
  /** No byte of the request was sent. */
  NotSent = "not-sent",
  /** The last check before the first byte forbade it: the lease ran out, or the id is barred. */
  MayNotStart = "may-not-start",
  /** The server refused the request without running it. */
  Refused = "refused",
  /** The connection broke or time ran out after the request was sent. */
  BrokenOff = "broken-off",
  /** The caller cancelled after the request was sent. */
  Cancelled = "cancelled",
}

/** A request that the backend server did not answer. */
export class BackendError extends Error {
  readonly kind: BackendErrorKind;

  constructor(kind: BackendErrorKind, message: string) {
    super(message);
    this.name = "BackendError";
    this.kind = kind;
  }
}
