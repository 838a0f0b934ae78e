/**
 * Keeps this daemon entered in the ownership table with a tenure that live voters support. The daemon enters
 * again with a new tenure when its voters are lost, its server has a new incarnation, or it was removed.
 */
import { randomUUID } from "node:crypto";
import { Subject } from "rxjs";
import {
  ChangeOutcome,
  enterHost,
  type Host,
  type OwnershipTable,
  type TableStore,
} from "@bulrushwood/ledger_store";
import { isSameIncarnation, type ServerIdentity } from "@bulrushwood/deployment";
import { ALL_VOTE_RULES, Tenure, type Voter, type VoteRules } from "@bulrushwood/lease_votes";
import { type Address, type Clock, createStop, type Sleep } from "@bulrushwood/types";
import { endOfGrant } from "./grant_channel.ts";

/** Time between checks of the tenure, in milliseconds. */
const CHECK_INTERVAL_MS = 150;
/** Time without support after which a voter is replaced, in milliseconds; longer than a restart takes. */
const VOTER_TIMEOUT_MS = 1_600;
/** Timeout of a new tenure's wait for enough voters, in milliseconds; after it the tenure starts with fewer. */
const FEW_VOTERS_TIMEOUT_MS = 1_000;
/**
 * Largest number of voters of a tenure, this daemon included. Where some instances are cut off, the others
 * must be a majority of nearly every set of voters; otherwise the keys of the instances that are cut off could not
 * get new owners.
 */
const VOTERS_MAX = 15;
/**
 * Largest number of voters in a large deployment. There, a smaller set hardly makes it more likely that the
 * instances that are cut off hold a majority of it, and each voter costs every daemon heartbeats.
 */
const VOTERS_MAX_LARGE = 9;
/** Number of voters that starts a tenure at once; a new tenure follows once more voters are reachable. */
const ENOUGH_VOTERS = 5;
/** Number of lost voters that a tenure tolerates; with more, a new tenure starts without delay. */
const LOST_VOTERS_TOLERATED = 1;
/** Age at which a tenure that lost fewer voters, or could have more, is replaced, in milliseconds. */
const IMPROVE_AFTER_MS = 5_000;

/** Length of the random name of a tenure; all tenures of one deployment must differ. */
const TENURE_CHARACTERS = 12;
/** Timeout for an entry that another daemon writes, in milliseconds; after it this daemon writes the entry. */
const ENTRY_TIMEOUT_MS = 2_500;
/** Time between checks whether this daemon is entered or supported, in milliseconds. */
const POLL_INTERVAL_MS = 60;
/** Timeout for the voters' support of a new tenure, in milliseconds; after it the tenure is abandoned. */
const SUPPORT_TIMEOUT_MS = 1_200;

/** Backend server that keys are granted to. */
export interface OwnServer extends ServerIdentity {
  slots: number;
}

/** Dependencies and timing of the tenures of one daemon. */
export interface TenureManagerOptions {
  self: Address;
  incarnation: string;
  now: Clock;
  sleep: Sleep;
  /** Sleeps between rounds; by default as `sleep`. */
  pause?: Sleep;
  table: TableStore;
  /** Returns the daemons that could vote, the best first. */
  candidates: () => Voter[];
  /** Returns the server to enter; undefined while no server may own keys. */
  server: () => OwnServer | undefined;
  /** Returns how long votes should last, in milliseconds; at most `supportMsMax`. */
  supportMs: () => number;
  /** Returns how long votes may have to last at most, in milliseconds, as it is entered in the table. */
  supportMsMax: () => number;
  /** Returns whether the deployment is so large that each daemon has only a few voters. */
  hasManyPeers?: () => boolean;
  /** Returns whether another daemon writes entries for many daemons; otherwise this one writes its own. */
  isEnteredByOther?: () => boolean;
  rules?: VoteRules;
}

/** Manages the tenures of one daemon. */
export class TenureManager {
  readonly #options: TenureManagerOptions;
  readonly #changed = new Subject<void>();
  readonly #stop = createStop();
  /** All tenures that the store may hold for this daemon; the last one is the newest. */
  #tenures: Tenure[] = [];
  /** New tenure that no grant relies on yet. */
  #candidate: Tenure | undefined;
  readonly #startedAt: number;
  #enteredAt = Number.NEGATIVE_INFINITY;
  /** Longest time for which votes were requested, in milliseconds. */
  #requestedMsMax = 0;
  /** How long the votes of the last reply last, in milliseconds. */
  #votedMs = 0;
  #waitingSince: number | undefined;
  /** Entry for another daemon to write; undefined for none. */
  #pending: { host: Host; replaces: string | null } | undefined;
  #task: Promise<void> | undefined;

