/**
 * Errors of the links between daemons.
 */

/** Kind of a link failure; it decides whether what was sent may have had an effect. */
export enum LinkErrorKind {
  /** The peer was unreachable; nothing was sent. */
  Unreachable = "unreachable",
  /** The link broke, or the peer did not reply in time; what was sent may have arrived. */
  Broken = "broken",
  /** The peer violated the protocol. */
  Malformed = "malformed",
  /** The peer replied to the call with an error. */
  Rejected = "refused",
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
