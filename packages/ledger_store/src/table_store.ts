/**
 * Reads and changes the ownership table of one service in the store. A change is a function of the newest
 * table; where another change was written first, it is retried on that table. An append without a reply is
 * settled by a retry with the same condition: at most one of the two takes effect.
 *
 * When the store has come back from an older copy, the table there may lack changes that daemons act on. No daemon changes
 * it then until one that knows the table of the earlier era has written it again.
 */
import { randomUUID } from "node:crypto";
import { BehaviorSubject } from "rxjs";
import { type Store, StoreErrorKind } from "@bulrushwood/deployment";
import type { Clock, Sleep } from "@bulrushwood/types";
import type { KeyedFollower, KeyedRecord } from "./keyed_follower.ts";
import {
  emptyTable,
  keepNewerRanges,
  type OwnershipTable,
  renewEpochs,
  skipEpochs,
} from "./ownership_table.ts";
import { eraOf, offsetOf, type Position } from "./position.ts";
import { SYSTEM_TOPIC } from "./system_records.ts";
import { formatTable, parseTable } from "./table_format.ts";

/** Keys of ownership tables begin with this, and end with the name of the service. */
const TABLE_KEY_PREFIX = "table/";
/** Timeout of one append, in milliseconds; several times the reply time of a slow store. */
const APPEND_TIMEOUT_MS = 1_000;
/** Duration of a change above which the store counts as slow, in milliseconds; normal are some tens. */
const SLOW_CHANGE_MS = 250;
/** Time after a slow change in which the store counts as slow, in milliseconds. */
const SLOW_PERIOD_MS = 3_000;
/** Delay before an append without a response is retried, in milliseconds. */
const RETRY_DELAY_MS = 150;
/** Longest delay before a change is made again whose condition did not hold, in milliseconds. */
const CONFLICT_DELAY_MS = 60;
/** Time between checks whether the record has been read that a change conflicted with, in milliseconds. */
const READ_CHECK_MS = 15;
/** Number of such checks after which the read is made anew, since it may be paced or its connection silent. */
const READ_CHECKS = 4;
/** Time after the begin of an era from which a table without a record is a new one, in milliseconds. */
export const NEW_TABLE_MS = 3_000;
/** Time between checks whether the table was written in the current era, in milliseconds. */
const UNSETTLED_CHECK_MS = 30;

/** Dependencies of a table store. */
export interface TableStoreOptions {
  store: Store;
  follower: KeyedFollower;
  now: Clock;
  sleep: Sleep;
  service: string;
  onCorrupt: (reason: string) => void;
  /** Called with each record of a change that this process wrote, and the tables before and after it. */
  onWritten?: (
    record: KeyedRecord,
    tables: { before: OwnershipTable; after: OwnershipTable },
  ) => void;
  /** Returns a random number from 0 to 1. */
  random: () => number;
}

/** Computes a changed table; returns undefined when there is nothing to change any more. */
export type Change = (table: OwnershipTable) => OwnershipTable | undefined;

/** Outcome of a change. */
export enum ChangeOutcome {
  Done = "done",
  /** The change found nothing to do on the newest table. */
  Needless = "needless",
  /** The change was aborted before it took effect, and will not take effect later. */
  Abandoned = "abandoned",
}

/** The ownership table of one service. */
export class TableStore {
  readonly #options: TableStoreOptions;
  readonly #table = new BehaviorSubject<OwnershipTable>(emptyTable());
  readonly #subscription;
  #lastChange: Promise<unknown> = Promise.resolve();
  /** Whether this process knows newer owners of some keys than the newest table in the store. */
  #hasNewerRanges = false;
  #lastSlowAt = Number.NEGATIVE_INFINITY;

