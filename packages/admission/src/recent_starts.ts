/**
 * Rate at which requests of each rank started recently. Requests of a lower rank start first, also those that arrive
 * later, so a queued request waits for them as well.
 */
import type { Clock } from "@bulrushwood/types";

/** Time constant with which starts count less, in milliseconds. */
const DECAY_MS = 1_000;
/** Smallest share of the capacity that is expected to be left for a rank, so that waits are finite. */
const SHARE_LEFT_MIN = 0.05;
const MS_PER_SECOND = 1_000;

/** Costs of the starts of one rank, weighted by their age. */
interface Costs {
  sum: number;
  updatedAt: number;
}

/** Recent starts by rank. */
export class RecentStarts {
  readonly #now: Clock;
  readonly #costs = new Map<number, Costs>();

  constructor(now: Clock) {
    this.#now = now;
  }

  /** Records that a request starts; its cost is in the unit of the capacity. */
  record(rank: number, cost: number): void {
    const costs = this.#costs.get(rank);
    const sum = costs === undefined ? 0 : this.#decayed(costs);
    this.#costs.set(rank, { sum: sum + cost, updatedAt: this.#now() });
  }

  /** Share of a capacity, in costs a second, that lower ranks are expected to leave for requests of a rank. */
  shareLeft(rank: number, capacity: number): number {
    let sum = 0;
    for (const [other, costs] of this.#costs) {
      sum += other < rank ? this.#decayed(costs) : 0;
    }
    const perSecond = sum * MS_PER_SECOND / DECAY_MS;
    return Math.max(SHARE_LEFT_MIN, 1 - perSecond / capacity);
  }

  #decayed({ sum, updatedAt }: Costs): number {
    return sum * Math.exp((updatedAt - this.#now()) / DECAY_MS);
  }
}
