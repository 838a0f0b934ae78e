/**
 * What a backend server can carry, from what it shows rather than from what it declares: servers of one
 * service differ in speed by more than two, and some turn slow.
 */
import type { KeySpan } from "@bulrushwood/ledger_store";
import type { Address } from "@bulrushwood/types";

/** Keys with the requests a second that ask for them. */
export interface Piece extends KeySpan {
  rate: number;
}

/** A server that may own keys. */
export interface Candidate {
  address: Address;
  slots: number;
  /** Mean time that it takes for one request, in milliseconds; 0 while unknown. */
  serviceMs: number;
  /** Requests a second for its keys. */
  rate: number;
  /** Requests that wait for it. */
  waiting: number;
  /** Whether it has just started and is still slow for that reason. */
  isCold: boolean;
  /** Number of keys that it owns. */
  keys: number;
  /** Its keys in pieces of about equal load. */
  pieces: Piece[];
}

/** Service time that is assumed where no server has shown one, in milliseconds. */
const USUAL_SERVICE_MS = 150;
const MS_PER_SECOND = 1_000;
/** A server without its own measurement may be slower than the mean by this factor while it is cold. */
const COLD_FACTOR = 1.3;

/** Requests a second that each candidate can carry. */
export function capacities(candidates: Candidate[]): Map<Address, number> {
  const known = candidates.map(({ serviceMs }) => serviceMs).filter((ms) => ms > 0);
  const meanMs = known.length === 0
    ? USUAL_SERVICE_MS
    : known.reduce((sum, ms) => sum + ms, 0) / known.length;
  return new Map(candidates.map(({ address, slots, serviceMs }) => {
    const ms = serviceMs > 0 ? serviceMs : meanMs * COLD_FACTOR;
    return [address, slots * MS_PER_SECOND / ms];
  }));
}
