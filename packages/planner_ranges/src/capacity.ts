/**
 * Estimates the capacity of backend servers from their measured service times rather than from the slots that they
 * declare: servers of one service differ in speed by more than a factor of two, and some become slow. A request
 * limit that a server names bounds its capacity.
 */
import type { KeySpan } from "@bulrushwood/ledger_store";
import type { Address } from "@bulrushwood/types";

/** Span of keys with its rate in requests a second. */
export interface Piece extends KeySpan {
  rate: number;
}

/** Server that may own keys, with its load. */
export interface Candidate {
  address: Address;
  slots: number;
  /** Requests a second that it accepts; undefined where it names no limit. */
  requestsPerSecond?: number;
  /** Mean service time of a request, in milliseconds; 0 while unknown. */
  serviceMs: number;
  /** Rate of its keys, in requests a second. */
  rate: number;
  /** Number of requests that are queued for it. */
  waiting: number;
  /** Whether it has just started and still warms up. */
  isCold: boolean;
  /** Number of keys that it owns. */
  keys: number;
  /** Its keys in pieces of about equal load. */
  pieces: Piece[];
}

/** Service time that is assumed while no server has a measured one, in milliseconds. */
const DEFAULT_SERVICE_MS = 150;
const MS_PER_SECOND = 1_000;
/** Factor above the mean service time for a server without a measured one; such a server may be cold. */
const COLD_FACTOR = 1.3;
/** Smallest capacity, in requests a second, so that the utilisation of a server that accepts nothing is finite. */
const CAPACITY_MIN = 0.5;

/** Returns the capacity of each candidate, in requests a second. */
export function capacities(candidates: Candidate[]): Map<Address, number> {
  const measuredMs = candidates.map(({ serviceMs }) => serviceMs).filter((ms) => ms > 0);
  const meanMs = measuredMs.length === 0
    ? DEFAULT_SERVICE_MS
    : measuredMs.reduce((sum, ms) => sum + ms, 0) / measuredMs.length;
  return new Map(candidates.map(({ address, slots, serviceMs, requestsPerSecond = Infinity }) => {
    const ms = serviceMs > 0 ? serviceMs : meanMs * COLD_FACTOR;
    const limit = Math.max(CAPACITY_MIN, requestsPerSecond);
    return [address, Math.min(limit, slots * MS_PER_SECOND / ms)];
  }));
}
