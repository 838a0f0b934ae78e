/**
 * A daemon as voter: which tenures it supports and until when, and which it has sealed. All of it lives
 * in memory; a daemon that starts again is another voter, which no earlier tenure names.
 */
import type { Clock } from "@bulrushwood/types";
import { ALL_VOTE_RULES, type VoteRules } from "./rules.ts";

/** What a ballot box needs. */
export interface BallotBoxOptions {
  now: Clock;
  /** How long a vote supports a tenure, in milliseconds; the same in all daemons. */
  supportMs: number;
  /** Whether the store counts the tenure as suspected, or this daemon cannot know. */
  mustRefuse: (tenure: string) => boolean;
  /** Whether a tenure is this daemon's own; it counts on its own support as long as it runs. */
  isOwn: (tenure: string) => boolean;
  rules?: VoteRules;
}

/** Votes of one daemon. */
export class BallotBox {
  readonly #options: BallotBoxOptions;
  readonly #rules: VoteRules;
  readonly #until = new Map<string, number>();
  readonly #sealed = new Set<string>();

  constructor(options: BallotBoxOptions) {
    this.#options = options;
    this.#rules = options.rules ?? ALL_VOTE_RULES;
  }

  /** Supports a tenure for `supportMs` from now, or refuses. */
  support(tenure: string): boolean {
    const isSealed = this.#rules.refuseSealed && this.#sealed.has(tenure);
    if (isSealed || this.#options.mustRefuse(tenure)) {
      return false;
    }
    this.#until.set(tenure, this.#options.now() + this.#options.supportMs);
    return true;
  }

  /** Seals a tenure for good; refuses while support for it still runs. */
  seal(tenure: string): boolean {
    const isRunning = (this.#until.get(tenure) ?? 0) > this.#options.now() ||
      this.#options.isOwn(tenure);
    if (isRunning && this.#rules.sealAfterSupport) {
      return false;
    }
    this.#until.delete(tenure);
    this.#sealed.add(tenure);
    return true;
  }
}
