/**
 * Errors of requests to the backend server beside the daemon.
 */

/** Reasons why a request to the backend server failed; each shows whether the request may have run. */
export enum BackendErrorKind {
  /** No byte of the request was sent: no server, no connection, a cancelled request or a passed deadline. */
  NotSent = "not-sent",
  /** The final check before the first byte failed: the lease ran out, or the request's id is barred. */
  MayNotStart = "may-not-start",
  /** The server rejected the request without running any of it. */
  Rejected = "refused",
  /** The connection failed or the deadline passed after the request was sent, so it may have run. */
  NoResponse = "broken-off",
  /** The caller cancelled the request after it was sent, so it may have run. */
  Cancelled = "cancelled",
}

/** Failure of a request to the backend server. */
export class BackendError extends Error {
  readonly kind: BackendErrorKind;

  constructor(kind: BackendErrorKind, message: string) {
    super(message);
    this.name = "BackendError";
    this.kind = kind;
  }
}
