/**
 * Follows one keyed topic of the store: reads the newest record of each key, then waits for later records.
 * When the store has dropped records in between, the newest records are read again. A key's record is only
 * replaced by one at a later position, so inconsistent pages and stale reads are harmless. A key that is not on any of
 * the pages was deleted in records that were dropped.
 *
 * When the store comes back from an older copy, the follower enters the new era: it keeps the records that the copy lacks,
 * and continues from the end of the copy. In a topic that daemons write to, the first record of each era marks where the
 * era begins, so that all daemons know which records were in the copy. Elsewhere the writers of the topic write again
 * what the copy lacks, and for some time records that may be from the copy replace no later ones.
 */
import { Buffer } from "node:buffer";
import { Subject } from "rxjs";
import { Result } from "true-myth";
import {
  type Item,
  type KeyedValue,
  type Store,
  StoreError,
  StoreErrorKind,
} from "@bulrushwood/deployment";
import { type Clock, createStop, type Offset, type Sleep } from "@bulrushwood/types";
import { eraOf, offsetOf, type Position, positionOf } from "./position.ts";

/** Delay after a failed read, in milliseconds; much shorter than the time limit for changes to apply. */
const RETRY_DELAY_MS = 250;
/** Timeout of one page of the newest records, in milliseconds; several times the reply time of a slow store. */
const PAGE_TIMEOUT_MS = 2_000;
/** Timeout of the append that marks an era, in milliseconds; several times the reply time of a slow store. */
const MARK_TIMEOUT_MS = 1_000;
/** Longest wait for another daemon's mark of an era, in milliseconds; the waits differ, so that few daemons append one. */
const MARK_WAIT_MS = 300;
/** Keys of the records that mark the begin of an era begin with this, and end with its number. */
const ERA_KEY_PREFIX = "era/";
/** Era of a store that never came back from a copy; it has no mark. */
const FIRST_ERA = 1;
/** Time in which the writers of a topic write again what a copy of the store lacks, in milliseconds. */
const RESTORE_MS = 5_000;

/** A record at its position in a topic. */
export interface KeyedRecord extends KeyedValue {
  position: Position;
}

/** Begin of an era, as a follower has seen it. */
export interface EraChange {
  from: number;
  to: number;
  /** Position after the last record that was read in earlier eras. */
  end: Position;
  /** Whether the follower started in this era, and so has no records that the copy may lack. */
  isStart: boolean;
}

/** The newest record of each key, and the end of the topic when the first of them was read. */
interface Snapshot {
  items: Item[];
  end: Offset;
  era: number;
}

/** Store, topic and timing of a follower. */
export interface KeyedFollowerOptions {
  store: Store;
  topic: string;
  now: Clock;
  sleep: Sleep;
  /** Returns the longest time that the next read waits for a record, in milliseconds. */
  waitMs: () => number;
  /**
   * Returns the delay after a read that returned records, in milliseconds, so that many changes of a large
   * deployment are read together; no delay by default.
   */
  paceMs?: () => number;
  /** Whether other systems write the topic, so that this one can write nothing to it. */
  isReadOnly?: boolean;
  /** Returns a random number from 0 to 1. */
  random?: () => number;
  /** Called while the topic ends before records that were read from it though the era is the same, with both offsets. */
  onWentBack?: (offsets: { end: Offset; read: Offset }) => void;
  /** Called when the store becomes reachable or unreachable. */
  onReachable: (isReachable: boolean, reason: string) => void;
}

/** Keeps the newest records of one topic up to date. */
export class KeyedFollower {
  readonly #options: KeyedFollowerOptions;
  readonly #items = new Map<string, KeyedRecord>();
  readonly #changes = new Subject<KeyedRecord>();
  readonly #removals = new Subject<KeyedRecord>();
  readonly #eras = new Subject<EraChange>();
  readonly #stop = createStop();
  #era = 0;
  #eraSince = Number.NEGATIVE_INFINITY;
  /** Highest era that a response of the store named. */
  #namedEra = 0;
  /** Offsets at which eras begin. */
  #marks: ReadonlyMap<number, Offset> = new Map();
  #end: Position = 0;
  /** End of the topic when all newest records were last read. */
  #newestEnd: Position = 0;
  /** When records of a topic of other systems that the copy lacks count as deleted. */
  #restoredAt = Number.NEGATIVE_INFINITY;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #repliedAt = Number.NEGATIVE_INFINITY;
  #isReachable = false;
  #readWaitMs = 0;
  #task: Promise<void> | undefined;
  #interrupt = new AbortController();

