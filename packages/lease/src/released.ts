/**
 * Which moves of shards out of a group a holder has carried out, and which ones a voter insists on.
 */
import type { Offset } from "@bulrushwood/types";

/**
 * A set of moves out of one group: all up to and including offset `through`, and the ones in `beyond`.
 * A few later moves are listed one by one so that one long request does not hold back the others.
 */
export interface MoveSet {
  through: Offset;
  beyond: Offset[];
}

/** Whether the set contains the move at an offset. */
export function includesMove(set: MoveSet, move: Offset): boolean {
  return move <= set.through || set.beyond.includes(move);
}

/** Whether a holder that has released `released` may be supported by a voter with floor `floor`. */
export function coversFloor(released: MoveSet, floor: MoveSet): boolean {
  if (released.through < floor.through) {
    return false;
  }
  return floor.beyond.every((move) => includesMove(released, move));
}

/** Adds a move to a floor. */
export function raiseFloor(floor: MoveSet, move: Offset): MoveSet {
  if (includesMove(floor, move)) {
    return floor;
  }
  return { through: floor.through, beyond: [...floor.beyond, move] };
}

/** Shortens a floor's list by what a holder has released without gaps. */
export function compactFloor(floor: MoveSet, released: MoveSet): MoveSet {
  const settled = floor.beyond.filter((move) => move <= released.through);
  if (settled.length === 0) {
    return floor;
  }
  const through = Math.max(floor.through, ...settled);
  return { through, beyond: floor.beyond.filter((move) => move > through) };
}
