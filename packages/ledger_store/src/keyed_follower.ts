/**
 * Follows one keyed topic of the store: reads the newest record of each key, then waits for later records.
 * When the store has dropped records in between, the newest records are read again. A key's record is only
 * replaced by one with a higher offset, so inconsistent pages and stale reads are harmless. A key that is not on any of
 * the pages was deleted in records that were dropped.
 */
import { Buffer } from "node:buffer";
import { Subject } from "rxjs";
import { type Item, type Store, type StoreError, StoreErrorKind } from "@bulrushwood/deployment";
import { type Clock, createStop, type Offset, type Sleep } from "@bulrushwood/types";

/** Delay after a failed read, in milliseconds; much shorter than the time limit for changes to apply. */
const RETRY_DELAY_MS = 250;
/** Timeout of one page of the newest records, in milliseconds; several times the reply time of a slow store. */
const PAGE_TIMEOUT_MS = 2_000;

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
  /** Called while the topic ends before records that were read from it, with both offsets. */
  onWentBack?: (offsets: { end: Offset; read: Offset }) => void;
  /** Called when the store becomes reachable or unreachable. */
  onReachable: (isReachable: boolean, reason: string) => void;
}

/** Keeps the newest records of one topic up to date. */
export class KeyedFollower {
  readonly #options: KeyedFollowerOptions;
  readonly #items = new Map<string, Item>();
  readonly #changes = new Subject<Item>();
  readonly #removals = new Subject<Item>();
  readonly #stop = createStop();
  #end: Offset = 0;
  /** End of the topic when all newest records were last read. */
  #newestEnd: Offset = 0;
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
  get changes(): Subject<Item> {
    return this.#changes;
  }

  /** Emits a record without a value for each key that is no longer in the store, though no record deleted it here. */
  get removals(): Subject<Item> {
    return this.#removals;
  }

  /** Returns the newest record of a key; undefined when there is none. */
  get(key: string): Item | undefined {
    return this.#items.get(key);
  }

  /** The newest records of all keys. */
  get items(): IterableIterator<Item> {
    return this.#items.values();
  }

  /** Offset after the last record that was read. */
  get end(): Offset {
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
    const read = await store.read(topic, this.#end, { waitMs, signal });
    if (this.#stop.signal.aborted) {
      return;
    }
    if (read.isOk) {
      this.#recordSuccess(sentAt);
      // Only the last record of each key matters.
      const newest = new Map(read.value.items.map((item) => [item.key, item]));
      newest.forEach((item) => this.apply(item));
      this.#end = Math.max(this.#end, read.value.next);
      await this.#pace(newest.size);
      return;
    }
    if (signal.aborted || read.error.kind === StoreErrorKind.Expired) {
      await this.#readAllNewest();
      if (!signal.aborted && this.#newestEnd < this.#end) {
        // The store came back from an older copy. Reading again at once would get the same response, without end.
        this.#options.onWentBack?.({ end: this.#newestEnd, read: this.#end });
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

  /** Reads all pages. Following continues from the end in the first page, so no later record is missed. */
  async #readPages(): Promise<StoreError | undefined> {
    const { store, topic } = this.#options;
    const read = new Set<string>();
    let after: string | undefined;
    let end: Offset | undefined;
    do {
      const page = await store.readNewest(topic, { after, timeoutMs: PAGE_TIMEOUT_MS });
      if (page.isErr) {
        return page.error;
      }
      page.value.items.forEach((item) => {
        read.add(item.key);
        this.apply(item);
      });
      after = page.value.after;
      end ??= page.value.end;
    } while (after !== undefined);
    this.#newestEnd = end;
    this.#end = Math.max(this.#end, end);
    this.#removeUnread(read, end);
    return undefined;
  }

  /** Removes the keys that were not read and whose record here is older than the first page. */
  #removeUnread(read: ReadonlySet<string>, end: Offset): void {
    for (const { key, offset, value } of [...this.#items.values()]) {
      if (!read.has(key) && offset < end) {
        this.#items.delete(key);
        if (value.length > 0) {
          this.#removals.next({ key, value: Buffer.alloc(0), offset });
        }
      }
    }
  }

  /** Applies a record that is in the store, unless a newer one of its key is here. */
  apply(item: Item): void {
    const existing = this.#items.get(item.key);
    if (existing !== undefined && existing.offset >= item.offset) {
      return;
    }
    this.#items.set(item.key, item);
    this.#changes.next(item);
  }

  /** Applies a record that this process appended, so that reading can continue after it. */
  applyAppended(item: Item): void {
    if (item.offset === this.#end) {
      this.#end = item.offset + 1;
    }
    this.apply(item);
  }

  /** Applies a peer's records: all newest records from this follower's end to the peer's. */
  adopt(items: Item[], end: Offset): void {
    items.forEach((item) => this.apply(item));
    this.#end = Math.max(this.#end, end);
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
  }
}
