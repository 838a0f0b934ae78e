/**
 * Keeps this daemon entered in the ownership table with a tenure that live voters support. A daemon whose
 * voters are gone, whose server began a new life, or which was taken out enters again with a new tenure.
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
import { isSameLife, type ServerIdentity } from "@bulrushwood/deployment";
import { ALL_VOTE_RULES, Tenure, type Voter, type VoteRules } from "@bulrushwood/lease_votes";
import { type Address, type Clock, createStop, type Sleep } from "@bulrushwood/types";
import { endOfGrant } from "./grant_channel.ts";

/** How often the tenure is looked after, in milliseconds. */
const CHECK_MS = 150;
/** A voter that gave no support for so long is replaced, in milliseconds; longer than a restart takes. */
const VOTER_PATIENCE_MS = 1_600;
/** A new tenure waits so long for better voters than it can have now, in milliseconds. */
const FEW_VOTERS_PATIENCE_MS = 1_000;
/**
 * Voters of a tenure, this daemon among them. Where a part of all instances is cut off, the rest must be a
 * majority of nearly every set of voters, or the keys of those that are cut off could not pass on.
 */
const VOTERS = 15;
/**
 * The same in a large deployment, where a part that is cut off holds a majority of a set hardly more often,
 * and each voter costs every daemon heartbeats.
 */
const VOTERS_OF_MANY = 9;
/** Voters with which a tenure is begun at once; it is begun anew with more when they are heard. */
const GOOD_VOTERS = 5;
/** Voters that may be lost before a tenure is begun anew without delay. */
const LOST_VOTERS_MAX = 1;
/** A tenure that lost fewer voters, or could have more, is begun anew after this, in milliseconds. */
const IMPROVE_AFTER_MS = 5_000;

/** Length of the random name of a tenure; all tenures of one deployment must differ. */
const TENURE_CHARACTERS = 12;
/** An entry that another daemon writes is waited for so long before it is written here, in milliseconds. */
const ENTRY_PATIENCE_MS = 2_500;
/** How often a daemon looks whether it is entered or supported, in milliseconds. */
const ENTRY_LOOK_MS = 60;
/** A new tenure is given up where its voters do not support it within this, in milliseconds. */
const SUPPORT_PATIENCE_MS = 1_200;

/** The server that keys are granted to. */
export interface OwnServer extends ServerIdentity {
  slots: number;
}

/** What a tenure keeper needs. */
export interface TenureKeeperOptions {
  self: Address;
  incarnation: string;
  now: Clock;
  sleep: Sleep;
  table: TableStore;
  /** Daemons that could vote, the best first. */
  candidates: () => Voter[];
  /** The server to enter; undefined while there is none that may own keys. */
  server: () => OwnServer | undefined;
  /** How long a vote supports a tenure, in milliseconds; the same in all daemons. */
  supportMs: number;
  /** Whether there are so many daemons that each has only a few voters. */
  hasManyPeers?: () => boolean;
  /** Whether another daemon writes entries for many; else this one writes its own. */
  isEnteredByOther?: () => boolean;
  rules?: VoteRules;
}

/** The tenures of one daemon. */
export class TenureKeeper {
  readonly #options: TenureKeeperOptions;
  readonly #changed = new Subject<void>();
  readonly #stop = createStop();
  /** All tenures that the store may name for this daemon; the last one is the newest. */
  #tenures: Tenure[] = [];
  /** A new tenure that is not counted on yet. */
  #candidate: Tenure | undefined;
  /** When grants that an earlier process at this address gave have ended for certain. */
  readonly #earlierEndBy: number;
  #enteredAt = Number.NEGATIVE_INFINITY;
  #wantsSince: number | undefined;
  /** What another daemon should write; undefined for nothing. */
  #pending: { host: Host; replaces: string | null } | undefined;
  #task: Promise<void> | undefined;

  constructor(options: TenureKeeperOptions) {
    this.#options = options;
    this.#earlierEndBy = endOfGrant(options.now(), options.supportMs);
  }

  /** Emits when a tenure began. */
  get changed(): Subject<void> {
    return this.#changed;
  }

  /** An entry that another daemon should write; undefined for none. */
  get pendingEntry(): { host: Host; replaces: string | null } | undefined {
    return this.#pending;
  }

  /** Daemons that this one relies on. */
  get voters(): Address[] {
    return this.#asked.flatMap(({ voters }) => voters.map(({ address }) => address));
  }

