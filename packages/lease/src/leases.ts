/**
 * Manages the leases of one daemon. It bids for the groups that name the daemon as holder or successor,
 * with one task for each peer; votes on the bids of peers; seals the earlier owners of shards that were
 * moved to its groups; and decides for each shard whether this daemon may serve it now.
 */
import { type Observable, Subject, take } from "rxjs";
import {
  type Address,
  type CallPeer,
  type Clock,
  createStop,
  type Group,
  type Incarnation,
  MoveCause,
  type Offset,
  type Sleep,
} from "@bulrushwood/types";
import {
  type Entry,
  fromRanges,
  type LeaseGroup,
  type Ledger,
  type ProcessedRecord,
  RecordKind,
  type ShardsMoved,
} from "@bulrushwood/ledger";
import {
  type Bid,
  LeaseMethod,
  type Renewal,
  type RenewalReply,
  renewalReplySchema,
  renewalSchema,
  type SealReply,
  sealRequestSchema,
  surrenderSchema,
  type Vote,
} from "./messages.ts";
import { includesMove } from "./released.ts";
import { ALL_RULES, type Rules } from "./rules.ts";
import { Sealing } from "./sealing.ts";
import { Tenure } from "./tenure.ts";
import { Voter } from "./voter.ts";

/** Number of renewals within the duration of one lease. */
const RENEWALS_PER_LEASE = 4;
/** Longest time that a voter holds a seal request open before it rejects it, as a share of the lease. */
const SEAL_WAIT_SHARE = 0.4;

/** Settings and dependencies of the leases. Times are in milliseconds. */
export interface LeasesOptions {
  ledger: Ledger;
  address: Address;
  incarnation: Incarnation;
  now: Clock;
  sleep: Sleep;
  call: CallPeer;
  /** Appends a record without waiting for it to take effect. */
  append: (entry: Entry) => void;
  /** Creates a unique id for a record. */
  newId: () => string;
  durationMs: number;
  driftMarginMs: number;
  rules?: Rules;
  /** Whether a backend server is available; a daemon without one bids for no group. */
  canServe?: () => boolean;
  /** Called with the offset up to which a peer has applied the log. */
  onPeerApplied?: (peer: Address, appliedOffset: Offset) => void;
  /** Called with the time that shards had no owner, in milliseconds times the number of shards. */
  onUnowned?: (pool: string, cause: MoveCause, shardMs: number) => void;
}

/** Whether a daemon may serve a shard at this moment, and why not. */
export enum ServeState {
  /** The daemon may serve the shard now. */
  Ready = "ready",
  /** The daemon may be able to serve the shard soon; votes or seals are still missing. */
  Pending = "pending",
  /** Another daemon is responsible for the shard. */
  Elsewhere = "elsewhere",
}

/** Permission to run one request for a shard. The caller ends it when the request is done. */
export interface Permit {
  group: Group;
  shard: number;
  /**
   * Time since when every request for the shard has gone through this daemon, on its own clock in
   * milliseconds.
   */
  completeSince: number;
  /** Identifies the shard's move, the step and the incarnation of its holder; orders successive holders. */
  token: string;
  /** Returns the current end of the lease, on this process's clock in milliseconds. */
  heldUntil: () => number;
  /** Checks the lease once more, right before work is sent to the backend server. */
  isValid: () => boolean;
  end: () => void;
}

/** State of one lease group as seen by its holder or successor. */
export interface LeaseDescription {
  group: Group;
  step: number;
  /** Step that this daemon's own vote supports: 0 for the holder, 1 for the successor. */
  voterStep: number;
  /** Remaining time of the lease, in milliseconds; 0 when the group is not held. */
  heldMs: number;
  inFlight: number;
  isClosing: boolean;
  shards: number;
}

/** Acquires, renews, grants and surrenders the leases of one daemon. */
export class Leases {
  readonly #options: LeasesOptions;
  readonly #rules: Rules;
  readonly #voter: Voter;
  readonly #tenures = new Map<Group, Tenure>();
  readonly #peerTasks = new Map<Address, Promise<void>>();
  readonly #sealing: Sealing;
  readonly #changed = new Subject<void>();
  readonly #renewNow = new Subject<void>();
  /** Number of urgent updates, so that one that arrives during a renewal starts the next without a wait. */
  #updateCount = 0;
  readonly #stop = createStop();
  readonly #subscription;
  /** When moves to groups of this daemon were applied, on its own clock in milliseconds. */
  readonly #movedAt = new Map<Offset, number>();

