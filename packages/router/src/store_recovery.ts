/**
 * Writes to the store again what it lost when it came back from an older copy. The owners of keys, members and departures
 * of servers are what daemons act on, so the store catches up with the daemons and not the other way round. Before a
 * daemon writes an ownership table for all, it asks its peers for records that only they have.
 */
import type { Subscription } from "rxjs";
import type { Store } from "@bulrushwood/deployment";
import {
  type EraChange,
  type KeyedFollower,
  type KeyedRecord,
  NEW_TABLE_MS,
  offsetOf,
  type Position,
  SYSTEM_TOPIC,
  type TableStore,
} from "@bulrushwood/ledger_store";
import { type Address, type Clock, createStop, type Sleep } from "@bulrushwood/types";
import { Event, type EventLog } from "./event_log.ts";

/** Timeout of one append, in milliseconds; several times the reply time of a slow store. */
const APPEND_TIMEOUT_MS = 1_000;
/** Delay before an append that failed is retried, in milliseconds. */
const RETRY_MS = 100;
/** Time in which the daemon that plans writes records of all, before others do, in milliseconds. */
const PLANNER_FIRST_MS = 150;
/** Largest further delay of the others for each peer, in milliseconds; it differs, so that few of them write together. */
const SPREAD_MS_PER_PEER = 15;
const SPREAD_MS_MAX = 900;
/** The same as `PLANNER_FIRST_MS` for tables of other services, whose daemons are mostly not peers of this one. */
const OTHER_SERVICE_MS = 1_000;
/** Margin beyond the longest grant after which a daemon that knows no earlier era writes a table, in milliseconds. */
const GRANT_MARGIN_MS = 2_000;

export interface StoreRecoveryOptions {
  self: Address;
  service: string;
  store: Store;
  /** Follower of the topic that contains the ownership tables and the records of all daemons. */
  follower: KeyedFollower;
  /** Returns the ownership tables that this daemon follows, by service. */
  tables: () => ReadonlyMap<string, TableStore>;
  /** Returns the daemons that can be reached. */
  peers: () => Address[];
  /** Requests the records from a position on from peers. */
  requestRecords: (peers: Address[], from: Position) => Promise<void>;
  isPlanner: () => boolean;
  grantMsMax: number;
  now: Clock;
  sleep: Sleep;
  random: () => number;
  /** Called when this daemon's part is done, with the number of records that it has written again. */
  onRecovered: (result: { rewritten: number; isStart: boolean }) => void;
  log: EventLog;
}

/** One daemon's part in the recovery of the store. */
export class StoreRecovery {
  readonly #options: StoreRecoveryOptions;
  readonly #subscriptions: Subscription[];
  readonly #stop = createStop();
  /** Services whose tables this daemon knows only from a copy, so that others may know later changes. */
  readonly #copiedTables = new Set<string>();
  #isWritingOwn = false;

  constructor(options: StoreRecoveryOptions) {
    this.#options = options;
    const { follower } = options;
    this.#subscriptions = [
      follower.eras.subscribe((change) => this.#recover(change)),
      // An append that was acknowledged before the store went away may be processed here only after it came back.
      follower.changes.subscribe((record) => {
        if (follower.isLost(record) && this.#isOwn(record)) {
          this.#writeOwn();
        }
      }),
    ];
  }

