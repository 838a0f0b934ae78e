/**
 * Plans who owns which keys of the service beside this daemon. Every daemon of the service runs this task;
 * the one with the lowest address among those that are heard and reach the store acts. Two that act at once
 * do no harm: the store takes one change for each state of the table, and only the owner or the voters can
 * take keys from an owner.
 */
import {
  assign,
  ChangeOutcome,
  countKeys,
  enterHost,
  type KeySpan,
  overlaps,
  type OwnershipTable,
  rangesOf,
  removeHost,
  type TableStore,
} from "@bulrushwood/ledger_store";
import { suspicionMs } from "@bulrushwood/lease_votes";
import { type Heartbeats, sealTenure } from "@bulrushwood/membership_beats";
import type { Candidate } from "./capacity.ts";
import { type Move, rebalance } from "./rebalance.ts";
import { spreadEvenly } from "./spread.ts";
import { ServerState } from "@bulrushwood/deployment";
import {
  type Address,
  type CallPeer,
  type Clock,
  createStop,
  type Sleep,
} from "@bulrushwood/types";

/** Time between two looks, in milliseconds. */
const LOOK_MS = 250;
/** At the first start, owners are chosen once no daemon has entered for so long, in milliseconds. */
const SETTLE_MS = 1_000;
/** Load that moved shows in the reports after this, in milliseconds. */
const COOL_DOWN_MS = 1_300;
/** Keys that moved stay where they are for so long, in milliseconds; their load shows by then. */
const REST_MS = 4_000;
/** Sealing is tried for so long before the slow way is begun, in milliseconds. */
const SEAL_PATIENCE_MS = 4_000;
const GIVE_TIMEOUT_MS = 600;

/** What a planner decides. */
export enum PlannerEvent {
  TenureSealed = "tenure-sealed",
  KeysAssigned = "keys-assigned",
  KeysMoved = "keys-moved",
  Failed = "failed",
}

/** Name of the call that asks a daemon to give keys away. */
export const GIVE_METHOD = "keys.give";

/** What a range planner needs. */
export interface RangePlannerOptions {
  self: Address;
  service: string;
  now: Clock;
  sleep: Sleep;
  /** How long a vote supports a tenure, in milliseconds. */
  supportMs: number;
  table: TableStore;
  heartbeats: Heartbeats;
  /** Whether the service has keys and this daemon reaches the store. */
  mayPlan: () => boolean;
  /** Servers that may get keys, this daemon's among them. */
  candidates: () => Candidate[];
  call: CallPeer;
  /** Gives away keys that this daemon's server owns. */
  giveOwn: (moves: Move[]) => void;
  /** Told what was decided. */
  onEvent: (event: PlannerEvent, fields: Record<string, unknown>) => void;
}

/** Plans for one service. */
export class RangePlanner {
  readonly #options: RangePlannerOptions;
  readonly #stop = createStop();
  readonly #silentSince = new Map<string, number>();
  readonly #suspectedAt = new Map<string, number>();
  #hosts = "";
  #hostsSince: number;
  /** Since when this daemon plans; undefined while another one does. */
  #plansSince: number | undefined;
  #movedAt = Number.NEGATIVE_INFINITY;
  /** Keys that moved lately. */
  #resting: (KeySpan & { until: number })[] = [];
  #task: Promise<void> | undefined;

  constructor(options: RangePlannerOptions) {
    this.#options = options;
    this.#hostsSince = options.now();
  }

