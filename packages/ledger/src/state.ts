/**
 * The shapes that the ledger folds records into.
 */
import type { Address, Group, Incarnation, MoveCause, Offset } from "@bulrushwood/types";
import type { Configuration } from "@bulrushwood/settings";
import type { ServerDescription } from "./records.ts";

/** Whether an incarnation of a daemon takes part. */
export enum Presence {
  Present = "present",
  /** Finishing its work; no keys are placed on it. */
  Leaving = "leaving",
  /** Ended by itself, after it gave up all its keys. */
  Left = "left",
  /** Not heard of by its peers; the process may still run. */
  Lost = "lost",
  /** An operator vouches that the process does not run. */
  DeclaredLost = "declared-lost",
}

/** The latest incarnation of one daemon. */
export interface Instance {
  address: Address;
  incarnation: Incarnation;
  name: string;
  dataCentre: string;
  region: string;
  /** Address of its administration API. */
  admin: Address;
  presence: Presence;
  /** Set when another daemon had to follow it; cleared by its next word about its server. */
  isSuspected: boolean;
  server: ServerDescription | null;
}

/** One voter of a lease group, as it was when the group was created. */
export interface Member {
  address: Address;
  incarnation: Incarnation;
}

/** A lease group: holder, successor and witness, in this order. */
export interface LeaseGroup {
  group: Group;
  pool: string;
  members: Member[];
  /** 0 while the holder holds, 1 once the log tells of the successor. */
  step: number;
  /** Whether the holder, or the successor that followed it, has given the group up. */
  isSurrendered: boolean;
  /** For each member, whether the backend server beside it checked grants at the creation. */
  checksGrants: boolean[];
  /** How many shards the group owns. */
  shards: number;
}

/** An earlier owner that must be sealed before the present one may serve. */
export interface Predecessor {
  group: Group;
  /** Offset of the move that took the shard from it. */
  move: Offset;
}

/** A move that its new owner has not yet activated. */
export interface PendingMove {
  move: Offset;
  pool: string;
  shards: number[];
  from: Group;
  to: Group;
  cause: MoveCause;
}

/** The configuration in force. */
export interface ConfigurationVersion {
  version: number;
  offset: Offset;
  by: string;
  configuration: Configuration;
}

/** Whose placement proposals count. */
export interface PlannerClaim {
  claim: number;
  address: Address;
  incarnation: Incarnation;
}

/** What folding one record did. */
export enum Effect {
  /** The record took effect. */
  Applied = "applied",
  /** What the record builds on did not hold; it has no effect. */
  Conflict = "conflict",
  /** The record is damaged or of an unknown kind; it has no effect. */
  Damaged = "damaged",
}

/** Shards that changed their serving daemon for one cause. */
export interface ChurnCount {
  pool: string;
  cause: MoveCause;
  /** Number of shards. */
  amount: number;
}