  constructor(options: TenureManagerOptions) {
    this.#options = options;
    this.#startedAt = options.now();
  }

  /** Emits when a tenure has started. */
  get changed(): Subject<void> {
    return this.#changed;
  }

  /** Entry that another daemon should write for this one; undefined for none. */
  get pendingEntry(): { host: Host; replaces: string | null } | undefined {
    return this.#pending;
  }

  /** Daemons whose votes this one relies on. */
  get voters(): Address[] {
    return this.#requested.flatMap(({ voters }) => voters.map(({ address }) => address));
  }

  /** Tenures for which this daemon requests support. */
  get #requested(): Tenure[] {
    return this.#candidate === undefined ? this.#tenures : [...this.#tenures, this.#candidate];
  }

  /** Starts the checks of the tenure in the background. */
  start(): void {
    this.#task = this.#run();
  }

  /** Returns the tenures for which a voter's support is requested. */
  tenuresFor(voter: Address): string[] {
    return this.#requested
      .filter((tenure) => tenure.voters.some(({ address }) => address === voter))
      .map(({ tenure }) => tenure);
  }

  /**
   * Time for which votes are requested, in milliseconds. It is within what the table says of this daemon's tenure, since
   * other daemons rely on that where a voter has restarted.
   */
  get supportMs(): number {
    const { self, table, supportMs, supportMsMax } = this.#options;
    const host = table.table.value.hosts[self];
    const isEntered = host !== undefined && this.isOwn(host.tenure);
    const requestedMs = Math.min(supportMs(), isEntered ? host.supportMsMax : supportMsMax());
    this.#requestedMsMax = Math.max(this.#requestedMsMax, requestedMs);
    return requestedMs;
  }

  /** Time for which the votes last that support the tenure, in milliseconds; 0 before the first. */
  get votedMs(): number {
    return this.#votedMs;
  }

  /** Time at which all grants of an earlier process at this address have certainly ended. */
  get earlierGrantsEndBy(): number {
    const { self, table, supportMsMax } = this.#options;
    const longest = table.table.value.hosts[self]?.supportMsMax ?? 0;
    return endOfGrant(this.#startedAt, Math.max(longest, supportMsMax()));
  }

  /** Records a voter's support for `supportMs`; `sentAt` is when this daemon requested it. */
  recordSupport(
    voter: Address,
    incarnation: string,
    options: { tenures: string[]; sentAt: number; supportMs: number },
  ): void {
    for (const tenure of this.#requested) {
      if (options.tenures.includes(tenure.tenure)) {
        tenure.recordSupport(voter, incarnation, options);
        this.#votedMs = options.supportMs;
      }
    }
  }

  /** Returns whether a tenure is one of this daemon's. */
  isOwn(tenure: string): boolean {
    return this.#requested.some((own) => own.tenure === tenure);
  }

  /** Time on this process's clock until which grants may run; in the past when there is no support. */
  get supportedUntil(): number {
    const { self, table } = this.#options;
    const host = table.table.value.hosts[self];
    if (host === undefined || !this.isOwn(host.tenure)) {
      return Number.NEGATIVE_INFINITY;
    }
    return Math.min(...this.#tenures.map((tenure) => tenure.supportedUntil));
  }

  /** Drops all support, for use when time may have passed that this process did not count. */
  dropSupport(): void {
    this.#requested.forEach((tenure) => tenure.dropSupport());
  }

  async #run(): Promise<void> {
    const { sleep, pause = sleep } = this.#options;
    while (!this.#stop.signal.aborted) {
      const server = this.#options.server();
      if (server !== undefined && this.#mustEnter(server)) {
        await this.#enter(server);
      }
      await pause(CHECK_INTERVAL_MS, this.#stop.signal);
    }
  }

  #mustEnter(server: OwnServer): boolean {
    const { self, table, now } = this.#options;
    const host = table.table.value.hosts[self];
    if (host === undefined || !this.isOwn(host.tenure)) {
      return this.#hasVoters();
    }
    const hasLongerWork = this.#options.supportMsMax() > host.supportMsMax;
    if (!isSameIncarnation(host.server, server) || host.isSuspected || hasLongerWork) {
      return true;
    }
    const ageMs = now() - this.#enteredAt;
    const isSettled = ageMs > VOTER_TIMEOUT_MS;
    return isSettled && this.#canImprove({ isOld: ageMs > IMPROVE_AFTER_MS });
  }

  /** Returns whether there are enough voters to start, or the time to wait for more of them is over. */
  #hasVoters(): boolean {
    const { now, candidates } = this.#options;
    this.#waitingSince ??= now();
    return candidates().length >= ENOUGH_VOTERS - 1 ||
      now() - this.#waitingSince > FEW_VOTERS_TIMEOUT_MS;
  }

  /** Returns whether a voter is unresponsive or missing while another daemon could take its place. */
  #canImprove(options: { isOld: boolean }): boolean {
    const { self, candidates } = this.#options;
    const newest = this.#tenures.at(-1);
    if (newest === undefined) {
      return true;
    }
    const others = newest.voters.filter(({ address }) => address !== self);
    const lost = others.filter(({ address }) => !newest.isSupportedBy(address));
    const spare = candidates().filter((candidate) =>
      !others.some(({ address, incarnation }) =>
        address === candidate.address && incarnation === candidate.incarnation
      )
    );
    if (spare.length === 0) {
      return false;
    }
    const isShort = lost.length > 0 || others.length < this.#votersMax - 1;
    return lost.length > LOST_VOTERS_TOLERATED || (options.isOld && isShort);
  }

  get #votersMax(): number {
    return this.#options.hasManyPeers?.() ? VOTERS_MAX_LARGE : VOTERS_MAX;
  }

  async #enter(server: OwnServer): Promise<void> {
    const { self, incarnation, now, table, candidates, supportMsMax } = this.#options;
    const voters = [{ address: self, incarnation }, ...candidates().slice(0, this.#votersMax - 1)];
    const tenure = new Tenure({
      tenure: randomUUID().slice(-TENURE_CHARACTERS),
      voters,
      self,
      now,
      supportMs: () => this.supportMs,
      rules: this.#options.rules,
    });
    if (!(await this.#awaitSupport(tenure))) {
      return;
    }
    const { id, bornMs, slots } = server;
    const host = {
      tenure: tenure.tenure,
      voters,
      server: { id, bornMs },
      slots,
      supportMsMax: Math.max(supportMsMax(), this.#requestedMsMax),
      isSuspected: false,
    };
    const enter = (current: OwnershipTable) =>
      current.hosts[self]?.tenure === tenure.tenure ? undefined : enterHost(current, self, host);
    await this.#awaitEntry(host);
    const outcome = await table.change(enter, { signal: this.#stop.signal });
    if (outcome !== ChangeOutcome.Abandoned) {
      this.#tenures = [tenure];
      this.#enteredAt = now();
      this.#waitingSince = undefined;
      this.#changed.next();
    }
  }

  /**
   * Waits until the voters of a new tenure support it for as long as the grants of earlier tenures run. Once
   * the store holds the new tenure, only its voters keep other daemons from taking the keys. Returns false
   * where the tenure is abandoned.
   */
  async #awaitSupport(tenure: Tenure): Promise<boolean> {
    const { now, rules = ALL_VOTE_RULES } = this.#options;
    const earlierEnd = () =>
      Math.max(
        this.earlierGrantsEndBy,
        ...this.#tenures.map(({ supportedUntil }) => supportedUntil),
      );
    this.#candidate = tenure;
    const timeoutAt = now() + (rules.awaitSupport ? SUPPORT_TIMEOUT_MS : 0);
    await this.#waitUntil(timeoutAt, () => tenure.supportedUntil > now());
    this.#candidate = undefined;
    if (rules.awaitSupport && tenure.supportedUntil <= now() && earlierEnd() > now()) {
      return false;
    }
    const grantsEnd = rules.awaitSupport ? earlierEnd() : now();
    this.#tenures.push(tenure);
    this.#changed.next();
    await this.#waitUntil(grantsEnd, () => tenure.supportedUntil >= grantsEnd);
    return true;
  }

  /** Waits for another daemon to enter this one together with others, until the timeout. */
  async #awaitEntry(host: Host): Promise<void> {
    const { self, table, now, isEnteredByOther } = this.#options;
    const tenureNow = () => table.table.value.hosts[self]?.tenure;
    this.#pending = { host, replaces: tenureNow() ?? null };
    const isDone = () => !isEnteredByOther?.() || tenureNow() === host.tenure;
    await this.#waitUntil(now() + ENTRY_TIMEOUT_MS, isDone);
    this.#pending = undefined;
  }

  /** Waits for a condition, at most until a time on this process's clock or until the manager closes. */
  async #waitUntil(until: number, isDone: () => boolean): Promise<void> {
    const { now, sleep } = this.#options;
    const { signal } = this.#stop;
    while (!isDone() && now() < until && !signal.aborted) {
      await sleep(POLL_INTERVAL_MS, signal);
    }
  }

  /** Stops entering new tenures; the current one continues while it is supported. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }
}
