/**
 * Implements a daemon's role as candidate: until when its voters support its tenure. During the change to a
 * new tenure, the store may hold either of the two, so both must be supported.
 */
import type { Address, Clock } from "@bulrushwood/types";
import { ALL_VOTE_RULES, DRIFT_MARGIN_MS, type VoteRules } from "./rules.ts";

/** Voter of a tenure; another incarnation at the same address is not the same voter. */
export interface Voter {
  address: Address;
  incarnation: string;
}

/** Name, voters and timing of a tenure. */
export interface TenureOptions {
  tenure: string;
  /** This daemon and the daemons whose votes it relies on. */
  voters: Voter[];
  self: Address;
  now: Clock;
  /** Returns how long this daemon supports its own tenure, in milliseconds. */
  supportMs: () => number;
  rules?: VoteRules;
}

/** Returns the number of voters that must support a tenure: a majority. */
export function quorumOf(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

/** Returns the number of voters that must have sealed a tenure before it has certainly ended. */
export function sealQuorumOf(voters: number): number {
  return voters - quorumOf(voters) + 1;
}

/** One tenure of this daemon, with the support of its voters. */
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

  /** Records a voter's support for `supportMs`; `sentAt` is when this daemon requested it. */
  recordSupport(
    address: Address,
    incarnation: string,
    { sentAt, supportMs }: { sentAt: number; supportMs: number },
  ): void {
    const voter = this.voters.find((candidate) => candidate.address === address);
    if (voter === undefined) {
      return;
    }
    if (this.#rules.matchIncarnation && voter.incarnation !== incarnation) {
      return;
    }
    const { now } = this.#options;
    const until = this.#rules.countFromSending
      ? sentAt + supportMs - DRIFT_MARGIN_MS
      : now() + supportMs;
    this.#until.set(address, Math.max(this.#until.get(address) ?? 0, until));
  }

  /** Time until which a majority of voters supports the tenure; this daemon always supports its own. */
  get supportedUntil(): number {
    const { self, now, supportMs } = this.#options;
    const ends = this.voters.map(({ address }) =>
      address === self ? now() + supportMs() : this.#until.get(address) ?? Number.NEGATIVE_INFINITY
    );
    ends.sort((left, right) => right - left);
    return ends[quorumOf(ends.length) - 1] ?? Number.NEGATIVE_INFINITY;
  }

  /** Returns whether a voter supports the tenure now. */
  isSupportedBy(address: Address): boolean {
    return (this.#until.get(address) ?? 0) > this.#options.now();
  }

  /** Drops all support, for use when time may have passed that this process did not count. */
  dropSupport(): void {
    if (this.#rules.noticeSuspension) {
      this.#until.clear();
    }
  }
}
