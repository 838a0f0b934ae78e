/**
 * One daemon as voter: for each lease group it belongs to, which step it supports and until when, and
 * which moves it has sealed. A voter decides nothing about who; the log does. It only keeps the time at
 * which the successor may follow the holder.
 */
import type { Address, Clock, Group, Incarnation, Offset } from "@bulrushwood/types";
import type { LeaseGroup, Ledger } from "@bulrushwood/ledger";
import type { Bid, Vote } from "./messages.ts";
import { compactFloor, coversFloor, includesMove, type MoveSet, raiseFloor } from "./released.ts";
import { ALL_RULES, type Rules } from "./rules.ts";

interface Support {
  /** 0 for the holder, 1 for the successor; never goes back. */
  step: number;
  /** When the support ends, on this process's clock in milliseconds. */
  until: number;
  /** What the supported candidate had released when it was last supported. */
  released: MoveSet;
  /** Sealed moves: no candidate is supported that has not released them. */
  floor: MoveSet;
  /** Whether the holder has said that it gave the group up. */
  surrendered: boolean;
  /** When the holder was last supported; undefined for never. */
  holderSupportedAt: number | undefined;
}

/** What a voter needs. */
export interface VoterOptions {
  ledger: Ledger;
  address: Address;
  incarnation: Incarnation;
  now: Clock;
  /** How long one vote supports a candidate, in milliseconds. */
  durationMs: number;
  rules?: Rules;
}

/** Votes for the lease groups that this daemon belongs to. */
export class Voter {
  readonly #options: VoterOptions;
  readonly #rules: Rules;
  readonly #startedAt: number;
  readonly #supports = new Map<Group, Support>();

  constructor(options: VoterOptions) {
    this.#options = options;
    this.#rules = options.rules ?? ALL_RULES;
    this.#startedAt = options.now();
  }

  /** Whether support that an earlier incarnation may have given has run out. */
  get isReady(): boolean {
    const { now, durationMs } = this.#options;
    return !this.#rules.restartWait || now() >= this.#startedAt + durationMs;
  }

  /** The step that this voter supports. */
  stepOf(group: Group): number {
    return this.#supports.get(group)?.step ?? 0;
  }

  /** Whether this voter's support for a group's holder still runs. */
  isSupporting(group: Group): boolean {
    return (this.#supports.get(group)?.until ?? 0) > this.#options.now();
  }

  /** When this voter last supported a group's holder; undefined for never. */
  lastSupportedAt(group: Group): number | undefined {
    return this.#supports.get(group)?.holderSupportedAt;
  }

  /** Whether a bid would be granted now. */
  wouldGrant(bid: Bid): boolean {
    const group = this.#options.ledger.groups.get(bid.group);
    if (group === undefined || !this.isReady || !this.#isMember(group)) {
      return false;
    }
    if (group.members[bid.step]?.incarnation !== bid.incarnation) {
      return false;
    }
    const support = this.#supportOf(bid.group);
    if (this.#rules.floors && !coversFloor(bid.released, support.floor)) {
      return false;
    }
    return bid.step === 0 ? this.#mayHold(group, support) : this.#maySucceed(group, support);
  }

  #isMember(group: LeaseGroup): boolean {
    return group.members.some((member) => member.address === this.#options.address);
  }

  /** A voter that restarted after the group was made cannot know which step it had reached. */
  #mayHold(group: LeaseGroup, support: Support): boolean {
    const remembers = group.group > this.#options.incarnation ||
      !this.#rules.restartWait;
    return support.step === 0 && remembers;
  }

  #maySucceed(group: LeaseGroup, support: Support): boolean {
    if (support.step === 1) {
      return true;
    }
    if (support.surrendered) {
      return true;
    }
    const expired = support.until <= this.#options.now();
    return expired && this.#holderIsHarmless(group);
  }

  /** A holder beside a server that checks no grants may send a late order until it is proven gone. */
  #holderIsHarmless(group: LeaseGroup): boolean {
    const holder = group.members[0];
    return group.checksGrants[0] ||
      this.#options.ledger.isProvenGone(holder.address, holder.incarnation);
  }

  /** Grants or refuses a bid. */
  vote(bid: Bid): Vote {
    if (!this.wouldGrant(bid)) {
      return { group: bid.group, granted: false, step: this.stepOf(bid.group) };
    }
    const support = this.#supportOf(bid.group);
    support.step = bid.step;
    support.until = this.#options.now() + this.#options.durationMs;
    if (bid.step === 0) {
      support.holderSupportedAt = this.#options.now();
    }
    support.released = bid.released;
    support.floor = compactFloor(support.floor, bid.released);
    this.#supports.set(bid.group, support);
    return { group: bid.group, granted: true, step: support.step };
  }

  /**
   * Seals a move out of a group: from then on no candidate is supported that has not released it.
   * Returns false while support that this voter gave may still cover the moved shards.
   */
  seal(group: Group, move: Offset): boolean {
    const support = this.#supportOf(group);
    if (this.#rules.sealCheck) {
      const running = support.until > this.#options.now();
      if (!this.isReady || (running && !includesMove(support.released, move))) {
        return false;
      }
    }
    support.floor = raiseFloor(support.floor, move);
    this.#supports.set(group, support);
    return true;
  }

  /** Notes what a supported candidate has released since its last bid. */
  noteReleased(group: Group, released: MoveSet): void {
    const support = this.#supports.get(group);
    if (support !== undefined) {
      support.released = released;
    }
  }

  /** Takes the holder's word that it has given the group up. */
  acceptSurrender(group: Group): void {
    const support = this.#supportOf(group);
    if (support.step === 0) {
      support.step = 1;
      support.until = 0;
      support.surrendered = true;
      this.#supports.set(group, support);
    }
  }

  /** Forgets groups that the log no longer knows. */
  forgetRetired(): void {
    for (const group of this.#supports.keys()) {
      const isFolded = group <= this.#options.ledger.folded;
      if (isFolded && !this.#options.ledger.groups.has(group)) {
        this.#supports.delete(group);
      }
    }
  }

  #supportOf(group: Group): Support {
    const known = this.#supports.get(group);
    if (known !== undefined) {
      return known;
    }
    const older = group < this.#options.incarnation && this.#rules.floors;
    const through = older ? this.#options.incarnation : 0;
    return {
      step: 0,
      until: 0,
      released: { through: 0, beyond: [] },
      floor: { through, beyond: [] },
      surrendered: false,
      holderSupportedAt: undefined,
    };
  }
}
