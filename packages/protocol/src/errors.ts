/**
 * Errors of the links between daemons.
 */

/** What kind of failure a link met. */
export enum LinkErrorKind {
  /** The peer could not be reached; nothing was sent. */
  Unreachable = "unreachable",
  /** The link broke, or the peer did not answer in time; what was sent may have arrived. */
  Broken = "broken",
  /** The peer sent what the protocol does not allow. */
  Malformed = "malformed",
  /** The peer answered the call with an error. */
  Refused = "refused",
}

/** A failure of a link between two daemons. */
export class LinkError extends Error {
  readonly kind: LinkErrorKind;

  constructor(kind: LinkErrorKind, message: string) {
    super(message);
    this.name = "LinkError";
    this.kind = kind;
  }
}
