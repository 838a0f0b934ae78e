/**
 * Stand-in for the deployment's store, in memory: keyed topics with conditional appends, and the faults
 * that the real one has: outages, lost answers, appends that take effect late, history that is dropped.
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
} from "@bulrushwood/deployment";
import type { Offset, Sleep } from "@bulrushwood/types";

/** What happens to the next append. */
export enum AppendFault {
  None = "none",
  /** It takes effect, and its answer is lost. */
  LostAnswer = "lost-answer",
  /** It is lost on its way. */
  LostCall = "lost-call",
  /** It takes effect `lateMs` later if its condition still holds, and is not answered. */
  Late = "late",
}

/** How to make a stand-in. */
export interface KeyedStoreOptions {
  sleep: Sleep;
  /** Time of one call, in milliseconds. */
  callMs?: number;
  /** Decides the fault of each append. */
  chooseFault?: () => AppendFault;
  lateMs?: number;
}

interface Topic {
  items: Item[];
  first: Offset;
  waiting: Set<() => void>;
}

/** The records of all topics, shared by the stores of all daemons. */
export class KeyedStoreService {
  readonly #options: KeyedStoreOptions;
  readonly #topics = new Map<string, Topic>();
  /** While set, no call is answered by doing anything. */
  isDown = false;

  constructor(options: KeyedStoreOptions) {
    this.#options = options;
  }

  /** A store as one daemon sees it; `isReachable` tells whether the daemon reaches the service. */
  connect(isReachable: () => boolean = () => true): Store {
    return {
      append: (topic, item, limits) => this.#append(topic, item, { ...limits, isReachable }),
      read: (topic, from, limits) => this.#read(topic, from, { ...limits, isReachable }),
      readNewest: (topic) => this.#readNewest(topic, isReachable),
      close: () => {},
    };
  }

  /** Drops the history of a topic; the newest record of each key stays. */
  forget(topic: string): void {
    const known = this.#topicOf(topic);
    known.first = known.items.length;
    this.#wake(known);
  }

  /** Number of records that a topic ever had. */
  endOf(topic: string): Offset {
    return this.#topicOf(topic).items.length;
  }

  #topicOf(name: string): Topic {
    const known = this.#topics.get(name) ?? { items: [], first: 0, waiting: new Set() };
    this.#topics.set(name, known);
    return known;
  }

  #isOut(isReachable: () => boolean): boolean {
    return this.isDown || !isReachable();
  }

  async #append(
    name: string,
    item: { key: string; value: Buffer },
    options: { expectedEnd?: Offset; timeoutMs: number; isReachable: () => boolean },
  ): Promise<Result<Appended, StoreError>> {
    const { sleep, callMs = 0, chooseFault, lateMs = 0 } = this.#options;
    await sleep(callMs);
    if (this.#isOut(options.isReachable)) {
      return fail(StoreErrorKind.Unavailable);
    }
    const fault = chooseFault?.() ?? AppendFault.None;
    if (fault === AppendFault.None) {
      return this.#apply(name, item, options.expectedEnd);
    }
    if (fault === AppendFault.LostAnswer) {
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
      return fail(StoreErrorKind.Conflict);
    }
    topic.items.push({ ...item, offset });
    this.#wake(topic);
    return Result.ok({ offset, end: offset + 1 });
  }

  #wake(topic: Topic): void {
    const waiting = [...topic.waiting];
    topic.waiting.clear();
    waiting.forEach((wake) => wake());
  }

  async #read(
    name: string,
    from: Offset,
    options: { waitMs: number; signal: AbortSignal; isReachable: () => boolean },
  ): Promise<Result<KeyedRead, StoreError>> {
    const { sleep, callMs = 0 } = this.#options;
    await sleep(callMs);
    const topic = this.#topicOf(name);
    if (topic.items.length <= from && !options.signal.aborted) {
      const over = new AbortController();
      const wake = () => over.abort();
      topic.waiting.add(wake);
      options.signal.addEventListener("abort", wake, { once: true });
      await sleep(options.waitMs, over.signal);
      topic.waiting.delete(wake);
      options.signal.removeEventListener("abort", wake);
    }
    if (this.#isOut(options.isReachable) || options.signal.aborted) {
      return fail(StoreErrorKind.Unavailable);
    }
    if (from < topic.first) {
      return fail(StoreErrorKind.Expired);
    }
    return Result.ok({ items: topic.items.slice(from), next: Math.max(from, topic.items.length) });
  }

  async #readNewest(
    name: string,
    isReachable: () => boolean,
  ): Promise<Result<KeyedPage, StoreError>> {
    const { sleep, callMs = 0 } = this.#options;
    await sleep(callMs);
    if (this.#isOut(isReachable)) {
      return fail(StoreErrorKind.Unavailable);
    }
    const { items } = this.#topicOf(name);
    const newest = new Map(items.map((item) => [item.key, item]));
    return Result.ok({ items: [...newest.values()], after: undefined, end: items.length });
  }
}

function fail(kind: StoreErrorKind): Result<never, StoreError> {
  return Result.err(new StoreError(kind, `The stand-in's answer: ${kind}`));
}
