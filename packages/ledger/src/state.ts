/**
 * Types of the ledger's state.
 */
import type { Address, Group, Incarnation, MoveCause, Offset } from "@bulrushwood/types";
import type { Configuration } from "@bulrushwood/settings";
import type { ServerDescription } from "./records.ts";

/** Whether an incarnation of a daemon takes part in the system. */
export enum Presence {
  Present = "present",
  /** Finishing its requests before it stops; gets no new keys. */
  Leaving = "leaving",
  /** Stopped as planned, after it surrendered all its keys. */
  Left = "left",
  /** Unresponsive to its peers; the process may still run. */
  Lost = "lost",
  /** Confirmed by an operator that the process does not run. */
  DeclaredLost = "declared-lost",
}

/** Latest incarnation of one daemon. */
export interface Instance {
  address: Address;
  incarnation: Incarnation;
  name: string;
  dataCentre: string;
  region: string;
  /** Address of its administration API. */
  admin: Address;
  presence: Presence;
  /** Set when its successor took over from it; cleared by its next record about its backend server. */
  isSuspected: boolean;
  server: ServerDescription | null;
}

/** Voter of a lease group, with its incarnation at the group's creation. */
export interface Member {
  address: Address;
  incarnation: Incarnation;
}

/** Lease group. Its members are holder, successor and witness, in this order. */
export interface LeaseGroup {
  group: Group;
  pool: string;
  members: Member[];
  /** 0 while the holder holds the group, 1 once the log has a record that the successor took over. */
  step: number;
  /** Whether the holder, or the successor after it, has surrendered the group. */
  isSurrendered: boolean;
  /** For each member, whether its backend server checked grants at the group's creation. */
  checksGrants: boolean[];
  /** Number of shards that the group owns. */
  shards: number;
}

/** Earlier owner of a shard that must be sealed before the current one may serve the shard. */
export interface Predecessor {
  group: Group;
  /** Offset of the move that transferred the shard to another group. */
  move: Offset;
}

/** Move of shards that the new owner has not activated yet. */
export interface PendingMove {
  move: Offset;
  pool: string;
  shards: number[];
  from: Group;
  to: Group;
  cause: MoveCause;
}

/** Configuration in force, with its version and who published it. */
export interface ConfigurationVersion {
  version: number;
  offset: Offset;
  by: string;
  configuration: Configuration;
}

/** Claim of the daemon whose placement proposals take effect. */
export interface PlannerClaim {
  claim: number;
  address: Address;
  incarnation: Incarnation;
}

/** Effect of one record on the ledger. */
export enum Effect {
  /** The record took effect. */
  Applied = "applied",
  /** A precondition of the record did not hold; it has no effect. */
  Conflict = "conflict",
  /** The record is corrupt or of an unknown kind; it has no effect. */
  Corrupt = "damaged",
}

/** Count of shards that changed their serving daemon, for one pool and cause. */
export interface ChurnCount {
  pool: string;
  cause: MoveCause;
  /** Number of shards. */
  amount: number;
}
