/**
 * Plans the owners of the keys of this daemon's service. Every daemon of the service runs this task; the one
 * with the lowest address among those that are reachable and reach the store acts. Two daemons that act at the
 * same time are safe: the store accepts one change for each state of the table, and only the owner itself or
 * its voters can end its ownership.
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
import { suspicionTimeoutMs } from "@bulrushwood/lease_votes";
import { type Heartbeats, sealTenure } from "@bulrushwood/membership_beats";
import type { Candidate } from "./capacity.ts";
import { type Move, rebalance } from "./rebalance.ts";
import { interleave, spreadEvenly } from "./spread.ts";
import { ServerState } from "@bulrushwood/deployment";
import {
  type Address,
  type CallPeer,
  type Clock,
  createStop,
  type Sleep,
} from "@bulrushwood/types";

/** Time between planning rounds, in milliseconds. */
const PLAN_INTERVAL_MS = 250;
/** Time without a new daemon after which first owners are chosen, in milliseconds. */
const SETTLE_MS = 1_000;
/** Longest time without a new daemon for which first owners wait for those that have not entered, in milliseconds. */
const SETTLE_MS_MAX = 4_000;
/** Shortest time between moves, in milliseconds; reports show moved load after this time. */
const COOL_DOWN_MS = 1_300;
/** Time that moved keys keep their owner, in milliseconds; reports show their load by then. */
const RECENT_MOVE_MS = 4_000;
/** Time for which sealing is tried, in milliseconds; then the tenure is suspected, whose end takes longer. */
const SEAL_TIMEOUT_MS = 4_000;
const TRANSFER_TIMEOUT_MS = 600;

/** Decisions and failures that the planner reports. */
export enum PlannerEvent {
  TenureSealed = "tenure-sealed",
  KeysAssigned = "keys-assigned",
  KeysMoved = "keys-moved",
  Failed = "failed",
}

/** Name of the call that requests a daemon to transfer keys. */
export const TRANSFER_METHOD = "keys.give";

/** Dependencies and timing of a range planner. */
export interface RangePlannerOptions {
  self: Address;
  service: string;
  now: Clock;
  sleep: Sleep;
  /** Sleeps between rounds; by default as `sleep`. */
  pause?: Sleep;
  table: TableStore;
  heartbeats: Heartbeats;
  /** Returns whether the service has keys and this daemon reaches the store. */
  mayPlan: () => boolean;
  /** Returns the servers that may get keys, this daemon's included. */
  candidates: () => Candidate[];
  call: CallPeer;
  /** Transfers keys that this daemon's server owns. */
  transferOwn: (moves: Move[]) => void;
  /** Called for each decision or failure. */
  onEvent: (event: PlannerEvent, fields: Record<string, unknown>) => void;
}

/** Plans the owners of the keys of one service. */
export class RangePlanner {
  readonly #options: RangePlannerOptions;
  readonly #stop = createStop();
  readonly #unresponsiveSince = new Map<string, number>();
  readonly #suspectedAt = new Map<string, number>();
  #hostAddresses = "";
  #hostsSince: number;
  /** Time since which this daemon is the planner; undefined while another one is. */
  #plannerSince: number | undefined;
  #movedAt = Number.NEGATIVE_INFINITY;
  /** Recently moved keys, which keep their owner for now. */
  #recentMoves: (KeySpan & { until: number })[] = [];
  #task: Promise<void> | undefined;

  constructor(options: RangePlannerOptions) {
    this.#options = options;
    this.#hostsSince = options.now();
  }

  /** Starts planning rounds in the background. */
  start(): void {
    this.#task = this.#run();
  }

  async #run(): Promise<void> {
    const { sleep, pause = sleep } = this.#options;
    while (!this.#stop.signal.aborted) {
      try {
        await this.#plan();
      } catch (error) {
        const { message } = error as Error;
        this.#options.onEvent(PlannerEvent.Failed, { reason: message });
      }
      await pause(PLAN_INTERVAL_MS, this.#stop.signal);
    }
  }

  /** Whether this daemon is the planner of its service. */
  get isPlanner(): boolean {
    const { self, service, heartbeats, mayPlan } = this.#options;
    if (!mayPlan()) {
      return false;
    }
    const first = findPlanner(heartbeats, service);
    return first === undefined || self < first;
  }

