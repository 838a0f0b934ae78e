/**
 * Estimates the capacity of backend servers from their measured service times rather than from the slots that they
 * declare: servers of one service differ in speed by more than a factor of two, and some become slow. The few requests
 * of a server with hardly any load say little about how long the others take that it may get, so a short service time
 * is drawn towards that of the service. A request limit that a server names bounds its capacity.
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
/** Time whose requests a measured service time is based on, in seconds. */
const MEASURED_S = 3;
/** Number of requests as many of which a server must have had for its own service time to count half. */
const HALF_WEIGHT_REQUESTS = 5;
/** Factor above the mean service time for a server without a measured one; such a server may be cold. */
const COLD_FACTOR = 1.3;
/** Smallest capacity, in requests a second, so that the utilisation of a server that accepts nothing is finite. */
const CAPACITY_MIN = 0.5;

/** Returns the capacity of each candidate, in requests a second. */
export function capacities(candidates: Candidate[]): Map<Address, number> {
  const usualMs = meanServiceMs(candidates);
  return new Map(candidates.map((candidate) => {
    const { address, slots, requestsPerSecond = Infinity } = candidate;
    const limit = Math.max(CAPACITY_MIN, requestsPerSecond);
    return [address, Math.min(limit, slots * MS_PER_SECOND / expectedMs(candidate, usualMs))];
  }));
}

/** Mean service time of the service's requests, in milliseconds; of its servers where there are no requests. */
function meanServiceMs(candidates: Candidate[]): number {
  const measured = candidates.filter(({ serviceMs }) => serviceMs > 0);
  const hasRequests = measured.some(({ rate }) => rate > 0);
  const weightOf = ({ rate }: Candidate) => hasRequests ? rate : 1;
  const weight = measured.reduce((sum, candidate) => sum + weightOf(candidate), 0);
  return weight === 0 ? DEFAULT_SERVICE_MS : measured.reduce(
    (sum, candidate) => sum + candidate.serviceMs * weightOf(candidate),
    0,
  ) / weight;
}

/** Expected service time of further requests at a server, in milliseconds. */
function expectedMs({ serviceMs, rate }: Candidate, usualMs: number): number {
  if (serviceMs <= 0) {
    return usualMs * COLD_FACTOR;
  }
  const requests = rate * MEASURED_S;
  const drawnMs = (requests * serviceMs + HALF_WEIGHT_REQUESTS * usualMs) /
    (requests + HALF_WEIGHT_REQUESTS);
  return Math.max(serviceMs, drawnMs);
}
