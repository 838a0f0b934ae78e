/**
 * Status reports of backend servers.
 */
import type { Address } from "@bulrushwood/types";

/** Whether a backend server accepts requests. */
export enum ServerState {
  Ready = "ready",
  /** Finishes its running requests and then stops. */
  Draining = "draining",
  /** Has sent its farewell. */
  Left = "gone",
}

/** One incarnation of a backend server. */
export interface ServerIdentity {
  id: string;
  /** Start of this incarnation, in milliseconds of Unix time; orders the incarnations at one address. */
  bornMs: number;
}

/** Returns whether two identities are the same incarnation; false if the other is undefined. */
export function isSameIncarnation(one: ServerIdentity, other: ServerIdentity | undefined): boolean {
  return one.id === other?.id && one.bornMs === other.bornMs;
}

/** Returns a name that no other incarnation has. */
export function incarnationName({ id, bornMs }: ServerIdentity): string {
  return `${id}@${bornMs}`;
}

/** Keys from `first` to `last`, both included, that a server holds or still runs requests for. */
export interface HeldKeys {
  first: number;
  last: number;
  epoch: number;
}

/** Keys from `first` to `last`, both included, that a server released since its last acknowledged report. */
export interface ReleasedKeys {
  first: number;
  last: number;
  /** Handover token for the next owner of the keys; empty if there is none. */
  handover: string;
}

/** A status report of one incarnation of a backend server. */
export interface ServerReport extends ServerIdentity {
  address: Address;
  service: string;
  dataCentre: string;
  slots: number;
  state: ServerState;
  /** Sequence number, which increases with each report of one incarnation. */
  sequence: number;
  /** Remaining warm-up time after the server's start, in milliseconds. */
  coldMs: number;
  /** Keys that the server holds. This and `released` are empty unless grants are delivered in reports. */
  held: HeldKeys[];
  released: ReleasedKeys[];
}

/** A decoded request to the listener for status reports. */
export type StatusReport =
  | { kind: "report"; report: ServerReport }
  | { kind: "farewell"; id: string };