  /** Starts to plan. */
  start(): void {
    this.#task = this.#run();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      try {
        await this.#look();
      } catch (error) {
        const { message } = error as Error;
        this.#options.onEvent(PlannerEvent.Failed, { reason: message });
      }
      await this.#options.sleep(LOOK_MS, this.#stop.signal);
    }
  }

  /** Whether this daemon is the one that plans. */
  get isPlanner(): boolean {
    const { self, service, heartbeats, mayPlan } = this.#options;
    if (!mayPlan()) {
      return false;
    }
    const first = firstPlanner(heartbeats, service);
    return first === undefined || self < first;
  }

  async #look(): Promise<void> {
    const table = this.#options.table.table.value;
    this.#noteHosts(table);
    if (!this.isPlanner) {
      this.#plansSince = undefined;
      return;
    }
    this.#plansSince ??= this.#options.now();
    await this.#enterPending();
    await this.#removeLost(table);
    await this.#assignFree();
    this.#even();
  }

  #noteHosts(table: OwnershipTable): void {
    const hosts = Object.keys(table.hosts).sort().join();
    if (hosts !== this.#hosts) {
      this.#hosts = hosts;
      this.#hostsSince = this.#options.now();
    }
    this.#noteSuspected(table);
  }

  /** Every daemon counts from when it saw the suspicion, so that a new planner need not begin anew. */
  #noteSuspected(table: OwnershipTable): void {
    const suspected = Object.values(table.hosts).filter(({ isSuspected }) => isSuspected);
    const tenures = new Set(suspected.map(({ tenure }) => tenure));
    for (const tenure of this.#suspectedAt.keys()) {
      if (!tenures.has(tenure)) {
        this.#suspectedAt.delete(tenure);
      }
    }
    for (const tenure of tenures) {
      this.#suspectedAt.set(tenure, this.#suspectedAt.get(tenure) ?? this.#options.now());
    }
  }

  /** A daemon whose address another service's daemon has now is gone. */
  #isSilent(address: Address): boolean {
    const { self, service, heartbeats } = this.#options;
    if (address === self) {
      return false;
    }
    const peer = heartbeats.peers.get(address);
    const isOther = peer !== undefined && peer.beat.service !== service;
    // In a large deployment a new planner is told by all others only from now on.
    const plansMs = heartbeats.isWithAll
      ? Infinity
      : this.#options.now() - (this.#plansSince ?? Infinity);
    return isOther || Math.min(heartbeats.silentMs(address), plansMs) > heartbeats.silentLimitMs;
  }

  /** Enters daemons that asked for it, all in one change. */
  async #enterPending(): Promise<void> {
    const { heartbeats, table, service } = this.#options;
    const asking = [...heartbeats.peers].filter(([address, { beat, entry }]) =>
      beat.service === service && entry !== null && heartbeats.isHeard(address)
    );
    const enter = (current: OwnershipTable) => {
      const all = asking.reduce((entered, [address, { entry }]) => {
        const tenure = entered.hosts[address]?.tenure ?? null;
        return entry === null || tenure !== entry.replaces
          ? entered
          : enterHost(entered, address, entry.host);
      }, current);
      return all === current ? undefined : all;
    };
    if (enter(table.table.value) !== undefined) {
      await table.change(enter);
    }
  }

  async #removeLost(table: OwnershipTable): Promise<void> {
    const silent = Object.entries(table.hosts).filter(([address]) => this.#isSilent(address));
    const tenures = new Set(silent.map(([, { tenure }]) => tenure));
    for (const tenure of this.#silentSince.keys()) {
      if (!tenures.has(tenure)) {
        this.#silentSince.delete(tenure);
      }
    }
    await Promise.all(silent.map(([address, host]) => {
      const since = this.#silentSince.get(host.tenure) ?? this.#options.now();
      this.#silentSince.set(host.tenure, since);
      return this.#removeSilent(address, host.tenure, { since });
    }));
  }

  async #removeSilent(
    address: Address,
    tenure: string,
    options: { since: number },
  ): Promise<void> {
    const { heartbeats, table, onEvent, supportMs } = this.#options;
    const host = table.table.value.hosts[address];
    if (host === undefined || host.tenure !== tenure) {
      return;
    }
    const isSealed = await sealTenure(tenure, host.voters, {
      ask: (voter, name) => heartbeats.seal(voter, name),
      supportMs,
    });
    const suspectedAt = this.#suspectedAt.get(tenure);
    const hasOutlasted = suspectedAt !== undefined &&
      this.#options.now() - suspectedAt > suspicionMs(supportMs);
    if (!isSealed && !hasOutlasted) {
      if (this.#options.now() - options.since > SEAL_PATIENCE_MS) {
        await this.#suspect(address, tenure);
      }
      return;
    }
    onEvent(PlannerEvent.TenureSealed, { address, tenure, isSealed });
    const keys = countKeys(rangesOf(table.table.value, address));
    const outcome = await table.change((current) =>
      current.hosts[address]?.tenure === tenure ? this.#withoutHost(current, address) : undefined
    );
    onEvent(PlannerEvent.KeysAssigned, { cause: "loss", from: address, keys, outcome });
  }

  /** Begins to wait for the end of a tenure whose voters do not answer. */
  async #suspect(address: Address, tenure: string): Promise<void> {
    await this.#options.table.change((current) => {
      const host = current.hosts[address];
      if (host?.tenure !== tenure || host.isSuspected) {
        return undefined;
      }
      return { ...current, hosts: { ...current.hosts, [address]: { ...host, isSuspected: true } } };
    });
  }

  /** Takes a daemon out and gives its keys to others in the same change. */
  #withoutHost(table: OwnershipTable, address: Address): OwnershipTable {
    const freed = rangesOf(table, address);
    const rest = removeHost(table, address);
    const candidates = this.#entered(rest).filter((candidate) => candidate.address !== address);
    return freed.length === 0 || candidates.length === 0
      ? rest
      : assign(rest, spreadEvenly(freed, candidates));
  }

  /** Candidates that the table knows. */
  #entered(table: OwnershipTable): Candidate[] {
    return this.#options.candidates().filter(({ address }) => table.hosts[address] !== undefined);
  }

  async #assignFree(): Promise<void> {
    const { table, onEvent } = this.#options;
    const isFirstStart = table.table.value.epoch === 0;
    if (isFirstStart && this.#options.now() - this.#hostsSince < SETTLE_MS) {
      return;
    }
    const free = rangesOf(table.table.value, null);
    if (free.length === 0 || this.#entered(table.table.value).length === 0) {
      return;
    }
    const outcome = await table.change((current) => {
      const unowned = rangesOf(current, null);
      const candidates = this.#entered(current);
      return unowned.length === 0 || candidates.length === 0
        ? undefined
        : assign(current, spreadEvenly(unowned, candidates));
    });
    if (outcome === ChangeOutcome.Done) {
      const keys = countKeys(free);
      onEvent(PlannerEvent.KeysAssigned, { cause: isFirstStart ? "first start" : "free", keys });
    }
  }

  /** Lets busy servers give keys to idle ones. */
  #even(): void {
    const { table, self, giveOwn, call, onEvent } = this.#options;
    if (
      this.#options.now() - this.#movedAt < COOL_DOWN_MS || table.isSlow ||
      rangesOf(table.table.value, null).length > 0
    ) {
      return;
    }
    const now = this.#options.now();
    this.#resting = this.#resting.filter(({ until }) => until > now);
    const candidates = this.#entered(table.table.value).map((candidate) => ({
      ...candidate,
      pieces: candidate.pieces.filter((piece) =>
        !this.#resting.some((span) => overlaps(span, piece))
      ),
    }));
    const moves = rebalance(candidates);
    if (moves.length === 0) {
      return;
    }
    this.#movedAt = now;
    this.#resting.push(...moves.map(({ first, last }) => ({ first, last, until: now + REST_MS })));
    for (const from of new Set(moves.map((move) => move.from))) {
      const own = moves.filter((move) => move.from === from);
      const keys = countKeys(own);
      onEvent(PlannerEvent.KeysMoved, { from, keys, to: [...new Set(own.map(({ to }) => to))] });
      if (from === self) {
        giveOwn(own);
      } else {
        call(from, GIVE_METHOD, { moves: own }, { timeoutMs: GIVE_TIMEOUT_MS });
      }
    }
  }

  /** Stops planning. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }
}

/** The peer that plans for a service unless this daemon does: the lowest address that may. */
export function firstPlanner(heartbeats: Heartbeats, service: string): Address | undefined {
  let first: Address | undefined;
  for (const [address, { beat }] of heartbeats.peers) {
    const mayPlan = beat.service === service && beat.hasStore && !beat.isLeaving &&
      heartbeats.isHeard(address);
    if (mayPlan && (first === undefined || address < first)) {
      first = address;
    }
  }
  return first;
}

/** Whether a server may get keys. */
export function mayOwn(server: { state: ServerState; isReachable: boolean } | null): boolean {
  return server !== null && server.state === ServerState.Ready && server.isReachable;
}
