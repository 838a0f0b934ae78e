/**
 * A kind of fault that a soak plays.
 */
import type { Random } from "@bulrushwood/types";
import type { Deployment } from "../deployment.ts";

/** Kind of fault. Faults overlap: the soak does not wait for the one before. */
export interface Fault {
  name: string;
  /** Relative frequency. */
  weight: number;
  /** Whether it acts on the proxies of the daemons' connections. */
  needsProxies?: boolean;
  /** Plays the fault once, and resolves when it is over. Takes all random numbers from `random`. */
  play: (deployment: Deployment, random: Random) => Promise<void> | void;
}

/** Returns a random element. */
export function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[Math.floor(random() * items.length)];
}

/** Returns a random whole number from `least` to `most`. */
export function pickNumber(least: number, most: number, random: Random): number {
  return least + Math.floor(random() * (most - least + 1));
}
