/**
 * A daemon as candidate: until when its voters support its tenure. While it changes to a new tenure, the
 * store may name either of the two, so that both must be supported.
 */
import type { Address, Clock } from "@bulrushwood/types";
import { ALL_VOTE_RULES, DRIFT_MARGIN_MS, type VoteRules } from "./rules.ts";

/** A voter as a tenure names it. */
export interface Voter {
  address: Address;
  incarnation: string;
}

/** What a tenure needs. */
export interface TenureOptions {
  tenure: string;
  /** This daemon and those that it relies on. */
  voters: Voter[];
  self: Address;
  now: Clock;
  /** How long a vote supports a tenure, in milliseconds; the same in all daemons. */
  supportMs: number;
  rules?: VoteRules;
}

/** Number of voters that must support a tenure. */
export function quorumOf(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

/** Number of voters that must have sealed a tenure before it has ended for certain. */
export function sealsOf(voters: number): number {
  return voters - quorumOf(voters) + 1;
}

/** One tenure of this daemon. */
export class Tenure {
  readonly tenure: string;
  readonly voters: Voter[];
  readonly #options: TenureOptions;
  readonly #rules: VoteRules;
  readonly #until = new Map<Address, number>();

  constructor(options: TenureOptions) {
    this.#options = options;
    this.#rules = options.rules ?? ALL_VOTE_RULES;
    this.tenure = options.tenure;
    this.voters = options.voters;
  }

  /** Takes a voter's support; `sentAt` is when this daemon asked for it. */
  noteSupport(address: Address, incarnation: string, sentAt: number): void {
    const voter = this.voters.find((named) => named.address === address);
    if (voter === undefined) {
      return;
    }
    if (this.#rules.matchIncarnation && voter.incarnation !== incarnation) {
      return;
    }
    const { now, supportMs } = this.#options;
    const until = this.#rules.countFromSending
      ? sentAt + supportMs - DRIFT_MARGIN_MS
      : now() + supportMs;
    this.#until.set(address, Math.max(this.#until.get(address) ?? 0, until));
  }

  /** Until when enough voters support the tenure; this daemon always supports its own. */
  get supportedUntil(): number {
    const { self, now, supportMs } = this.#options;
    const untils = this.voters.map(({ address }) =>
      address === self ? now() + supportMs : this.#until.get(address) ?? Number.NEGATIVE_INFINITY
    );
    untils.sort((left, right) => right - left);
    return untils[quorumOf(untils.length) - 1] ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether a voter's support runs. */
  isSupportedBy(address: Address): boolean {
    return (this.#until.get(address) ?? 0) > this.#options.now();
  }

  /** Forgets all support, where time may have passed that this process did not count. */
  forget(): void {
    if (this.#rules.noticeSuspension) {
      this.#until.clear();
    }
  }
}