  async #recover(change: EraChange): Promise<void> {
    const { log, onRecovered, requestRecords, peers, follower } = this.#options;
    const { from, to, end, isStart } = change;
    const ownRecords = await this.#writeOwn();
    if (!isStart) {
      await requestRecords(peers(), end);
    }
    const tables = await this.#settleTables(change);
    const otherRecords = isStart ? [] : await this.#writeLost(() => true, { era: to });
    const rewritten = [...ownRecords, ...tables, ...otherRecords];
    onRecovered({ rewritten: rewritten.length, isStart });
    if (!isStart || rewritten.length > 0) {
      log(Event.StoreEra, { old: from, new: to, end: offsetOf(follower.end), isStart, rewritten });
    }
  }

  #isOwn({ key }: KeyedRecord): boolean {
    return key.endsWith(`/${this.#options.self}`);
  }

  /** Writes the records that only this daemon writes. */
  async #writeOwn(): Promise<string[]> {
    if (this.#isWritingOwn) {
      return [];
    }
    this.#isWritingOwn = true;
    const { era } = this.#options.follower;
    const written = await this.#writeLost((record) => this.#isOwn(record), { era });
    this.#isWritingOwn = false;
    return written;
  }

  /** Writes lost records that `mayWrite` accepts, unless another daemon does; returns their keys. */
  async #writeLost(
    mayWrite: (record: KeyedRecord) => boolean,
    { era }: { era: number },
  ): Promise<string[]> {
    const { follower } = this.#options;
    const { signal } = this.#stop;
    const tableKeys = new Set([...this.#options.tables().values()].map(({ key }) => key));
    const nextLost = () =>
      [...follower.items].find((record) =>
        follower.isLost(record) && mayWrite(record) && !tableKeys.has(record.key)
      );
    const written: string[] = [];
    let record = nextLost();
    while (record !== undefined && follower.era === era && !signal.aborted) {
      if (await this.#append(record)) {
        written.push(record.key);
      }
      record = nextLost();
    }
    return written;
  }

  /** Appends a record, on condition that all later ones have been read; returns whether it took effect. */
  async #append({ key, value }: KeyedRecord): Promise<boolean> {
    const { store, follower, sleep } = this.#options;
    const { end } = follower;
    const options = { expectedEnd: offsetOf(end), timeoutMs: APPEND_TIMEOUT_MS };
    const appended = await store.append(SYSTEM_TOPIC, { key, value }, options);
    if (appended.isOk) {
      follower.applyAppended({ key, value }, appended.value);
      return true;
    }
    await sleep(RETRY_MS, this.#stop.signal);
    if (follower.end === end) {
      follower.refresh();
    }
    return false;
  }

  /** Writes the tables that nobody else writes; returns the keys of those that this daemon wrote. */
  async #settleTables(change: EraChange): Promise<string[]> {
    const written = await Promise.all(
      [...this.#options.tables()].map(async ([service, table]) => {
        const isWritten = await this.#settleTable(service, table, change);
        return isWritten ? [table.key] : [];
      }),
    );
    return written.flat();
  }

  async #settleTable(
    service: string,
    table: TableStore,
    { to, isStart }: EraChange,
  ): Promise<boolean> {
    const { follower } = this.#options;
    if (isStart) {
      this.#copiedTables.add(service);
    }
    const isCopied = this.#copiedTables.has(service);
    await this.#awaitOthers(table, { era: to, delayMs: this.#delayMs(service, table) });
    if (follower.era !== to || this.#stop.signal.aborted) {
      return false;
    }
    const isWritten = await table.settle({ renewsEpochs: isCopied });
    if (table.isSettled) {
      this.#copiedTables.delete(service);
    }
    return isWritten;
  }

  /** Waits for a daemon that should write a table before this one does. */
  async #awaitOthers(
    table: TableStore,
    { era, delayMs }: { era: number; delayMs: number },
  ): Promise<void> {
    const { now, sleep, follower } = this.#options;
    const until = now() + delayMs;
    while (
      !table.isSettled && follower.era === era && now() < until && !this.#stop.signal.aborted
    ) {
      await sleep(Math.min(RETRY_MS, until - now()), this.#stop.signal);
    }
  }

  #delayMs(service: string, table: TableStore): number {
    const { isPlanner, grantMsMax, peers, random } = this.#options;
    if (this.#copiedTables.has(service)) {
      // Servers may still have keys of the table that the store lost.
      return table.isStored ? grantMsMax + GRANT_MARGIN_MS : NEW_TABLE_MS;
    }
    const spreadMs = random() * Math.min(SPREAD_MS_MAX, peers().length * SPREAD_MS_PER_PEER);
    if (service !== this.#options.service) {
      return OTHER_SERVICE_MS + spreadMs;
    }
    return isPlanner() ? 0 : PLANNER_FIRST_MS + spreadMs;
  }

  /** Stops writing records. */
  close(): void {
    this.#stop.abort();
    this.#subscriptions.forEach((subscription) => subscription.unsubscribe());
  }
}
