/**
 * Chooses owners for keys that have none or lose theirs: at the first start, and when a server leaves or is
 * lost. Each piece goes to the server that has the lowest utilisation with it.
 */
import { type Assignment, countKeys, type KeySpan } from "@bulrushwood/ledger_store";
import type { Address } from "@bulrushwood/types";
import { type Candidate, capacities, type Piece } from "./capacity.ts";

/** Number of pieces for each candidate, so that shares can differ by less than one server's share. */
const PIECES_PER_CANDIDATE = 2;
/** Load assumed for all keys of a service together while it is unknown, in requests a second. */
const ASSUMED_RATE = 1;

/** Cuts spans into about `count` pieces of equal size, each with its share of the assumed load. */
export function cutEvenly(spans: KeySpan[], count: number): Piece[] {
  const total = countKeys(spans);
  const size = Math.max(1, Math.ceil(total / count));
  const pieces: Piece[] = [];
  for (const span of spans) {
    for (let first = span.first; first <= span.last; first += size) {
      const last = Math.min(span.last, first + size - 1);
      pieces.push({ first, last, rate: ASSUMED_RATE * (last - first + 1) / total });
    }
  }
  return pieces;
}

/** Chooses an owner for each piece; null where there is no candidate. */
export function spread(pieces: Piece[], candidates: Candidate[]): Assignment[] {
  const capacity = capacities(candidates);
  const load = new Map(candidates.map(({ address, rate }) => [address, rate]));
  const utilisationWith = (address: Address, rate: number) =>
    ((load.get(address) ?? 0) + rate) / (capacity.get(address) ?? 1);
  return pieces.map(({ first, last, rate }) => {
    let to: Address | null = null;
    for (const { address } of candidates) {
      to = to === null || utilisationWith(address, rate) < utilisationWith(to, rate) ? address : to;
    }
    if (to !== null) {
      load.set(to, (load.get(to) ?? 0) + rate);
    }
    return { first, last, to, handover: null };
  });
}

/** Chooses owners for spans whose load is unknown. */
export function spreadEvenly(spans: KeySpan[], candidates: Candidate[]): Assignment[] {
  const count = Math.max(1, candidates.length * PIECES_PER_CANDIDATE);
  const pieces = cutEvenly(spans, count);
  return joinNeighbours(spread(pieces, candidates));
}

/** Merges neighbouring assignments to the same owner. */
export function joinNeighbours(assignments: Assignment[]): Assignment[] {
  const joined: Assignment[] = [];
  for (const assignment of assignments) {
    const previous = joined.at(-1);
    if (previous?.to === assignment.to && previous.last + 1 === assignment.first) {
      previous.last = assignment.last;
    } else {
      joined.push({ ...assignment });
    }
  }
  return joined;
}