  constructor(options: TableStoreOptions) {
    this.#options = options;
    this.#subscription = options.follower.changes.subscribe((item) => {
      if (item.key === this.key) {
        this.#load(item.value);
      }
    });
    const stored = options.follower.get(this.key);
    if (stored !== undefined) {
      this.#load(stored.value);
    }
  }

  /** Key of the table's record. */
  get key(): string {
    return TABLE_KEY_PREFIX + this.#options.service;
  }

  /** Whether the table has a record, in the store or known from an earlier era. */
  get isStored(): boolean {
    return this.#options.follower.get(this.key) !== undefined;
  }

  /** The newest table that this process has; emits at once and after each change. */
  get table(): BehaviorSubject<OwnershipTable> {
    return this.#table;
  }

  /** Whether changes take so long that only necessary moves should be made. */
  get isSlow(): boolean {
    return this.#options.now() - this.#lastSlowAt < SLOW_PERIOD_MS;
  }

  /**
   * Whether the newest table was written in the current era. Otherwise the store may lack a change of it that is known to
   * other daemons, so that it must not be changed.
   */
  get isSettled(): boolean {
    const { follower, now } = this.#options;
    const record = follower.get(this.key);
    if (!follower.hasCopiedRecords) {
      return true;
    }
    return record === undefined
      ? now() - follower.eraSince > NEW_TABLE_MS
      : !follower.isLost(record) && eraOf(record.position) === follower.era;
  }

  #load(value: Buffer): void {
    const parsed = parseTable(value);
    if (parsed.isErr) {
      this.#options.onCorrupt(parsed.error.message);
      return;
    }
    // Epochs of a key only increase, also where the store came back from a copy and its writer did not know all of them.
    const table = keepNewerRanges(parsed.value, this.#table.value);
    this.#hasNewerRanges = table !== parsed.value;
    this.#table.next(table);
    if (this.#hasNewerRanges) {
      this.change((current) => this.#hasNewerRanges ? current : undefined);
    }
  }

  /**
   * Writes the newest table that this process knows as the first of the current era, unless another daemon has. Epochs
   * that the store lost are not used again. With `renewsEpochs`, all keys get new ones: for a process that does not know
   * the table of the earlier era. Resolves to whether this process wrote it.
   */
  async settle({ renewsEpochs = false }: { renewsEpochs?: boolean } = {}): Promise<boolean> {
    const { follower, sleep, random } = this.#options;
    const { era } = follower;
    while (!this.isSettled && follower.era === era) {
      const { end } = follower;
      const skipped = skipEpochs(this.#table.value);
      const table = renewsEpochs ? renewEpochs(skipped) : skipped;
      if (await this.#append({ ...table, write: randomUUID() }, end)) {
        return true;
      }
      await sleep(CONFLICT_DELAY_MS * random());
    }
    return false;
  }

  /**
   * Changes the table; this process makes one change at a time. Retries until the change took effect, is
   * needless, or `signal` aborts while no append of it may still take effect.
   */
  change(change: Change, options: { signal?: AbortSignal } = {}): Promise<ChangeOutcome> {
    const outcome = this.#lastChange.then(() => this.#change(change, options));
    this.#lastChange = outcome.catch(() => undefined);
    return outcome;
  }

  async #change(change: Change, options: { signal?: AbortSignal }): Promise<ChangeOutcome> {
    const { now } = this.#options;
    const startedAt = now();
    while (!options.signal?.aborted) {
      if (!this.isSettled) {
        await this.#options.sleep(UNSETTLED_CHECK_MS);
        continue;
      }
      const expectedEnd = this.#options.follower.end;
      const changed = change(this.#table.value);
      if (changed === undefined) {
        return ChangeOutcome.Needless;
      }
      const written = { ...changed, write: randomUUID() };
      const isWritten = await this.#append(written, expectedEnd);
      if (now() - startedAt > SLOW_CHANGE_MS) {
        this.#lastSlowAt = now();
      }
      if (isWritten) {
        return ChangeOutcome.Done;
      }
      await this.#options.sleep(CONFLICT_DELAY_MS * this.#options.random());
    }
    return ChangeOutcome.Abandoned;
  }

  /** Appends with the same condition until it is certain whether the append took effect. */
  async #append(table: OwnershipTable, expectedEnd: Position): Promise<boolean> {
    const { store, follower, sleep } = this.#options;
    const value = formatTable(table);
    const item = { key: this.key, value };
    let mayHaveApplied = false;
    // In a later era, the condition would name another state of the topic.
    while (follower.era === eraOf(expectedEnd)) {
      const appended = await store.append(SYSTEM_TOPIC, item, {
        expectedEnd: offsetOf(expectedEnd),
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      if (appended.isOk) {
        const before = this.#table.value;
        const record = follower.applyAppended(item, appended.value);
        this.#options.onWritten?.(record, { before, after: table });
        return true;
      }
      if (appended.error.kind === StoreErrorKind.Conflict) {
        return await this.#readPast(table.write, expectedEnd);
      }
      mayHaveApplied ||= appended.error.kind === StoreErrorKind.Unknown;
      if (!mayHaveApplied) {
        return false;
      }
      await sleep(RETRY_DELAY_MS);
    }
    return false;
  }

  /** Reads past the conflicting record, and returns whether it is this write. */
  async #readPast(write: string, expectedEnd: Position): Promise<boolean> {
    const { follower, sleep } = this.#options;
    for (let check = 1; follower.end <= expectedEnd; check++) {
      if (check % READ_CHECKS === 0) {
        follower.refresh();
      }
      await sleep(READ_CHECK_MS);
    }
    return this.#table.value.write === write;
  }

  close(): void {
    this.#subscription.unsubscribe();
  }
}