  constructor(options: KeyedFollowerOptions) {
    this.#options = options;
  }

  /** Emits each new record of a key. */
  get changes(): Subject<KeyedRecord> {
    return this.#changes;
  }

  /** Emits a record without a value for each key that is no longer in the store, though no record deleted it here. */
  get removals(): Subject<KeyedRecord> {
    return this.#removals;
  }

  /** Emits each era when its records have been read. */
  get eras(): Subject<EraChange> {
    return this.#eras;
  }

  /** Era of the store when it was last read. */
  get era(): number {
    return this.#era;
  }

  /** Returns the newest record of a key; undefined when there is none. */
  get(key: string): KeyedRecord | undefined {
    return this.#items.get(key);
  }

  /** The newest records of all keys. */
  get items(): IterableIterator<KeyedRecord> {
    return this.#items.values();
  }

  /** When this follower entered the era; in the past if it has entered none. */
  get eraSince(): number {
    return this.#eraSince;
  }

  /** Position after the last record that was read. */
  get end(): Position {
    return this.#end;
  }

  /** Whether the last call to the store had a reply. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Send time of the last read with a reply; the records here are at least that new. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Longest time that the current read waits for a record, in milliseconds. */
  get readWaitMs(): number {
    return this.#readWaitMs;
  }

  /** Time of the last reply; while the store responds, the next one comes within the longest wait of a read. */
  get repliedAt(): number {
    return this.#repliedAt;
  }

  /** Reads all newest records, retrying until the store replies; then follows the topic in the background. */
  async start(): Promise<void> {
    await this.#readAllNewest();
    this.#task = this.#follow();
  }

