/**
 * In-memory stand-in for the deployment's store: keyed topics with conditional appends. It simulates the faults of the
 * real store: outages, lost requests and responses, appends that take effect late, history that is dropped, connections
 * that go silent while new ones work, and a return from an older copy.
 */
import { Buffer } from "node:buffer";
import { Result } from "true-myth";
import {
  type Appended,
  type Item,
  type KeyedPage,
  type KeyedRead,
  type Store,
  StoreError,
  StoreErrorKind,
  type StoreResponse,
} from "@bulrushwood/deployment";
import type { Offset, Sleep } from "@bulrushwood/types";

/** Fault of one append. */
export enum AppendFault {
  None = "none",
  /** The append takes effect, and its response is lost. */
  LostResponse = "lost-answer",
  /** The request is lost, and the append never takes effect. */
  LostRequest = "lost-call",
  /** The append takes effect `lateMs` later if its condition still holds, and gets no response. */
  Late = "late",
}

/** Latency and faults of a stand-in store. */
export interface KeyedStoreOptions {
  sleep: Sleep;
  /** Latency of each call, in milliseconds. */
  callMs?: number;
  /** Chooses the fault of each append; without it no append fails. */
  chooseFault?: () => AppendFault;
  /** Delay of an append with the fault `Late`, in milliseconds. */
  lateMs?: number;
}

/** Time after its wait at which a read without a response fails by default, in milliseconds. */
const READ_MARGIN_MS = 1_500;

interface Topic {
  items: Item[];
  /** Oldest offset that a read still returns. */
  first: Offset;
  /** Callbacks that wake the reads waiting for a record. */
  waiting: Set<() => void>;
}

/** Records of some topics at one time. */
export type StoreCopy = ReadonlyMap<string, Item[]>;

/** Records of all topics, shared by the `Store` objects of all daemons. */
export class KeyedStoreService {
  readonly #options: KeyedStoreOptions;
  readonly #topics = new Map<string, Topic>();
  /** While set, every call fails as unavailable and has no effect. */
  isDown = false;
  /** Callbacks that silence the calls in flight. */
  readonly #silencers = new Set<() => void>();
  #era = 1;

  constructor(options: KeyedStoreOptions) {
    this.#options = options;
  }

  /** Returns the store as one daemon sees it; `isReachable` returns whether that daemon can reach the service. */
  connect(isReachable: () => boolean = () => true): Store {
    return {
      append: (topic, item, limits) =>
        this.#unlessSilent(this.#append(topic, item, { ...limits, isReachable }), limits),
      read: (topic, from, limits) => {
        const { waitMs, timeoutMs = waitMs + READ_MARGIN_MS, signal } = limits;
        const read = this.#read(topic, from, { ...limits, isReachable });
        return this.#unlessSilent(read, { timeoutMs, signal });
      },
      readNewest: (topic, limits) =>
        this.#unlessSilent(this.#readNewest(topic, isReachable), limits),
      close: () => {},
    };
  }

  /** Lets all calls in flight get no response any more, as on connections that have gone silent. */
  silence(): void {
    this.#silencers.forEach((silenceCall) => silenceCall());
    this.#silencers.clear();
  }