  async #plan(): Promise<void> {
    const table = this.#options.table.table.value;
    this.#trackHosts(table);
    if (!this.isPlanner) {
      this.#plannerSince = undefined;
      return;
    }
    this.#plannerSince ??= this.#options.now();
    await this.#enterPending();
    await this.#removeLost(table);
    await this.#assignUnowned();
    this.#balance();
  }

  #trackHosts(table: OwnershipTable): void {
    const hosts = Object.keys(table.hosts).sort().join();
    if (hosts !== this.#hostAddresses) {
      this.#hostAddresses = hosts;
      this.#hostsSince = this.#options.now();
    }
    this.#trackSuspected(table);
  }

  /** Tracks when this daemon first saw each suspicion; all daemons do, so a new planner need not start over. */
  #trackSuspected(table: OwnershipTable): void {
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

  /** Returns whether a daemon is unresponsive, or another service's daemon now has its address. */
  #isUnresponsive(address: Address): boolean {
    const { self, service, heartbeats } = this.#options;
    if (address === self) {
      return false;
    }
    const peer = heartbeats.peers.get(address);
    const servesOther = peer !== undefined && peer.status.service !== service;
    // In a large deployment, a new planner only now begins to receive reports from all others.
    const plannerMs = heartbeats.isFullMesh
      ? Infinity
      : this.#options.now() - (this.#plannerSince ?? Infinity);
    return servesOther ||
      Math.min(heartbeats.silenceMs(address), plannerMs) > heartbeats.silenceTimeoutMs;
  }

  /** Enters the daemons that requested it, all in one change. */
  async #enterPending(): Promise<void> {
    const { heartbeats, table, service } = this.#options;
    const pending = [...heartbeats.peers].filter(([address, { status, entry }]) =>
      status.service === service && entry !== null && heartbeats.isResponsive(address)
    );
    const enter = (current: OwnershipTable) => {
      const all = pending.reduce((entered, [address, { entry }]) => {
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
    const unresponsive = Object.entries(table.hosts).filter(([address]) =>
      this.#isUnresponsive(address)
    );
    const tenures = new Set(unresponsive.map(([, { tenure }]) => tenure));
    for (const tenure of this.#unresponsiveSince.keys()) {
      if (!tenures.has(tenure)) {
        this.#unresponsiveSince.delete(tenure);
      }
    }
    await Promise.all(unresponsive.map(([address, host]) => {
      const since = this.#unresponsiveSince.get(host.tenure) ?? this.#options.now();
      this.#unresponsiveSince.set(host.tenure, since);
      return this.#removeUnresponsive(address, host.tenure, { since });
    }));
  }

  async #removeUnresponsive(
    address: Address,
    tenure: string,
    options: { since: number },
  ): Promise<void> {
    const { heartbeats, table, onEvent } = this.#options;
    const host = table.table.value.hosts[address];
    if (host === undefined || host.tenure !== tenure) {
      return;
    }
    const isSealed = await sealTenure(tenure, host.voters, {
      ask: (voter, name) => heartbeats.seal(voter, name),
      supportMsMax: host.supportMsMax,
    });
    const suspectedAt = this.#suspectedAt.get(tenure);
    const hasTimedOut = suspectedAt !== undefined &&
      this.#options.now() - suspectedAt > suspicionTimeoutMs(host.supportMsMax);
    if (!isSealed && !hasTimedOut) {
      if (this.#options.now() - options.since > SEAL_TIMEOUT_MS) {
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

  /** Marks a tenure whose voters do not reply as suspected, which starts the wait for its end. */
  async #suspect(address: Address, tenure: string): Promise<void> {
    await this.#options.table.change((current) => {
      const host = current.hosts[address];
      if (host?.tenure !== tenure || host.isSuspected) {
        return undefined;
      }
      return { ...current, hosts: { ...current.hosts, [address]: { ...host, isSuspected: true } } };
    });
  }

  /** Removes a daemon and assigns its keys to others in the same change. */
  #withoutHost(table: OwnershipTable, address: Address): OwnershipTable {
    const freed = rangesOf(table, address);
    const rest = removeHost(table, address);
    const candidates = this.#enteredCandidates(rest).filter((candidate) =>
      candidate.address !== address
    );
    return freed.length === 0 || candidates.length === 0
      ? rest
      : assign(rest, spreadEvenly(freed, candidates));
  }

  /** Returns the candidates that are entered in the table. */
  #enteredCandidates(table: OwnershipTable): Candidate[] {
    return this.#options.candidates().filter(({ address }) => table.hosts[address] !== undefined);
  }

  /** Whether no further daemons are expected to enter the table soon after the first start. */
  #haveHostsSettled({ hosts }: OwnershipTable): boolean {
    const { heartbeats, service } = this.#options;
    const isMissing = [...heartbeats.peers].some(([address, { status }]) =>
      status.service === service && !status.isLeaving && hosts[address] === undefined &&
      heartbeats.isResponsive(address)
    );
    const settledMs = this.#options.now() - this.#hostsSince;
    return settledMs >= (isMissing ? SETTLE_MS_MAX : SETTLE_MS);
  }

  async #assignUnowned(): Promise<void> {
    const { table, onEvent } = this.#options;
    const isFirstStart = table.table.value.epoch === 0;
    if (isFirstStart && !this.#haveHostsSettled(table.table.value)) {
      return;
    }
    const free = rangesOf(table.table.value, null);
    if (free.length === 0 || this.#enteredCandidates(table.table.value).length === 0) {
      return;
    }
    const outcome = await table.change((current) => {
      const unowned = rangesOf(current, null);
      const candidates = this.#enteredCandidates(current);
      const choose = isFirstStart ? interleave : spreadEvenly;
      return unowned.length === 0 || candidates.length === 0
        ? undefined
        : assign(current, choose(unowned, candidates));
    });
    if (outcome === ChangeOutcome.Done) {
      const keys = countKeys(free);
      const servers = this.#enteredCandidates(table.table.value).length;
      const cause = isFirstStart ? "first start" : "free";
      onEvent(PlannerEvent.KeysAssigned, { cause, keys, servers });
    }
  }

  /** Moves keys from busy servers to idle ones. */
  #balance(): void {
    const { table, self, service, transferOwn, call, onEvent } = this.#options;
    if (
      this.#options.now() - this.#movedAt < COOL_DOWN_MS || table.isSlow ||
      rangesOf(table.table.value, null).length > 0
    ) {
      return;
    }
    const now = this.#options.now();
    this.#recentMoves = this.#recentMoves.filter(({ until }) => until > now);
    const candidates = this.#enteredCandidates(table.table.value).map((candidate) => ({
      ...candidate,
      pieces: candidate.pieces.filter((piece) =>
        !this.#recentMoves.some((span) => overlaps(span, piece))
      ),
    }));
    const moves = rebalance(candidates);
    if (moves.length === 0) {
      return;
    }
    this.#movedAt = now;
    this.#recentMoves.push(
      ...moves.map(({ first, last }) => ({ first, last, until: now + RECENT_MOVE_MS })),
    );
    for (const from of new Set(moves.map((move) => move.from))) {
      const own = moves.filter((move) => move.from === from);
      const keys = countKeys(own);
      onEvent(PlannerEvent.KeysMoved, { from, keys, to: [...new Set(own.map(({ to }) => to))] });
      if (from === self) {
        transferOwn(own);
      } else {
        const payload = { service, moves: own };
        call(from, TRANSFER_METHOD, payload, { timeoutMs: TRANSFER_TIMEOUT_MS });
      }
    }
  }

  /** Stops planning and waits for the current round. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }
}

/** Returns the peer with the lowest address that may plan for a service; undefined when there is none. */
export function findPlanner(heartbeats: Heartbeats, service: string): Address | undefined {
  let first: Address | undefined;
  for (const [address, { status }] of heartbeats.peers) {
    const mayPlan = status.service === service && status.hasStore && !status.isLeaving &&
      heartbeats.isResponsive(address);
    if (mayPlan && (first === undefined || address < first)) {
      first = address;
    }
  }
  return first;
}

/** Returns whether a server may get keys. */
export function mayOwn(server: { state: ServerState; isReachable: boolean } | null): boolean {
  return server !== null && server.state === ServerState.Ready && server.isReachable;
}
