/**
 * One daemon as candidate for one lease group: the support it has, the requests it has in flight, and
 * the moves out of the group that it has released.
 */
import type { Address, Group, Offset } from "@bulrushwood/types";
import type { LeaseGroup } from "@bulrushwood/ledger";
import type { MoveSet } from "./released.ts";

interface OutgoingMove {
  move: Offset;
  /** Moved shards that still have requests in flight here. */
  busy: Set<number>;
}

/** A candidacy for one lease group. */
export class Tenure {
  readonly group: LeaseGroup;
  /** 0 as holder, 1 as successor. */
  readonly step: 0 | 1;
  readonly #support = new Map<Address, number>();
  readonly #inFlight = new Map<number, number>();
  #outgoing: OutgoingMove[] = [];
  #heldSince = Number.POSITIVE_INFINITY;
  #supportedUntil = 0;
  /** Set once the daemon gives the group up; no request is admitted any more. */
  isClosing = false;
  /** Set once the voters were told that the group is given up. */
  isSurrendered = false;

  /** Before this time, on this process's clock, a successor leaves a new holder time to begin. */
  readonly #succeedAfter: number;

  constructor(
    group: LeaseGroup,
    step: 0 | 1,
    options: { succeedAfter: number },
  ) {
    this.group = group;
    this.step = step;
    this.#succeedAfter = options.succeedAfter;
  }

  /** Whether it is too early to succeed a holder that has never been heard of. */
  isTooEarly(now: number): boolean {
    return this.step === 1 && now < this.#succeedAfter;
  }

  /** Number of the group's voters that must support its holder. */
  get quorum(): number {
    return Math.floor(this.group.members.length / 2) + 1;
  }

  /** Notes a member's support until a time on this process's clock, in milliseconds. */
  noteSupport(member: Address, until: number): void {
    const earlier = this.#support.get(member) ?? 0;
    this.#support.set(member, Math.max(earlier, until));
    const untils = [...this.#support.values()].sort((left, right) => right - left);
    this.#supportedUntil = untils[this.quorum - 1] ?? 0;
  }

  /** Until when this daemon holds the group, on its own clock in milliseconds. */
  get heldUntil(): number {
    return this.isSurrendered ? 0 : this.#supportedUntil;
  }

  /** When this daemon first held the group, on its own clock in milliseconds. */
  get heldSince(): number {
    return this.#heldSince;
  }

  /** Notes that the group came to be held. */
  noteHeld(now: number): void {
    this.#heldSince = Math.min(this.#heldSince, now);
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    let total = 0;
    for (const count of this.#inFlight.values()) {
      total += count;
    }
    return total;
  }

  /** Notes that a request for a shard has begun. */
  begin(shard: number): void {
    this.#inFlight.set(shard, (this.#inFlight.get(shard) ?? 0) + 1);
  }

  /** Notes that a request for a shard has ended; returns whether that released a move. */
  end(shard: number): boolean {
    const count = (this.#inFlight.get(shard) ?? 1) - 1;
    if (count > 0) {
      this.#inFlight.set(shard, count);
      return false;
    }
    this.#inFlight.delete(shard);
    let released = false;
    for (const outgoing of this.#outgoing) {
      const wasBusy = outgoing.busy.delete(shard);
      released ||= wasBusy && outgoing.busy.size === 0;
    }
    return released;
  }

  /** Notes that the log moved shards out of the group. */
  noteMovedOut(move: Offset, shards: number[]): void {
    const busy = new Set(shards.filter((shard) => this.#inFlight.has(shard)));
    this.#outgoing.push({ move, busy });
  }

  /** What is released, given the last folded offset. */
  released(folded: Offset): MoveSet {
    const firstBusy = this.#outgoing.find((outgoing) => outgoing.busy.size > 0);
    if (firstBusy === undefined) {
      this.#outgoing = [];
      return { through: folded, beyond: [] };
    }
    const later = this.#outgoing.filter((outgoing) => outgoing.move > firstBusy.move);
    const done = later.filter((outgoing) => outgoing.busy.size === 0);
    return {
      through: firstBusy.move - 1,
      beyond: done.map((outgoing) => outgoing.move),
    };
  }

  /** Number of the group, for short. */
  get id(): Group {
    return this.group.group;
  }
}