  constructor(options: LeasesOptions) {
    this.#options = options;
    this.#rules = options.rules ?? ALL_RULES;
    this.#voter = new Voter(options);
    this.#sealing = new Sealing({
      ...options,
      signal: this.#stop.signal,
      sealLocally: (group, move) => this.#sealLocally(group, move),
      onSealed: (move) => this.#handleSealed(move),
    });
    this.#subscription = options.ledger.changes.subscribe((record) => this.#handleRecord(record));
    this.#adoptGroups();
  }

  /** Emits whenever the set of shards that this daemon may serve can have changed. */
  get changed(): Observable<void> {
    return this.#changed;
  }

  /** Tenures of the groups that this daemon holds now. */
  get held(): Tenure[] {
    const now = this.#options.now();
    return [...this.#tenures.values()].filter((tenure) => tenure.heldUntil > now);
  }

  /** Describes all groups that name this daemon as holder or successor, for diagnosis. */
  describe(): LeaseDescription[] {
    const now = this.#options.now();
    return [...this.#tenures.values()].map((tenure) => ({
      group: tenure.id,
      step: tenure.step,
      voterStep: this.#voter.stepOf(tenure.id),
      heldMs: Math.max(0, Math.round(tenure.heldUntil - now)),
      inFlight: tenure.inFlight,
      isClosing: tenure.isClosing,
      shards: tenure.group.shards,
    }));
  }

  /** Number of requests in flight in all groups. */
  get inFlight(): number {
    return [...this.#tenures.values()].reduce(
      (sum, tenure) => sum + tenure.inFlight,
      0,
    );
  }

  #handleRecord(record: ProcessedRecord): void {
    const { entry, effect, offset } = record;
    if (entry === undefined || effect !== "applied") {
      return;
    }
    switch (entry.kind) {
      case RecordKind.GroupCreated:
        this.#adoptGroup(this.#options.ledger.groups.get(offset)!);
        break;
      case RecordKind.GroupRetired:
        this.#tenures.delete(entry.group);
        this.#voter.dropRetired();
        break;
      case RecordKind.ShardsMoved:
        this.#handleMove(offset, entry);
        break;
      default:
        break;
    }
    this.#changed.next();
  }

  /**
   * Records a move of shards. For a move out of a group of this daemon it triggers a renewal, since the
   * voters can seal the move as soon as they receive its release.
   */
  #handleMove(offset: Offset, entry: ShardsMoved): void {
    const tenure = this.#tenures.get(entry.from);
    if (tenure !== undefined) {
      tenure.recordMovedOut(offset, fromRanges(entry.shards));
      this.#triggerRenewal();
    }
    if (this.#tenures.has(entry.to)) {
      this.#movedAt.set(offset, this.#options.now());
    }
    this.#sealing.startMove(offset, entry.to);
  }

  /** Makes the tasks of all peers renew immediately. */
  #triggerRenewal(): void {
    this.#updateCount++;
    this.#renewNow.next();
  }

  #adoptGroups(): void {
    for (const group of this.#options.ledger.groups.values()) {
      this.#adoptGroup(group);
    }
  }

  #adoptGroup(group: LeaseGroup): void {
    const { address, incarnation } = this.#options;
    const index = group.members.findIndex((member) =>
      member.address === address && member.incarnation === incarnation
    );
    if (index !== 0 && index !== 1) {
      return;
    }
    const succeedAfter = this.#options.now() + this.#options.durationMs * 2;
    this.#tenures.set(group.group, new Tenure(group, index, { succeedAfter }));
    this.#startPeerTasks(group);
    this.#triggerRenewal();
  }

  #startPeerTasks(group: LeaseGroup): void {
    const { address } = this.#options;
    const others = group.members.filter((member) => member.address !== address);
    for (const { address: peer } of others) {
      if (!this.#peerTasks.has(peer)) {
        this.#peerTasks.set(peer, this.#renewPeriodically(peer));
      }
    }
    if (others.length === 0) {
      this.#peerTasks.set(address, this.#renewAlone());
    }
  }

  /** Renews with one peer periodically until the daemon stops. */
  async #renewPeriodically(peer: Address): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const countBefore = this.#updateCount;
      await this.#renewOnce(peer);
      await this.#waitForRenewal(countBefore);
    }
  }

  /** Renews the groups that have no other member, periodically until the daemon stops. */
  async #renewAlone(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      for (const tenure of this.#tenures.values()) {
        if (tenure.group.members.length === 1) {
          this.#voteForSelf(tenure);
        }
      }
      await this.#waitForRenewal(this.#updateCount);
    }
  }

  /** Waits for the next renewal, or less when there is an update that peers should receive immediately. */
  async #waitForRenewal(countBefore: number): Promise<void> {
    if (this.#updateCount !== countBefore) {
      return;
    }
    await this.#sleepOrWake(this.#renewNow, this.#options.durationMs / RENEWALS_PER_LEASE);
  }

  /** Waits for the given time, or less when the observable emits. */
  async #sleepOrWake(wake: Observable<void>, ms: number): Promise<void> {
    const wakeUp = new AbortController();
    const subscription = wake.pipe(take(1)).subscribe(() => wakeUp.abort());
    await this.#options.sleep(ms, wakeUp.signal);
    subscription.unsubscribe();
  }

  async #renewOnce(peer: Address): Promise<void> {
    const { call, now, address, incarnation, ledger, durationMs } = this.#options;
    const bids = this.#bidsFor(peer);
    if (bids.length === 0) {
      return;
    }
    const renewal: Renewal = {
      from: { address, incarnation },
      folded: ledger.appliedOffset,
      bids,
    };
    const sentAt = now();
    const called = await call(peer, LeaseMethod.Renew, renewal, {
      timeoutMs: durationMs,
    });
    const reply = renewalReplySchema.safeParse(
      called.isOk ? called.value : undefined,
    );
    if (!reply.success) {
      return;
    }
    this.#options.onPeerApplied?.(peer, reply.data.folded);
    for (const vote of reply.data.votes) {
      this.#countVote(peer, vote, sentAt);
    }
  }

  #bidsFor(peer: Address): Bid[] {
    const bids: Bid[] = [];
    for (const tenure of this.#tenures.values()) {
      const isMember = tenure.group.members.some((member) => member.address === peer);
      const bid = this.#bidOf(tenure);
      if (isMember && this.#mayBid(tenure, bid)) {
        bids.push(bid);
      }
    }
    return bids;
  }

  #bidOf(tenure: Tenure): Bid {
    const { ledger, incarnation } = this.#options;
    const released = tenure.released(ledger.appliedOffset);
    return { group: tenure.id, step: tenure.step, incarnation, released };
  }

  /** Whether to send a bid to peers: only one that this daemon's own voter would grant. */
  #mayBid(tenure: Tenure, bid: Bid): boolean {
    const isEarly = this.#voter.stepOf(tenure.id) === 0 &&
      tenure.mustWaitForHolder(this.#options.now());
    const { canServe = () => true } = this.#options;
    return !tenure.isSurrendered && !isEarly && canServe() && this.#voter.wouldGrant(bid);
  }

  /**
   * Counts a vote from the time its bid was sent, and for less than its full duration (by the drift
   * margin), so that it ends here before it ends at the voter.
   */
  #countVote(peer: Address, vote: Vote, sentAt: number): void {
    const tenure = this.#tenures.get(vote.group);
    if (tenure === undefined || !vote.granted || tenure.isSurrendered) {
      return;
    }
    const wasHeld = tenure.heldUntil > this.#options.now();
    tenure.recordSupport(peer, sentAt + this.#supportMs());
    this.#voteForSelf(tenure);
    if (!wasHeld && tenure.heldUntil > this.#options.now()) {
      this.#startHolding(tenure);
    }
  }

  #supportMs(): number {
    const { durationMs, driftMarginMs } = this.#options;
    return this.#rules.driftMargin ? durationMs - driftMarginMs : durationMs;
  }

  #voteForSelf(tenure: Tenure): void {
    const { now, address } = this.#options;
    const wasHeld = tenure.heldUntil > now();
    if (!this.#voter.vote(this.#bidOf(tenure)).granted) {
      return;
    }
    tenure.recordSupport(address, now() + this.#supportMs());
    if (!wasHeld && tenure.heldUntil > now()) {
      this.#startHolding(tenure);
    }
  }

  #startHolding(tenure: Tenure): void {
    const isFirst = tenure.heldSince === Number.POSITIVE_INFINITY;
    tenure.recordAcquired(this.#options.now());
    if (tenure.step === 1 && isFirst) {
      this.#reportUnowned(tenure);
      this.#options.append({
        id: this.#options.newId(),
        kind: RecordKind.GroupSucceeded,
        group: tenure.id,
        incarnation: this.#options.incarnation,
      });
    }
    this.#sealing.start(tenure);
    this.#changed.next();
  }

  /** Reports the time that a successor's shards had no owner: since the last vote for the holder. */
  #reportUnowned(tenure: Tenure): void {
    const since = this.#voter.lastSupportedAt(tenure.id);
    if (since !== undefined) {
      const { group } = tenure;
      const shardMs = (this.#options.now() - since) * group.shards;
      this.#options.onUnowned?.(group.pool, MoveCause.Loss, shardMs);
    }
  }

  /** Reports the time that moved shards had no owner: from the application of their move to its seal. */
  #handleSealed(move: Offset): void {
    const pending = this.#options.ledger.pending.get(move);
    const since = this.#movedAt.get(move);
    if (pending !== undefined && since !== undefined) {
      const shardMs = (this.#options.now() - since) * pending.shards.length;
      this.#options.onUnowned?.(pending.pool, pending.cause, shardMs);
    }
    this.#changed.next();
  }

  /** Handles a call of a peer about leases; returns undefined for any other method. */
  handleCall(method: string, payload: unknown): Promise<unknown> | undefined {
    switch (method) {
      case LeaseMethod.Renew:
        return this.#replyToRenewal(renewalSchema.parse(payload));
      case LeaseMethod.Seal:
        return this.#replyToSeal(payload);
      case LeaseMethod.Surrender:
        return this.#replyToSurrender(payload);
      default:
        return undefined;
    }
  }

  #replyToRenewal(renewal: Renewal): Promise<RenewalReply> {
    const { from, folded, bids } = renewal;
    this.#options.onPeerApplied?.(from.address, folded);
    const votes = bids.map((bid) => this.#voter.vote(bid));
    return Promise.resolve({ folded: this.#options.ledger.appliedOffset, votes });
  }

  /** Holds a seal request open for some time, since the holder may release the move meanwhile. */
  async #replyToSeal(payload: unknown): Promise<SealReply> {
    const { group, move } = sealRequestSchema.parse(payload);
    const { now, sleep, durationMs } = this.#options;
    const deadline = now() + durationMs * SEAL_WAIT_SHARE;
    while (!this.#sealLocally(group, move)) {
      if (now() >= deadline || this.#stop.signal.aborted) {
        return { granted: false };
      }
      await sleep(durationMs / 100, this.#stop.signal);
    }
    return { granted: true };
  }

  /** Seals a move as a voter; a candidate for the group must have released the move first. */
  #sealLocally(group: Group, move: Offset): boolean {
    const tenure = this.#tenures.get(group);
    if (tenure !== undefined && this.#rules.sealCheck) {
      const released = tenure.released(this.#options.ledger.appliedOffset);
      if (!includesMove(released, move)) {
        return false;
      }
      const supportsItself = this.#voter.stepOf(group) === tenure.step;
      if (supportsItself) {
        this.#voter.recordReleased(group, released);
      }
    }
    return this.#voter.seal(group, move);
  }

  #replyToSurrender(payload: unknown): Promise<null> {
    const { group, incarnation } = surrenderSchema.parse(payload);
    const holder = this.#options.ledger.groups.get(group)?.members[0];
    if (holder?.incarnation === incarnation) {
      this.#voter.acceptSurrender(group);
      this.#triggerRenewal();
    }
    return Promise.resolve(null);
  }

  /** Returns whether this daemon may serve a shard now. */
  stateOf(pool: string, shard: number): ServeState {
    const table = this.#options.ledger.pools.get(pool);
    const tenure = this.#tenures.get(table?.groupOf(shard) ?? 0);
    if (table === undefined || tenure === undefined || tenure.isClosing) {
      return ServeState.Elsewhere;
    }
    if (tenure.heldUntil <= this.#options.now()) {
      return this.#mayAcquire(tenure) ? ServeState.Pending : ServeState.Elsewhere;
    }
    const sealed = this.#sealing.isSealed(table.predecessorsOf(shard));
    return sealed ? ServeState.Ready : ServeState.Pending;
  }

  /**
   * Whether this daemon may acquire the group soon. A successor whose own voter still supports the holder
   * expects the holder to serve.
   */
  #mayAcquire(tenure: Tenure): boolean {
    if (tenure.step === 0) {
      return this.#voter.stepOf(tenure.id) === 0;
    }
    return !(this.#voter.stepOf(tenure.id) === 0 &&
      this.#voter.isSupporting(tenure.id));
  }

  /** Registers a request for a shard as in flight; returns undefined when this daemon may not serve the shard now. */
  begin(pool: string, shard: number): Permit | undefined {
    if (this.stateOf(pool, shard) !== ServeState.Ready) {
      return undefined;
    }
    const table = this.#options.ledger.pools.get(pool)!;
    const tenure = this.#tenures.get(table.groupOf(shard))!;
    const { now, incarnation } = this.#options;
    let hasEnded = false;
    tenure.begin(shard);
    return {
      group: tenure.id,
      shard,
      completeSince: this.#completeSince(tenure, pool, shard),
      token: `${table.moveOf(shard)}.${tenure.step}.${incarnation}`,
      heldUntil: () => tenure.heldUntil,
      isValid: () => !this.#rules.lastStepCheck || tenure.heldUntil > now(),
      end: () => {
        if (!hasEnded) {
          hasEnded = true;
          this.#endRequest(tenure, shard);
        }
      },
    };
  }

  #completeSince(tenure: Tenure, pool: string, shard: number): number {
    const table = this.#options.ledger.pools.get(pool)!;
    if (tenure.step === 0 && table.hasFirstGroup(shard)) {
      return Number.NEGATIVE_INFINITY;
    }
    const movedAt = this.#movedAt.get(table.moveOf(shard)) ??
      Number.NEGATIVE_INFINITY;
    return Math.max(tenure.heldSince, movedAt);
  }

  #endRequest(tenure: Tenure, shard: number): void {
    if (tenure.end(shard)) {
      this.#triggerRenewal();
    }
    if (tenure.isClosing && tenure.inFlight === 0) {
      this.#changed.next();
    }
  }

  /** Waits until the set of shards that this daemon may serve can have changed, or until the timeout. */
  async waitForChange(timeoutMs: number): Promise<void> {
    await this.#sleepOrWake(this.#changed, timeoutMs);
  }

  /**
   * Surrenders all groups that this daemon holds or is to hold. It finishes the requests in flight, then
   * notifies the voters and appends a record, so that the groups are replaced. The daemon may still succeed
   * other holders later.
   */
  async surrenderAll(): Promise<void> {
    const now = this.#options.now();
    const tenures = [...this.#tenures.values()].filter((tenure) =>
      !tenure.isSurrendered && (tenure.step === 0 || tenure.heldUntil > now)
    );
    await Promise.all(tenures.map((tenure) => this.#surrender(tenure)));
    if (tenures.length > 0 && !this.#stop.signal.aborted) {
      this.#options.append({
        id: this.#options.newId(),
        kind: RecordKind.GroupsSurrendered,
        incarnation: this.#options.incarnation,
        groups: tenures.map((tenure) => tenure.id),
      });
    }
  }

  async #surrender(tenure: Tenure): Promise<void> {
    tenure.isClosing = true;
    while (tenure.inFlight > 0 && !this.#stop.signal.aborted) {
      await this.waitForChange(this.#options.durationMs);
    }
    tenure.isSurrendered = true;
    if (tenure.step === 1) {
      return;
    }
    this.#voter.acceptSurrender(tenure.id);
    const { address } = this.#options;
    const others = tenure.group.members.filter((member) => member.address !== address);
    await Promise.all(
      others.map((member) => this.#notifySurrender(member.address, tenure.id)),
    );
  }

  async #notifySurrender(peer: Address, group: Group): Promise<void> {
    const { call, incarnation, durationMs } = this.#options;
    const timeoutMs = durationMs / 2;
    const maxAttempts = 3;
    for (
      let attempt = 0;
      attempt < maxAttempts && !this.#stop.signal.aborted;
      attempt++
    ) {
      const called = await call(peer, LeaseMethod.Surrender, {
        group,
        incarnation,
      }, { timeoutMs });
      if (called.isOk) {
        return;
      }
    }
  }

  /** Stops bidding and voting. Leases that are held expire by themselves. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#triggerRenewal();
    this.#subscription.unsubscribe();
    await Promise.all(this.#peerTasks.values());
    await this.#sealing.close();
    this.#changed.complete();
  }
}
