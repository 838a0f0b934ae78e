/**
 * What a backend server says of itself.
 */
import type { Address } from "@bulrushwood/types";

/** Whether a backend server takes work. */
export enum ServerState {
  Ready = "ready",
  /** Finishes its work and will end. */
  Draining = "draining",
  /** Has said that it is gone. */
  Gone = "gone",
}

/** One life of a backend server. */
export interface ServerIdentity {
  id: string;
  /** When this life began, in milliseconds of Unix time; orders the lives at one address. */
  bornMs: number;
}

/** Whether two identities name one life of a server; never where there is none. */
export function isSameLife(one: ServerIdentity, other: ServerIdentity | undefined): boolean {
  return one.id === other?.id && one.bornMs === other.bornMs;
}

/** Keys from `first` to `last`, both included, that a server holds or still works on. */
export interface HeldKeys {
  first: number;
  last: number;
  epoch: number;
}

/** Keys from `first` to `last`, both included, that a server let go since its last acknowledged report. */
export interface ReleasedKeys {
  first: number;
  last: number;
  /** What it hands over to their next owner; empty for nothing. */
  handover: string;
}

/** A status report of one life of a backend server. */
export interface ServerReport extends ServerIdentity {
  address: Address;
  service: string;
  dataCentre: string;
  slots: number;
  state: ServerState;
  /** Grows with each report of one life. */
  sequence: number;
  /** How much longer the server is slow after its start, in milliseconds. */
  coldMs: number;
  /** Empty where grants do not travel in reports, as is the next. */
  held: HeldKeys[];
  released: ReleasedKeys[];
}

/** A call on the address for reports, decoded. */
export type StatusReport =
  | { kind: "report"; report: ServerReport }
  | { kind: "farewell"; id: string };
