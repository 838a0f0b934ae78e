/**
 * Chooses owners for keys that have none or lose theirs: at the first start, and when a server leaves or is
 * lost.
 */
import { type Assignment, countKeys, type KeySpan, sizeOf } from "@bulrushwood/ledger_store";
import type { Address } from "@bulrushwood/types";
import { type Candidate, capacities, type Piece } from "./capacity.ts";

/** Number of pieces for each candidate, so that shares can differ by less than one server's share. */
const PIECES_PER_CANDIDATE = 2;
/**
 * Number of pieces for each server that gets first keys. Busy keys are close to one another, so the more pieces, the more
 * evenly they are shared; but each piece needs a grant of its own.
 */
const FIRST_PIECES_PER_CANDIDATE = 4;
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

/** Server that gets keys, with its capacity and its load in requests a second. */
interface Receiver {
  address: Address;
  capacity: number;
  load: number;
}

/** Options of `spread`. */
export interface SpreadOptions {
  /** Returns the owner of a key before, next to which its keys need no grant of their own; null for none. */
  ownerOf?: (key: number) => Address | null;
}

/**
 * Chooses the owners of pieces; null where there is no candidate. Fills all candidates up to the same utilisation.
 * Each one gets neighbouring pieces, next to keys of its own where it has some: keys need a grant for each run of them.
 */
export function spread(
  pieces: Piece[],
  candidates: Candidate[],
  options: SpreadOptions = {},
): Assignment[] {
  const { ownerOf = () => null } = options;
  const weighted = withAssumedLoad(pieces);
  const receivers = toReceivers(candidates, ({ rate }) => rate);
  const level = commonUtilisation(receivers, weighted.reduce((sum, { rate }) => sum + rate, 0));
  const roomOf = ({ capacity: total, load }: Receiver) => level * total - load;
  let previous: Piece | undefined;
  let current: Receiver | undefined;
  const assignments = weighted.map((piece) => {
    const isNext = previous !== undefined && previous.last + 1 === piece.first;
    const isNeighbour = (receiver: Receiver) =>
      (isNext ? receiver === current : receiver.address === ownerOf(piece.first - 1)) ||
      receiver.address === ownerOf(piece.last + 1);
    const neighbours = receivers.filter((receiver) =>
      roomOf(receiver) > 0 && isNeighbour(receiver)
    );
    current = neighbours.find((receiver) => receiver === current) ?? neighbours[0] ??
      receivers.toSorted((one, other) => roomOf(other) - roomOf(one))[0];
    previous = piece;
    if (current !== undefined) {
      current.load += piece.rate;
    }
    return {
      first: piece.first,
      last: piece.last,
      to: current?.address ?? null,
      handover: null,
    };
  });
  return joinNeighbours(assignments);
}

/** Returns the candidates as receivers with an initial load, in requests a second. */
function toReceivers(
  candidates: Candidate[],
  loadOf: (candidate: Candidate) => number,
): Receiver[] {
  const capacity = capacities(candidates);
  return candidates.map((candidate) => ({
    address: candidate.address,
    capacity: capacity.get(candidate.address) ?? 1,
    load: loadOf(candidate),
  }));
}

/** Adds to the load of each piece its share of the assumed load, so that keys without requests are spread as well. */
function withAssumedLoad(pieces: Piece[]): Piece[] {
  const total = countKeys(pieces);
  return pieces.map((piece) => ({
    ...piece,
    rate: piece.rate + ASSUMED_RATE * sizeOf(piece) / total,
  }));
}

/** Returns the utilisation that receivers reach once they share a load; one that is busier already gets none of it. */
function commonUtilisation(receivers: Receiver[], rate: number): number {
  let [load, capacity] = [rate, 0];
  for (const receiver of byUtilisation(receivers)) {
    if (capacity > 0 && utilisation(receiver) >= load / capacity) {
      break;
    }
    load += receiver.load;
    capacity += receiver.capacity;
  }
  return capacity > 0 ? load / capacity : 0;
}

function utilisation({ load, capacity }: Receiver): number {
  return load / capacity;
}

/** Returns receivers with the least busy first, and equally busy ones in their order. */
function byUtilisation(receivers: Receiver[]): Receiver[] {
  return receivers.toSorted((one, other) => utilisation(one) - utilisation(other));
}

/** Chooses owners for spans whose load is unknown. */
export function spreadEvenly(spans: KeySpan[], candidates: Candidate[]): Assignment[] {
  const count = Math.max(1, candidates.length * PIECES_PER_CANDIDATE);
  return spread(cutEvenly(spans, count), candidates);
}

/**
 * Chooses the first owners of spans: each server gets several pieces in turn, so that neighbouring keys belong to different
 * servers, in proportion to their capacity.
 */
export function interleave(spans: KeySpan[], candidates: Candidate[]): Assignment[] {
  const receivers = toReceivers(candidates, () => 0);
  const pieces = cutEvenly(spans, Math.max(1, candidates.length * FIRST_PIECES_PER_CANDIDATE));
  const assignments = pieces.map(({ first, last, rate }) => {
    const receiver = byUtilisation(receivers).at(0);
    if (receiver !== undefined) {
      receiver.load += rate;
    }
    return { first, last, to: receiver?.address ?? null, handover: null };
  });
  return joinNeighbours(assignments);
}

/** Merges neighbouring assignments to the same owner. */
function joinNeighbours(assignments: Assignment[]): Assignment[] {
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
