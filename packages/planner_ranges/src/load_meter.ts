/**
 * Counts requests by key, fine enough to find a few hot neighbouring keys. The counts decay within about a
 * second, since a load spike lasts only some seconds.
 */
import { KEYS, type KeySpan } from "@bulrushwood/ledger_store";
import type { Clock } from "@bulrushwood/types";
import type { Piece } from "./capacity.ts";

/** Time in which the weight of a request decays to about a third (1/e), in milliseconds. */
export const DECAY_TIME_MS = 1_200;
/** Number of pieces that keys are cut into, besides the cuts between ranges. */
const PIECE_COUNT = 24;
const MS_PER_SECOND = 1_000;

/** Decaying request counts by key. */
export class LoadMeter {
  readonly #now: Clock;
  readonly #weights = new Float32Array(KEYS);
  #decayedAt: number;

  constructor(now: Clock) {
    this.#now = now;
    this.#decayedAt = now();
  }

  /** Adds one request for a key; `weight` is its load in mean requests. */
  record(key: number, weight = 1): void {
    this.#weights[key] += weight;
  }

  /** Cuts spans into pieces of about equal load. */
  cut(spans: KeySpan[]): Piece[] {
    this.#decay();
    const total = spans.reduce((sum, span) => sum + this.#weightOf(span), 0);
    const share = total / PIECE_COUNT;
    return spans.flatMap((span) => this.#cutSpan(span, share));
  }

  #decay(): void {
    const now = this.#now();
    const factor = Math.exp(-(now - this.#decayedAt) / DECAY_TIME_MS);
    this.#decayedAt = now;
    for (let key = 0; key < KEYS; key++) {
      this.#weights[key] *= factor;
    }
  }

  #weightOf(span: KeySpan): number {
    let weight = 0;
    for (let key = span.first; key <= span.last; key++) {
      weight += this.#weights[key];
    }
    return weight;
  }

  #cutSpan(span: KeySpan, share: number): Piece[] {
    const pieces: Piece[] = [];
    let { first } = span;
    let weight = 0;
    for (let key = span.first; key <= span.last; key++) {
      weight += this.#weights[key];
      if (key === span.last || (share > 0 && weight >= share)) {
        pieces.push({ first, last: key, rate: weight * MS_PER_SECOND / DECAY_TIME_MS });
        first = key + 1;
        weight = 0;
      }
    }
    return pieces;
  }
}
