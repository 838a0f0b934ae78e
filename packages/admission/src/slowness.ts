/**
 * How much longer than usual work takes at a backend server that shares its machine with others. Servers tell it with
 * each response, and it changes several times a second, so what was told loses its weight within tenths of a second.
 */
import type { Clock } from "@bulrushwood/types";

/** Time constant with which a slowness approaches the usual one, in milliseconds. */
const DECAY_MS = 250;
/** Range of values that are plausible; beyond it the nearest one counts. */
const RANGE = { least: 0.1, most: 20 };

/** Returns what is left of a slowness after some time, in milliseconds; 1 is the usual one. */
export function agedSlowness(slowness: number, ageMs: number): number {
  return 1 + (slowness - 1) * Math.exp(-Math.max(0, ageMs) / DECAY_MS);
}

/** The slowness that one server told last. */
export class Slowness {
  readonly #now: Clock;
  #told = 1;
  #toldAt = Number.NEGATIVE_INFINITY;

  constructor(now: Clock) {
    this.#now = now;
  }

  /** Records what a response told. */
  record(slowness: number): void {
    this.#told = Math.min(RANGE.most, Math.max(RANGE.least, slowness));
    this.#toldAt = this.#now();
  }

  /** Expected duration of work now, as a multiple of the usual. */
  get value(): number {
    return agedSlowness(this.#told, this.#now() - this.#toldAt);
  }
}
