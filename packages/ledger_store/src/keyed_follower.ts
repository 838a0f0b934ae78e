/**
 * Follows one keyed topic of the store: reads the newest record of each key, then waits for later ones.
 * Where history was dropped in between, the newest records are read again; a key's record is only ever
 * replaced by one with a higher offset, so pages that are no snapshot and stale reads do no harm.
 */
import { Subject } from "rxjs";
import { type Item, type Store, type StoreError, StoreErrorKind } from "@bulrushwood/deployment";
import { type Clock, createStop, type Offset, type Sleep } from "@bulrushwood/types";

/** Pause after a failed read, in milliseconds; short against the time in which changes must be in force. */
const RETRY_MS = 250;
/** Time limit of one page of the newest records, in milliseconds; several times a slow store's answer. */
const PAGE_TIMEOUT_MS = 2_000;

/** What a follower needs. */
export interface KeyedFollowerOptions {
  store: Store;
  topic: string;
  now: Clock;
  sleep: Sleep;
  /** How long one read waits for a record, in milliseconds. */
  waitMs: number;
  /**
   * Pause after a read that brought records, in milliseconds, so that many changes of a large deployment
   * are read together; none by default.
   */
  paceMs?: () => number;
  /** Told when the store stops or begins to answer. */
  onReachable: (isReachable: boolean, reason: string) => void;
}

/** The newest records of one topic. */
export class KeyedFollower {
  readonly #options: KeyedFollowerOptions;
  readonly #items = new Map<string, Item>();
  readonly #changes = new Subject<Item>();
  readonly #stop = createStop();
  #end: Offset = 0;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #isReachable = false;
  #task: Promise<void> | undefined;
  #interrupt = new AbortController();

  constructor(options: KeyedFollowerOptions) {
    this.#options = options;
  }

  /** Emits each record that replaces an older one of its key. */
  get changes(): Subject<Item> {
    return this.#changes;
  }

  /** The newest record of a key; undefined when there is none. */
  get(key: string): Item | undefined {
    return this.#items.get(key);
  }

  /** All newest records. */
  get items(): IterableIterator<Item> {
    return this.#items.values();
  }

  /** Offset after the last record that is known here. */
  get end(): Offset {
    return this.#end;
  }

  /** Whether the last call to the store was answered. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** When the last answered read was sent; the state here is at least that new. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Reads all newest records, trying until the store answers; then follows in the background. */
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
    const { store, topic, now, sleep, waitMs } = this.#options;
    const sentAt = now();
    this.#interrupt = new AbortController();
    const { signal } = this.#interrupt;
    const read = await store.read(topic, this.#end, { waitMs, signal });
    if (this.#stop.signal.aborted) {
      return;
    }
    if (read.isOk) {
      this.#noteAnswer(sentAt);
      // Only the last record of each key matters.
      const newest = new Map(read.value.items.map((item) => [item.key, item]));
      newest.forEach((item) => this.apply(item));
      this.#end = Math.max(this.#end, read.value.next);
      await this.#pace(newest.size);
      return;
    }
    if (signal.aborted || read.error.kind === StoreErrorKind.Expired) {
      await this.#readAllNewest();
      return;
    }
    this.#noteFailure(read.error);
    await sleep(RETRY_MS, this.#stop.signal);
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
        this.#noteAnswer(sentAt);
        return;
      }
      this.#noteFailure(failed);
      await sleep(RETRY_MS, this.#stop.signal);
    }
  }

  /** The topic's end as the first page tells it: later records are read by following. */
  async #readPages(): Promise<StoreError | undefined> {
    const { store, topic } = this.#options;
    let after: string | undefined;
    let end: Offset | undefined;
    do {
      const page = await store.readNewest(topic, { after, timeoutMs: PAGE_TIMEOUT_MS });
      if (page.isErr) {
        return page.error;
      }
      page.value.items.forEach((item) => this.apply(item));
      after = page.value.after;
      end ??= page.value.end;
    } while (after !== undefined);
    this.#end = Math.max(this.#end, end);
    return undefined;
  }

  /** Takes a record that is known to lie in the store. */
  apply(item: Item): void {
    const known = this.#items.get(item.key);
    if (known !== undefined && known.offset >= item.offset) {
      return;
    }
    this.#items.set(item.key, item);
    this.#changes.next(item);
  }

  /** Notes that this process appended the record at `item.offset`, so that reading can go on after it. */
  noteAppended(item: Item): void {
    if (item.offset === this.#end) {
      this.#end = item.offset + 1;
    }
    this.apply(item);
  }

  /** Takes over what a peer knows: all newest records from this follower's end to the peer's. */
  adopt(items: Item[], end: Offset): void {
    items.forEach((item) => this.apply(item));
    this.#end = Math.max(this.#end, end);
  }

  /** Reads the newest records again at once, where what is known here may be old. */
  refresh(): void {
    this.#interrupt.abort();
  }

  #noteAnswer(sentAt: number): void {
    this.#confirmedAt = sentAt;
    if (!this.#isReachable) {
      this.#isReachable = true;
      this.#options.onReachable(true, "");
    }
  }

  #noteFailure(error: StoreError): void {
    if (this.#isReachable) {
      this.#isReachable = false;
      this.#options.onReachable(false, error.message);
    }
  }

  /** Stops following. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#interrupt.abort();
    await this.#task;
    this.#changes.complete();
  }
}
