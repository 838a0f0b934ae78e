/**
 * State of one daemon as a candidate for one lease group: the votes that support it, its requests in
 * flight, and the moves out of the group that it has released.
 */
import type { Address, Group, Offset } from "@bulrushwood/types";
import type { LeaseGroup } from "@bulrushwood/ledger";
import type { MoveSet } from "./released.ts";

interface OutgoingMove {
  move: Offset;
  /** Moved shards that still have requests in flight here. */
  busy: Set<number>;
}

/** Candidacy of this daemon for one lease group, and its tenure while it holds the group. */
export class Tenure {
  readonly group: LeaseGroup;
  /** 0 as holder, 1 as successor. */
  readonly step: 0 | 1;
  readonly #support = new Map<Address, number>();
  readonly #inFlight = new Map<number, number>();
  #outgoing: OutgoingMove[] = [];
  #heldSince = Number.POSITIVE_INFINITY;
  #supportedUntil = 0;
  /** Set once the daemon starts to surrender the group; no more requests are admitted. */
  isClosing = false;
  /** Set once the voters may be notified that the group is surrendered; the lease is void from then on. */
  isSurrendered = false;

  /**
   * Time, on this process's clock, before which a successor does not bid, so that a new holder can acquire
   * the group first.
   */
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

  /** Whether it is too early to succeed a holder that has not bid yet. */
  mustWaitForHolder(now: number): boolean {
    return this.step === 1 && now < this.#succeedAfter;
  }

  /** Number of voters of the group that must support its holder. */
  get quorum(): number {
    return Math.floor(this.group.members.length / 2) + 1;
  }

  /** Records that a member supports this daemon until a time on this process's clock, in milliseconds. */
  recordSupport(member: Address, until: number): void {
    const earlier = this.#support.get(member) ?? 0;
    this.#support.set(member, Math.max(earlier, until));
    const expiryTimes = [...this.#support.values()].sort((left, right) => right - left);
    this.#supportedUntil = expiryTimes[this.quorum - 1] ?? 0;
  }

  /** End of the lease on the group, on this process's clock in milliseconds. */
  get heldUntil(): number {
    return this.isSurrendered ? 0 : this.#supportedUntil;
  }

  /** When this daemon first held the group, on its own clock in milliseconds; infinite for never. */
  get heldSince(): number {
    return this.#heldSince;
  }

  /** Records that this daemon acquired the group. */
  recordAcquired(now: number): void {
    this.#heldSince = Math.min(this.#heldSince, now);
  }

  /** Number of requests in flight in the group. */
  get inFlight(): number {
    let total = 0;
    for (const count of this.#inFlight.values()) {
      total += count;
    }
    return total;
  }

  /** Counts a request for a shard as in flight. */
  begin(shard: number): void {
    this.#inFlight.set(shard, (this.#inFlight.get(shard) ?? 0) + 1);
  }

  /** Removes a request from those in flight; returns whether that released a move. */
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

  /** Records a move of shards out of the group. */
  recordMovedOut(move: Offset, shards: number[]): void {
    const busy = new Set(shards.filter((shard) => this.#inFlight.has(shard)));
    this.#outgoing.push({ move, busy });
  }

  /** Returns the moves that are released, given the offset up to which the log is applied here. */
  released(appliedOffset: Offset): MoveSet {
    const firstBusy = this.#outgoing.find((outgoing) => outgoing.busy.size > 0);
    if (firstBusy === undefined) {
      this.#outgoing = [];
      return { through: appliedOffset, beyond: [] };
    }
    const later = this.#outgoing.filter((outgoing) => outgoing.move > firstBusy.move);
    const released = later.filter((outgoing) => outgoing.busy.size === 0);
    return {
      through: firstBusy.move - 1,
      beyond: released.map((outgoing) => outgoing.move),
    };
  }

  /** Id of the group. */
  get id(): Group {
    return this.group.group;
  }
}
