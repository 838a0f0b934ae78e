/**
 * Random choices.
 */
import type { Random } from "@bulrushwood/types";

/** Returns a random element. */
export function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random() * items.length)];
}

/** Returns a random whole number from `least` to `most`. */
export function pickNumber(least: number, most: number, random: Random): number {
  return least + Math.floor(random() * (most - least + 1));
}
