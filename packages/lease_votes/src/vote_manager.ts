/**
 * Implements a daemon's role as voter: which tenures it supports and until when, and which it has sealed. The
 * state is in memory only; a restarted daemon is a different voter, which no earlier tenure lists.
 */
import type { Clock } from "@bulrushwood/types";
import { ALL_VOTE_RULES, type VoteRules } from "./rules.ts";

/** Clock, support time and rules of a daemon's votes. */
export interface VoteManagerOptions {
  now: Clock;
  /** Returns whether the tenure is suspected in the store, or this daemon's view of the store is too old to know. */
  mustReject: (tenure: string) => boolean;
  /** Returns whether a tenure is this daemon's own; it relies on its own support as long as it runs. */
  isOwn: (tenure: string) => boolean;
  rules?: VoteRules;
}

/** Manages the votes of one daemon. */
export class VoteManager {
  readonly #options: VoteManagerOptions;
  readonly #rules: VoteRules;
  readonly #until = new Map<string, number>();
  readonly #sealed = new Set<string>();

  constructor(options: VoteManagerOptions) {
    this.#options = options;
    this.#rules = options.rules ?? ALL_VOTE_RULES;
  }

  /** Supports a tenure for some time from now, in milliseconds; returns false when the vote is rejected. */
  support(tenure: string, supportMs: number): boolean {
    const isSealed = this.#rules.rejectSealed && this.#sealed.has(tenure);
    if (isSealed || this.#options.mustReject(tenure)) {
      return false;
    }
    const earlier = this.#rules.keepLongerVotes ? this.#until.get(tenure) ?? 0 : 0;
    this.#until.set(tenure, Math.max(earlier, this.#options.now() + supportMs));
    return true;
  }

  /** Seals a tenure permanently; returns false while support for it still runs. */
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
