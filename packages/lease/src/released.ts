/**
 * Sets of moves of shards out of a group: those that a holder has released, and those (the floor) that a
 * voter requires a candidate to have released.
 */
import type { Offset } from "@bulrushwood/types";

/**
 * Set of moves out of one group: all up to and including offset `through`, and those in `beyond`. Later
 * moves are listed individually so that one long request does not delay the others.
 */
export interface MoveSet {
  through: Offset;
  beyond: Offset[];
}

/** Returns whether the set contains the move at an offset. */
export function includesMove(set: MoveSet, move: Offset): boolean {
  return move <= set.through || set.beyond.includes(move);
}

/** Returns whether a voter with this floor may support a holder that has released these moves. */
export function coversFloor(released: MoveSet, floor: MoveSet): boolean {
  if (released.through < floor.through) {
    return false;
  }
  return floor.beyond.every((move) => includesMove(released, move));
}

/** Adds a move to a floor, unless the floor contains it already. */
export function raiseFloor(floor: MoveSet, move: Offset): MoveSet {
  if (includesMove(floor, move)) {
    return floor;
  }
  return { through: floor.through, beyond: [...floor.beyond, move] };
}

/** Shortens a floor's list by the moves up to which a holder has released all. */
export function compactFloor(floor: MoveSet, released: MoveSet): MoveSet {
  const settled = floor.beyond.filter((move) => move <= released.through);
  if (settled.length === 0) {
    return floor;
  }
  const through = Math.max(floor.through, ...settled);
  return { through, beyond: floor.beyond.filter((move) => move > through) };
}
