/**
 * Positions of records in a topic of the store. When the store comes back from an older copy, a new era begins: the
 * records after the copy are lost, and their offsets are assigned again. A position names the era in which a record was
 * written beside its offset, so that positions are in the order of the writes.
 */
import type { Offset } from "@bulrushwood/types";

/** Era and offset of a record as one number; a later record of a topic has a higher one. */
export type Position = number;

/** Offsets that an era has room for. */
const OFFSETS_PER_ERA = 2 ** 32;

export function positionOf(era: number, offset: Offset): Position {
  return era * OFFSETS_PER_ERA + offset;
}

export function eraOf(position: Position): number {
  return Math.floor(position / OFFSETS_PER_ERA);
}

export function offsetOf(position: Position): Offset {
  return position % OFFSETS_PER_ERA;
}
