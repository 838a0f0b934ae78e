/**
 * Balances load between servers that differ in speed, and distributes hot neighbouring keys: pieces of the
 * keys of a server with more than its share move to servers with room. This handles load spikes that last
 * some seconds, and servers that become slow. Small differences are ignored, since a key is not served for a
 * moment while it moves. A cold server is left as it is, since its warm-up of a few seconds is over before
 * moves would help. Where all servers are overloaded, only a large difference is worth an interruption;
 * where some have room, they can serve requests that others reject.
 */
import { countKeys, type KeySpan, sizeOf } from "@bulrushwood/ledger_store";
import type { Address } from "@bulrushwood/types";
import { type Candidate, capacities, type Piece } from "./capacity.ts";
import { isSignificant } from "./significance.ts";

/**
 * Smallest excess of utilisation over the mean at which a server's keys move, as a share of a server's
 * capacity.
 */
const EXCESS_MIN = 0.12;
/**
 * Smallest excess, as a share of the mean, where the mean is above a server's capacity and no server has room: then
 * all servers reject requests, wherever the keys are.
 */
const OVERLOAD_EXCESS_MIN = 0.5;
/** Utilisation below which a server certainly has room, random variation included. */
const ROOM_MAX = 0.85;
/** Utilisation up to which a server keeps its keys: its requests hardly queue. */
const BUSY_MIN = 0.5;
/** Queue length above which a server is busy at any rate, as a share of its slots. */
const QUEUE_MIN = 0.25;
/** Smallest gain that is worth the interruption of a move, as a share of a server's capacity. */
const GAIN_MIN = 0.04;
/**
 * Largest number of servers whose keys move in one round. Each of their daemons changes the table itself, and the more
 * do so at the same time, the more often each has to try.
 */
const DONORS_MAX = 6;
/** Mean utilisation above which a server without keys gets some even when no server is busy. */
const IDLE_MEAN_MIN = 0.02;

/**
 * Ratio to the mean rate of their server's keys above which keys are hot. Hot keys move first: the same load
 * moves with far fewer keys.
 */
const HOT_FACTOR = 8;

/** Change of owner that the planner wants for a span of keys. */
export interface Move extends KeySpan {
  from: Address;
  to: Address;
}

interface Receiver {
  address: Address;
  capacity: number;
  /** Rate that it can take until its utilisation reaches the mean, in requests a second. */
  room: number;
  /** Its keys and those that it gets. */
  spans: KeySpan[];
}

/** Returns the moves that balance the load; none where it is balanced well enough. */
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
    spans: [...candidate.pieces],
  })).filter(({ room, capacity: total }) => room > GAIN_MIN * total);
  const hasRoom = candidates.some((candidate) => utilisation(candidate) < ROOM_MAX);
  const excessMin = mean > 1 && !hasRoom ? OVERLOAD_EXCESS_MIN * mean : EXCESS_MIN;
  const hasEmpty = mean > IDLE_MEAN_MIN && candidates.some(({ keys }) => keys === 0);
  const donors = candidates
    .filter((candidate) => {
      if (candidate.isCold) {
        return false;
      }
      const excess = utilisation(candidate) - mean;
      const isQueueing = candidate.waiting > candidate.slots * QUEUE_MIN;
      const surplus = excess * capacityOf(candidate.address);
      const isBusy = (isQueueing || utilisation(candidate) > BUSY_MIN) && excess > excessMin &&
        isSignificant(candidate.rate, surplus);
      return isBusy || (hasEmpty && excess > 0);
    })
    .sort((left, right) => utilisation(right) - utilisation(left))
    .slice(0, DONORS_MAX);
  return donors.flatMap((donor) => {
    const surplus = donor.rate - mean * capacityOf(donor.address);
    return moveSurplus(donor, surplus, receivers);
  });
}

/**
 * Moves hot pieces first, then pieces next to the keys of a server with room, since keys need a grant for each run of them,
 * then pieces from the end of a donor's keys. Fills one receiver after the other.
 */
function moveSurplus(donor: Candidate, surplus: number, receivers: Receiver[]): Move[] {
  const moves: Move[] = [];
  let remaining = surplus;
  const available = receivers.filter(({ address }) => address !== donor.address)
    .sort((one, other) => other.room - one.room);
  const { hot, others } = splitHot([...donor.pieces].reverse());
  const findReceiver = (piece: Piece) => available.find(({ room }) => room > piece.rate / 2);
  const findNeighbour = (piece: Piece) =>
    available.find(({ room, spans }) => room > piece.rate / 2 && touches(piece, spans));
  const move = (piece: Piece, receiver: Receiver | undefined) => {
    if (receiver === undefined || remaining < piece.rate / 2) {
      return;
    }
    addMove(moves, piece, { from: donor.address, to: receiver.address });
    receiver.room -= piece.rate;
    receiver.spans.push(piece);
    remaining -= piece.rate;
  };
  hot.forEach((piece) => move(piece, findReceiver(piece)));
  while (others.length > 0 && remaining >= 0 && available.some(({ room }) => room > 0)) {
    const index = others.findIndex((piece) => findNeighbour(piece) !== undefined);
    const [piece] = others.splice(Math.max(0, index), 1);
    move(piece, findNeighbour(piece) ?? findReceiver(piece));
  }
  return moves;
}

/** Whether a span ends where one of the others begins, or begins where one ends. */
function touches(span: KeySpan, others: KeySpan[]): boolean {
  return others.some(({ first, last }) => last + 1 === span.first || span.last + 1 === first);
}

/** Splits pieces into the hot ones and the others. */
function splitHot(pieces: Piece[]): { hot: Piece[]; others: Piece[] } {
  const rate = pieces.reduce((sum, piece) => sum + piece.rate, 0);
  const isHot = (piece: Piece) =>
    piece.rate / sizeOf(piece) > HOT_FACTOR * rate / countKeys(pieces);
  return { hot: pieces.filter(isHot), others: pieces.filter((piece) => !isHot(piece)) };
}

/** Adds a piece to the moves; extends a move to the same receiver that it touches. */
function addMove(moves: Move[], piece: Piece, direction: { from: Address; to: Address }): void {
  const neighbour = moves.find((move) => move.to === direction.to && touches(piece, [move]));
  if (neighbour === undefined) {
    moves.push({ first: piece.first, last: piece.last, ...direction });
  } else {
    neighbour.first = Math.min(neighbour.first, piece.first);
    neighbour.last = Math.max(neighbour.last, piece.last);
  }
}
