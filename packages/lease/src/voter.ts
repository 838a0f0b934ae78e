/**
 * State of one daemon as a voter: for each lease group that it belongs to, which step it supports and until
 * when, and which moves it has sealed. The log alone decides who holder and successor are; a voter only
 * guards the time from which the successor may replace the holder.
 */
import type { Address, Clock, Group, Incarnation, Offset } from "@bulrushwood/types";
import type { LeaseGroup, Ledger } from "@bulrushwood/ledger";
import type { Bid, Vote } from "./messages.ts";
import { compactFloor, coversFloor, includesMove, type MoveSet, raiseFloor } from "./released.ts";
import { ALL_RULES, type Rules } from "./rules.ts";

interface Support {
  /** 0 for the holder, 1 for the successor; never decreases. */
  step: number;
  /** When the vote expires, on this process's clock in milliseconds. */
  until: number;
  /** Moves that the supported candidate has released, as last reported. */
  released: MoveSet;
  /** Sealed moves; a candidate that has not released all of them gets no vote. */
  floor: MoveSet;
  /** Whether the holder has notified this voter that it surrendered the group. */
  surrendered: boolean;
  /** When the holder was last supported; undefined for never. */
  holderSupportedAt: number | undefined;
}

/** Settings and dependencies of a voter. */
export interface VoterOptions {
  ledger: Ledger;
  address: Address;
  incarnation: Incarnation;
  now: Clock;
  /** Duration of one vote, in milliseconds. */
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

  /** Whether all votes that an earlier incarnation may have granted have expired. */
  get isReady(): boolean {
    const { now, durationMs } = this.#options;
    return !this.#rules.restartWait || now() >= this.#startedAt + durationMs;
  }

  /** Returns the step that this voter supports: 0 for the holder, 1 for the successor. */
  stepOf(group: Group): number {
    return this.#supports.get(group)?.step ?? 0;
  }

  /** Returns whether this voter's last vote in a group is still running. */
  isSupporting(group: Group): boolean {
    return (this.#supports.get(group)?.until ?? 0) > this.#options.now();
  }

  /** Returns when this voter last supported a group's holder; undefined for never. */
  lastSupportedAt(group: Group): number | undefined {
    return this.#supports.get(group)?.holderSupportedAt;
  }

  /** Returns whether a bid would be granted now. */
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

  /**
   * Whether the holder may be supported. A voter that restarted after the group was created has lost which
   * step it supported, so it must not vote for the holder again.
   */
  #mayHold(group: LeaseGroup, support: Support): boolean {
    const hasHistory = group.group > this.#options.incarnation ||
      !this.#rules.restartWait;
    return support.step === 0 && hasHistory;
  }

  #maySucceed(group: LeaseGroup, support: Support): boolean {
    if (support.step === 1) {
      return true;
    }
    if (support.surrendered) {
      return true;
    }
    const expired = support.until <= this.#options.now();
    return expired && this.#isHolderFenced(group);
  }

  /**
   * Whether no late request of the holder can run after its lease. A backend server that checks grants rejects
   * such a request; otherwise the log must first prove that the holder no longer runs.
   */
  #isHolderFenced(group: LeaseGroup): boolean {
    const holder = group.members[0];
    return group.checksGrants[0] ||
      this.#options.ledger.isProvenStopped(holder.address, holder.incarnation);
  }

  /** Grants or rejects a bid. */
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
   * Seals a move out of a group: from then on, a candidate that has not released it gets no vote. Returns
   * false while a vote of this daemon may still cover the moved shards.
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

  /** Updates the moves that a supported candidate has released since its last bid. */
  recordReleased(group: Group, released: MoveSet): void {
    const support = this.#supports.get(group);
    if (support !== undefined) {
      support.released = released;
    }
  }

  /** Accepts that the holder has surrendered the group, so that the successor may follow at once. */
  acceptSurrender(group: Group): void {
    const support = this.#supportOf(group);
    if (support.step === 0) {
      support.step = 1;
      support.until = 0;
      support.surrendered = true;
      this.#supports.set(group, support);
    }
  }

  /** Drops the state of groups that the log has retired. */
  dropRetired(): void {
    for (const group of this.#supports.keys()) {
      const isApplied = group <= this.#options.ledger.appliedOffset;
      if (isApplied && !this.#options.ledger.groups.has(group)) {
        this.#supports.delete(group);
      }
    }
  }

  #supportOf(group: Group): Support {
    const existing = this.#supports.get(group);
    if (existing !== undefined) {
      return existing;
    }
    const predatesIncarnation = group < this.#options.incarnation && this.#rules.floors;
    const through = predatesIncarnation ? this.#options.incarnation : 0;
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
