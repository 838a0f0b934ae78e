/**
 * Evens load between servers that differ in speed, and takes a rush on neighbouring keys apart: a server
 * that is asked for more than its share gives pieces of its keys to those with room. Answers rushes that
 * last some seconds and servers that turn slow; leaves small differences alone, since a key that moves is
 * not served for a moment. A server that has just started is slow for a few seconds, which passes sooner
 * than moves would help. Where all are overloaded, only a large difference is worth an interruption.
 */
import { countKeys, type KeySpan, sizeOf } from "@bulrushwood/ledger_store";
import type { Address } from "@bulrushwood/types";
import { type Candidate, capacities, type Piece } from "./capacity.ts";
import { isBeyondChance } from "./chance.ts";

/**
 * A server gives keys once its utilisation is so much above the mean, as a share of a server, or of the
 * mean where that is more than a server.
 */
const EXCESS_MIN = 0.12;
/** The same where the mean is more than a server can do: then all refuse, wherever keys are. */
const OVERLOAD_EXCESS_MIN = 0.5;
/** Below this utilisation a server is left as it is: its requests hardly wait. */
const BUSY_MIN = 0.5;
/** A server where so many requests wait is busy, as a share of its slots, whatever the rate seen so far. */
const QUEUE_MIN = 0.25;
/** A move that evens less than this is not worth its interruption, as a share of a server. */
const GAIN_MIN = 0.04;
/** A server without keys gets some even when no one is busy, if the mean utilisation is above this. */
const IDLE_MEAN_MIN = 0.02;

/**
 * Keys asked for so many times more than the mean of their server are a rush. They go first: the same load
 * moves with far fewer keys.
 */
const RUSH_FACTOR = 8;

/** Keys that should go from one server to another. */
export interface Move extends KeySpan {
  from: Address;
  to: Address;
}

interface Receiver {
  address: Address;
  capacity: number;
  /** Requests a second that it can take before it is at the mean. */
  room: number;
}

/** Plans the moves that even load; none where it is even enough. */
export function rebalance(candidates: Candidate[]): Move[] {
  const capacity = capacities(candidates);
  const totalRate = candidates.reduce((sum, { rate }) => sum + rate, 0);
  const totalCapacity = [...capacity.values()].reduce((sum, value) => sum + value, 0);
  if (candidates.length < 2 || totalRate <= 0) {
    return [];
  }
  const mean = totalRate / totalCapacity;
  const capacityOf = (address: Address) => capacity.get(address) ?? 1;
  const utilisation = ({ address, rate }: Candidate) => rate / capacityOf(address);
  const receivers = candidates.map((candidate) => ({
    address: candidate.address,
    capacity: capacityOf(candidate.address),
    room: (mean - utilisation(candidate)) * capacityOf(candidate.address),
  })).filter(({ room, capacity: whole }) => room > GAIN_MIN * whole);
  const excessMin = mean > 1 ? OVERLOAD_EXCESS_MIN * mean : EXCESS_MIN;
  const hasIdle = mean > IDLE_MEAN_MIN && candidates.some(({ keys }) => keys === 0);
  const donors = candidates
    .filter((candidate) => {
      if (candidate.isCold) {
        return false;
      }
      const excess = utilisation(candidate) - mean;
      const isQueueing = candidate.waiting > candidate.slots * QUEUE_MIN;
      const surplus = excess * capacityOf(candidate.address);
      const isBusy = (isQueueing || utilisation(candidate) > BUSY_MIN) && excess > excessMin &&
        isBeyondChance(candidate.rate, surplus);
      return isBusy || (hasIdle && excess > 0);
    })
    .sort((left, right) => utilisation(right) - utilisation(left));
  return donors.flatMap((donor) => {
    const surplus = donor.rate - mean * capacityOf(donor.address);
    return giveAway(donor, surplus, receivers);
  });
}

/** Takes pieces of a rush first, then from the end of a donor's keys; fills one receiver after the other. */
function giveAway(donor: Candidate, surplus: number, receivers: Receiver[]): Move[] {
  const moves: Move[] = [];
  let left = surplus;
  const open = receivers.filter(({ address }) => address !== donor.address)
    .sort((one, other) => other.room - one.room);
  for (const piece of rushFirst([...donor.pieces].reverse())) {
    const receiver = open.find(({ room }) => room > piece.rate / 2);
    if (receiver === undefined || left < piece.rate / 2) {
      continue;
    }
    addMove(moves, piece, { from: donor.address, to: receiver.address });
    receiver.room -= piece.rate;
    left -= piece.rate;
  }
  return moves;
}

/** Pieces in their order, those of a rush before the others. */
function rushFirst(pieces: Piece[]): Piece[] {
  const rate = pieces.reduce((sum, piece) => sum + piece.rate, 0);
  const isRush = (piece: Piece) =>
    piece.rate / sizeOf(piece) > RUSH_FACTOR * rate / countKeys(pieces);
  return [...pieces.filter(isRush), ...pieces.filter((piece) => !isRush(piece))];
}

/** Joins a piece to the last move where it continues it. */
function addMove(moves: Move[], piece: Piece, way: { from: Address; to: Address }): void {
  const previous = moves.at(-1);
  if (previous?.to === way.to && piece.last + 1 === previous.first) {
    previous.first = piece.first;
  } else {
    moves.push({ first: piece.first, last: piece.last, ...way });
  }
}