  /** Tenures that voters are asked to support. */
  get #asked(): Tenure[] {
    return this.#candidate === undefined ? this.#tenures : [...this.#tenures, this.#candidate];
  }

  /** Starts to look after the tenure. */
  start(): void {
    this.#task = this.#run();
  }

  /** Tenures that a voter should be asked to support. */
  tenuresFor(voter: Address): string[] {
    return this.#asked
      .filter((tenure) => tenure.voters.some(({ address }) => address === voter))
      .map(({ tenure }) => tenure);
  }

  /** Takes a voter's support. */
  noteSupport(
    voter: Address,
    incarnation: string,
    options: { tenures: string[]; sentAt: number },
  ): void {
    for (const tenure of this.#asked) {
      if (options.tenures.includes(tenure.tenure)) {
        tenure.noteSupport(voter, incarnation, options.sentAt);
      }
    }
  }

  /** Whether a tenure is one of this daemon's. */
  isOwn(tenure: string): boolean {
    return this.#asked.some((own) => own.tenure === tenure);
  }

  /** Until when grants may run, on this process's clock; in the past when there is no support. */
  get supportedUntil(): number {
    const { self, table } = this.#options;
    const host = table.table.value.hosts[self];
    if (host === undefined || !this.isOwn(host.tenure)) {
      return Number.NEGATIVE_INFINITY;
    }
    return Math.min(...this.#tenures.map((tenure) => tenure.supportedUntil));
  }

  /** Forgets all support, where time may have passed unnoticed. */
  forgetSupport(): void {
    this.#asked.forEach((tenure) => tenure.forget());
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      const server = this.#options.server();
      if (server !== undefined && this.#mustEnter(server)) {
        await this.#enter(server);
      }
      await this.#options.sleep(CHECK_MS, this.#stop.signal);
    }
  }

  #mustEnter(server: OwnServer): boolean {
    const { self, table, now } = this.#options;
    const host = table.table.value.hosts[self];
    if (host === undefined || !this.isOwn(host.tenure)) {
      return this.#hasVoters();
    }
    if (!isSameLife(host.server, server) || host.isSuspected) {
      return true;
    }
    const ageMs = now() - this.#enteredAt;
    const isSettled = ageMs > VOTER_PATIENCE_MS;
    return isSettled && this.#canImprove({ isOld: ageMs > IMPROVE_AFTER_MS });
  }

  /** Waits for a moment for voters; then begins with those that there are. */
  #hasVoters(): boolean {
    const { now, candidates } = this.#options;
    this.#wantsSince ??= now();
    return candidates().length >= GOOD_VOTERS - 1 ||
      now() - this.#wantsSince > FEW_VOTERS_PATIENCE_MS;
  }

  /** Whether a voter is silent, or missing, while another could take its place. */
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
    return lost.length > LOST_VOTERS_MAX || (options.isOld && isShort);
  }

  get #votersMax(): number {
    return this.#options.hasManyPeers?.() ? VOTERS_OF_MANY : VOTERS;
  }

  async #enter(server: OwnServer): Promise<void> {
    const { self, incarnation, now, table, candidates, supportMs } = this.#options;
    const voters = [{ address: self, incarnation }, ...candidates().slice(0, this.#votersMax - 1)];
    const tenure = new Tenure({
      tenure: randomUUID().slice(-TENURE_CHARACTERS),
      voters,
      self,
      now,
      supportMs,
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
      isSuspected: false,
    };
    const enter = (current: OwnershipTable) =>
      current.hosts[self]?.tenure === tenure.tenure ? undefined : enterHost(current, self, host);
    await this.#awaitEntry(host);
    const outcome = await table.change(enter, { signal: this.#stop.signal });
    if (outcome !== ChangeOutcome.Abandoned) {
      this.#tenures = [tenure];
      this.#enteredAt = now();
      this.#wantsSince = undefined;
      this.#changed.next();
    }
  }

  /**
   * Waits until the voters of a new tenure support it for as long as grants run that rest on earlier ones.
   * Once the store names it, only its voters keep others from the keys. False where it is given up.
   */
  async #awaitSupport(tenure: Tenure): Promise<boolean> {
    const { now, rules = ALL_VOTE_RULES } = this.#options;
    const earlierEnd = () =>
      Math.max(this.#earlierEndBy, ...this.#tenures.map(({ supportedUntil }) => supportedUntil));
    this.#candidate = tenure;
    const patientUntil = now() + (rules.awaitSupport ? SUPPORT_PATIENCE_MS : 0);
    await this.#waitUntil(patientUntil, () => tenure.supportedUntil > now());
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

  /** Lets another daemon enter this one, together with others, for a bounded time. */
  async #awaitEntry(host: Host): Promise<void> {
    const { self, table, now, isEnteredByOther } = this.#options;
    const tenureNow = () => table.table.value.hosts[self]?.tenure;
    this.#pending = { host, replaces: tenureNow() ?? null };
    const isOver = () => !isEnteredByOther?.() || tenureNow() === host.tenure;
    await this.#waitUntil(now() + ENTRY_PATIENCE_MS, isOver);
    this.#pending = undefined;
  }

  /** Waits for a condition, until a time on this process's clock at most, or until this closes. */
  async #waitUntil(until: number, isOver: () => boolean): Promise<void> {
    const { now, sleep } = this.#options;
    const { signal } = this.#stop;
    while (!isOver() && now() < until && !signal.aborted) {
      await sleep(ENTRY_LOOK_MS, signal);
    }
  }

  /** Stops entering anew; the tenure goes on while it is supported. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }
}
