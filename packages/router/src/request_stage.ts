/**
 * The places where a request waits on its way to a backend server, as named in events and metrics.
 */

/** Place where a request waits. */
export enum RequestStage {
  /** At the ingress or at the daemon of its server, before anything else was done for it. */
  Arrival = "arrival",
  /** At the ingress, for an owner of its key or for a server to choose. */
  Owner = "owner",
  /** At the ingress, for a link to the daemon of its server. */
  Dial = "dial",
  /** At the ingress, for the response of the daemon of its server. */
  Peer = "peer",
  /** At the daemon of its server, for a grant of its key. */
  Key = "key",
  /** At the daemon of its server, for a slot of the server. */
  Slot = "slot",
  /** At the backend server. */
  Server = "server",
}