  async #follow(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#readOnce();
    }
  }

  async #readOnce(): Promise<void> {
    const { store, topic, now, sleep } = this.#options;
    const sentAt = now();
    const waitMs = this.#options.waitMs();
    this.#readWaitMs = waitMs;
    this.#interrupt = new AbortController();
    const { signal } = this.#interrupt;
    if (this.#namedEra > this.#era) {
      await this.#readAllNewest();
      // A response that named another era for a fault would otherwise end in reads without a pause.
      this.#namedEra = this.#era;
      return;
    }
    const read = await store.read(topic, offsetOf(this.#end), { waitMs, signal });
    if (this.#stop.signal.aborted) {
      return;
    }
    const isOtherEra = read.isOk && (read.value.era ?? this.#era) !== this.#era;
    if (read.isOk && !isOtherEra) {
      this.#recordSuccess(sentAt);
      // Only the last record of each key matters.
      const newest = new Map(read.value.items.map((item) => [item.key, this.#locate(item)]));
      newest.forEach((record) => this.apply(record));
      this.#end = Math.max(this.#end, positionOf(this.#era, read.value.next));
      await this.#pace(newest.size);
      return;
    }
    if (read.isOk || signal.aborted || read.error.kind === StoreErrorKind.Expired) {
      await this.#readAllNewest();
      if (!signal.aborted && this.#newestEnd < this.#end) {
        // The store does not name its eras. Reading again at once would get the same response, without end.
        const [end, readEnd] = [offsetOf(this.#newestEnd), offsetOf(this.#end)];
        this.#options.onWentBack?.({ end, read: readEnd });
        await sleep(RETRY_DELAY_MS, this.#stop.signal);
      }
      return;
    }
    this.#recordFailure(read.error);
    await sleep(RETRY_DELAY_MS, this.#stop.signal);
  }

  async #pace(records: number): Promise<void> {
    const paceMs = records === 0 ? 0 : this.#options.paceMs?.() ?? 0;
    if (paceMs > 0) {
      await this.#options.sleep(paceMs, this.#interrupt.signal);
    }
  }

  async #readAllNewest(): Promise<void> {
    const { now, sleep } = this.#options;
    while (!this.#stop.signal.aborted) {
      const sentAt = now();
      const failed = await this.#readPages();
      if (failed === undefined) {
        this.#recordSuccess(sentAt);
        return;
      }
      this.#recordFailure(failed);
      await sleep(RETRY_DELAY_MS, this.#stop.signal);
    }
  }

  async #readPages(): Promise<StoreError | undefined> {
    const collected = await this.#collectPages();
    if (collected.isErr) {
      return collected.error;
    }
    const snapshot = collected.value;
    const isStart = this.#confirmedAt === Number.NEGATIVE_INFINITY;
    if (snapshot.era > this.#era && (!isStart || snapshot.era > FIRST_ERA)) {
      return await this.#enterEra(snapshot, { isStart });
    }
    this.#era = snapshot.era;
    this.#applySnapshot(snapshot);
    return undefined;
  }

  /** Reads all pages. Following continues from the end in the first page, so no later record is missed. */
  async #collectPages(): Promise<Result<Snapshot, StoreError>> {
    const { store, topic } = this.#options;
    const items: Item[] = [];
    let after: string | undefined;
    let end: Offset | undefined;
    let era: number | undefined;
    do {
      const page = await store.readNewest(topic, { after, timeoutMs: PAGE_TIMEOUT_MS });
      if (page.isErr) {
        return Result.err(page.error);
      }
      const pageEra = page.value.era ?? this.#era;
      era ??= pageEra;
      if (pageEra !== era || pageEra < this.#era) {
        return Result.err(otherEra(pageEra));
      }
      items.push(...page.value.items);
      after = page.value.after;
      end ??= page.value.end;
    } while (after !== undefined);
    return Result.ok({ items, end, era });
  }

  async #enterEra(
    snapshot: Snapshot,
    { isStart }: { isStart: boolean },
  ): Promise<StoreError | undefined> {
    const { isReadOnly = false, now, sleep } = this.#options;
    const failed = isReadOnly ? undefined : await this.#awaitMark(snapshot);
    if (failed !== undefined) {
      return failed;
    }
    const change = { from: this.#era, to: snapshot.era, end: this.#end, isStart };
    this.#era = snapshot.era;
    this.#eraSince = now();
    if (isReadOnly && !isStart) {
      this.#restoredAt = now() + RESTORE_MS;
      sleep(RESTORE_MS, this.#stop.signal).then(() => this.refresh());
    }
    this.#applySnapshot(snapshot);
    this.#eras.next(change);
    return undefined;
  }

  /** Appends the mark of an era unless another daemon does, and adds all records up to it to the snapshot. */
  async #awaitMark(snapshot: Snapshot): Promise<StoreError | undefined> {
    const { store, topic, random = Math.random } = this.#options;
    const { items, era } = snapshot;
    const key = ERA_KEY_PREFIX + era;
    const { signal } = this.#stop;
    while (!signal.aborted && !items.some((item) => item.key === key)) {
      const waitMs = Math.round(random() * MARK_WAIT_MS);
      const read = await store.read(topic, snapshot.end, { waitMs, signal });
      if (read.isErr) {
        return read.error;
      }
      const { items: later, next, era: readEra = era } = read.value;
      if (readEra !== era) {
        return otherEra(readEra);
      }
      items.push(...later);
      snapshot.end = next;
      if (later.length > 0) {
        continue;
      }
      const value = Buffer.from(JSON.stringify({ era }));
      const options = { expectedEnd: snapshot.end, timeoutMs: MARK_TIMEOUT_MS };
      const appended = await store.append(topic, { key, value }, options);
      // Without a response or after a conflict, the next read shows whose mark is there.
      if (appended.isErr && appended.error.kind === StoreErrorKind.Unavailable) {
        return appended.error;
      }
    }
    return undefined;
  }

  #applySnapshot({ items, end, era }: Snapshot): void {
    if (!this.#options.isReadOnly) {
      this.#marks = readMarks(items, era);
    }
    this.#newestEnd = positionOf(era, end);
    this.#end = Math.max(this.#end, this.#newestEnd);
    items.filter((item) => !this.#mayBeOutdated(item)).forEach((item) =>
      this.apply(this.#locate(item))
    );
    this.#removeUnread(new Set(items.map(({ key }) => key)));
  }

  /** Returns the era in which the record at an offset was written. */
  #eraAt(offset: Offset): number {
    if (this.#marks.size === 0) {
      return this.#era;
    }
    let era = this.#marks.has(FIRST_ERA) ? FIRST_ERA - 1 : FIRST_ERA;
    for (const [marked, start] of this.#marks) {
      era = start <= offset ? Math.max(era, marked) : era;
    }
    return era;
  }

  #locate({ key, value, offset }: Item): KeyedRecord {
    return { key, value, position: positionOf(this.#eraAt(offset), offset) };
  }

  /** Whether the writers of the topic may not yet have written again what the copy of the store lacks. */
  get #isRestoring(): boolean {
    return this.#options.now() < this.#restoredAt;
  }

  /** Whether an item of the store may be one that the record here replaced in an earlier era. */
  #mayBeOutdated({ key, value, offset }: Item): boolean {
    const existing = this.#items.get(key);
    return this.#isRestoring && existing !== undefined && eraOf(existing.position) < this.#era &&
      offsetOf(existing.position) > offset && !existing.value.equals(value);
  }

  /** Whether some records of the topic may be from a copy that the store came back from. */
  get hasCopiedRecords(): boolean {
    return this.#marks.size > 0;
  }

  /** Whether a record was in the store, and the copy that it came back from lacks it. */
  isLost({ position }: KeyedRecord): boolean {
    const era = eraOf(position);
    return !this.#options.isReadOnly && era <= this.#era &&
      this.#eraAt(offsetOf(position)) !== era;
  }

  /** Removes the keys that were not read and whose record here is older than the first page. */
  #removeUnread(read: ReadonlySet<string>): void {
    if (this.#isRestoring) {
      return;
    }
    for (const record of [...this.#items.values()]) {
      const { key, position, value } = record;
      if (!read.has(key) && position < this.#newestEnd && !this.isLost(record)) {
        this.#items.delete(key);
        if (value.length > 0) {
          this.#removals.next({ key, value: Buffer.alloc(0), position });
        }
      }
    }
  }

  /** Applies a record that is or was in the store, unless a newer one of its key is here. */
  apply(record: KeyedRecord): void {
    const existing = this.#items.get(record.key);
    if (existing !== undefined && existing.position >= record.position) {
      return;
    }
    this.#items.set(record.key, record);
    const isWrittenAgain = existing !== undefined && existing.value.equals(record.value) &&
      eraOf(existing.position) < eraOf(record.position);
    if (!isWrittenAgain) {
      this.#changes.next(record);
    }
  }

  /** Applies a record that this process appended, so that reading can continue after it. */
  applyAppended(
    { key, value }: KeyedValue,
    { offset, era = this.#era }: { offset: Offset; era?: number },
  ): KeyedRecord {
    const record = { key, value, position: positionOf(era, offset) };
    if (record.position === this.#end) {
      this.#end = record.position + 1;
    }
    this.apply(record);
    return record;
  }

  /** Applies a peer's records: all newest records from this follower's end to the peer's. */
  adopt(records: KeyedRecord[], end: Position): void {
    records.forEach((record) => this.apply(record));
    if (eraOf(end) === this.#era) {
      this.#end = Math.max(this.#end, end);
    }
    this.noteEra(eraOf(end));
  }

  /** Reads the newest records again if a response of the store, or a peer, names a later era. */
  noteEra(era: number): void {
    if (era > this.#namedEra) {
      this.#namedEra = era;
      this.refresh();
    }
  }

  /** Interrupts the current read to read the newest records again, for use when those here may be old. */
  refresh(): void {
    this.#interrupt.abort();
  }

  #recordSuccess(sentAt: number): void {
    this.#confirmedAt = sentAt;
    this.#repliedAt = this.#options.now();
    if (!this.#isReachable) {
      this.#isReachable = true;
      this.#options.onReachable(true, "");
    }
  }

  #recordFailure(error: StoreError): void {
    if (this.#isReachable) {
      this.#isReachable = false;
      this.#options.onReachable(false, error.message);
    }
  }

  /** Stops following the topic. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#interrupt.abort();
    await this.#task;
    this.#changes.complete();
    this.#removals.complete();
    this.#eras.complete();
  }
}

/** Returns the offsets at which the marks of eras are; other writers may have left marks of no era up to `eraMax`. */
function readMarks(items: Item[], eraMax: number): Map<number, Offset> {
  const marks = items.filter(({ key }) => key.startsWith(ERA_KEY_PREFIX)).map((
    { key, offset },
  ) => [Number(key.slice(ERA_KEY_PREFIX.length)), offset] as const);
  return new Map(
    marks.filter(([era]) => Number.isInteger(era) && era >= FIRST_ERA && era <= eraMax),
  );
}

function otherEra(era: number): StoreError {
  const message = "The era of the store changed between two reads";
  return new StoreError(StoreErrorKind.Unavailable, message, { era });
}