  /**
   * Resolves to the response of a call. If its connection goes silent, resolves to a failure when its timeout has
   * passed from then on.
   */
  async #unlessSilent<T>(
    call: Promise<Result<T, StoreError>>,
    options: { timeoutMs: number; signal?: AbortSignal },
  ): Promise<Result<T, StoreError>> {
    const { timeoutMs, signal } = options;
    let silenceCall = () => {};
    const silenced = new Promise<undefined>((resolve) => silenceCall = () => resolve(undefined));
    this.#silencers.add(silenceCall);
    const result = await Promise.race([call, silenced]);
    this.#silencers.delete(silenceCall);
    if (result === undefined) {
      await this.#options.sleep(timeoutMs, signal);
    }
    return result ?? fail(StoreErrorKind.Unknown);
  }

  /** Number that rises each time the store comes back from a copy. */
  get era(): number {
    return this.#era;
  }

  /** Returns a copy of all records. */
  copy(): StoreCopy {
    return new Map([...this.#topics].map(([name, { items }]) => [name, [...items]]));
  }

  /**
   * Comes back with the records of a copy. What was appended to the topics in `rewritten` since is appended again, as by
   * systems that remember it.
   */
  restore(copy: StoreCopy, options: { rewritten?: string[] } = {}): void {
    const { rewritten = [] } = options;
    this.#era++;
    this.#topics.forEach((topic, name) => {
      const kept = copy.get(name) ?? [];
      const lost = rewritten.includes(name) ? topic.items.slice(kept.length) : [];
      topic.items = [...kept, ...lost];
      topic.first = Math.min(topic.first, topic.items.length);
      this.#wakeReaders(topic);
    });
  }

  /** Drops the history of a topic: reads from older offsets expire; the newest record of each key stays. */
  dropHistory(name: string): void {
    const topic = this.#topicOf(name);
    topic.first = topic.items.length;
    this.#wakeReaders(topic);
  }

  /** Removes all records of a key, as if its deletion had been dropped from the history. */
  forget(name: string, key: string): void {
    const topic = this.#topicOf(name);
    topic.items = topic.items.map((item) => item.key === key ? { ...item, key: "" } : item);
  }

  /** Returns the number of records ever appended to a topic. */
  endOf(name: string): Offset {
    return this.#topicOf(name).items.length;
  }

  #topicOf(name: string): Topic {
    const topic = this.#topics.get(name) ?? { items: [], first: 0, waiting: new Set() };
    this.#topics.set(name, topic);
    return topic;
  }

  #isUnreachable(isReachable: () => boolean): boolean {
    return this.isDown || !isReachable();
  }

  async #append(
    name: string,
    item: { key: string; value: Buffer },
    options: { expectedEnd?: Offset; timeoutMs: number; isReachable: () => boolean },
  ): Promise<Result<Appended, StoreError>> {
    const { sleep, callMs = 0, chooseFault, lateMs = 0 } = this.#options;
    await sleep(callMs);
    if (this.#isUnreachable(options.isReachable)) {
      return fail(StoreErrorKind.Unavailable);
    }
    const fault = chooseFault?.() ?? AppendFault.None;
    if (fault === AppendFault.None) {
      return this.#apply(name, item, options.expectedEnd);
    }
    if (fault === AppendFault.LostResponse) {
      this.#apply(name, item, options.expectedEnd);
    }
    if (fault === AppendFault.Late) {
      sleep(lateMs).then(() => this.#apply(name, item, options.expectedEnd));
    }
    await sleep(options.timeoutMs);
    return fail(StoreErrorKind.Unknown);
  }

  #apply(
    name: string,
    item: { key: string; value: Buffer },
    expectedEnd: Offset | undefined,
  ): Result<Appended, StoreError> {
    const topic = this.#topicOf(name);
    const offset = topic.items.length;
    if (expectedEnd !== undefined && expectedEnd !== offset) {
      return fail(StoreErrorKind.Conflict, { era: this.#era });
    }
    topic.items.push({ ...item, offset });
    this.#wakeReaders(topic);
    return Result.ok({ offset, end: offset + 1, era: this.#era });
  }

  #wakeReaders(topic: Topic): void {
    const wakers = [...topic.waiting];
    topic.waiting.clear();
    wakers.forEach((wake) => wake());
  }

  async #read(
    name: string,
    from: Offset,
    options: { waitMs: number; signal: AbortSignal; isReachable: () => boolean },
  ): Promise<Result<KeyedRead, StoreError>> {
    const { sleep, callMs = 0 } = this.#options;
    await sleep(callMs);
    const topic = this.#topicOf(name);
    if (topic.items.length === from && !options.signal.aborted) {
      const waitEnd = new AbortController();
      const wake = () => waitEnd.abort();
      topic.waiting.add(wake);
      options.signal.addEventListener("abort", wake, { once: true });
      await sleep(options.waitMs, waitEnd.signal);
      topic.waiting.delete(wake);
      options.signal.removeEventListener("abort", wake);
    }
    if (this.#isUnreachable(options.isReachable) || options.signal.aborted) {
      return fail(StoreErrorKind.Unavailable);
    }
    if (from < topic.first || from > topic.items.length) {
      return fail(StoreErrorKind.Expired, { era: this.#era });
    }
    const { items } = topic;
    return Result.ok({ items: items.slice(from), next: items.length, era: this.#era });
  }

  async #readNewest(
    name: string,
    isReachable: () => boolean,
  ): Promise<Result<KeyedPage, StoreError>> {
    const { sleep, callMs = 0 } = this.#options;
    await sleep(callMs);
    if (this.#isUnreachable(isReachable)) {
      return fail(StoreErrorKind.Unavailable);
    }
    const { items } = this.#topicOf(name);
    const newest = new Map(items.filter(({ key }) => key !== "").map((item) => [item.key, item]));
    const page = { items: [...newest.values()], after: undefined, end: items.length };
    return Result.ok({ ...page, era: this.#era });
  }
}

function fail(kind: StoreErrorKind, response: StoreResponse = {}): Result<never, StoreError> {
  const message = `The stand-in store returned the error: ${kind}`;
  return Result.err(new StoreError(kind, message, response));
}
