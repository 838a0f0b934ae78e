/**
 * The store that outlives all instances: topics of keyed records. It keeps the newest record of each key
 * permanently, and can make an append conditional on the end of the topic.
 */
import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import type { Offset } from "@bulrushwood/types";

/** Why a call to the store failed. */
export enum StoreErrorKind {
  /** The store is unreachable, too slow or rejected the call; the call had no effect. */
  Unavailable = "unavailable",
  /** No response came; an append may still take effect, now or later. */
  Unknown = "unknown",
  /** The topic did not end at the expected offset, so nothing was appended. */
  Conflict = "conflict",
  /** The requested records are no longer kept. */
  Expired = "expired",
  /** The response cannot be decoded. */
  Malformed = "malformed",
}

/** A failed call to the store. */
export class StoreError extends Error {
  readonly kind: StoreErrorKind;
  /** Era that the response names; undefined if there was no response, or it names none. */
  readonly era: number | undefined;

  constructor(kind: StoreErrorKind, message: string, options: { era?: number } = {}) {
    super(message);
    this.name = "StoreError";
    this.kind = kind;
    this.era = options.era;
  }
}

/** A key and its value. */
export interface KeyedValue {
  key: string;
  /** Empty if the key was deleted. */
  value: Buffer;
}

/** A keyed record of a topic. */
export interface Item extends KeyedValue {
  offset: Offset;
}

/** What all responses of the store have in common. */
export interface StoreResponse {
  /**
   * Number that rises each time the store comes back from an older copy, which lacks the last records that it had
   * acknowledged; their offsets are assigned again. Undefined if the store does not name one.
   */
  era?: number;
}

/** Records that were appended after an offset. */
export interface KeyedRead extends StoreResponse {
  items: Item[];
  /** Offset at which the next read starts. */
  next: Offset;
}

/** The newest records of some keys, in order of key. */
export interface KeyedPage extends StoreResponse {
  items: Item[];
  /** Key after which the next page starts; undefined on the last page. */
  after: string | undefined;
  end: Offset;
}

/** Offsets after a successful append. */
export interface Appended extends StoreResponse {
  offset: Offset;
  /** Offset of the next append. */
  end: Offset;
}

/** Access to the topics of the store. Times are in milliseconds. */
export interface Store {
  /** Appends one record; with `expectedEnd`, only if the topic ends at that offset. */
  append(
    topic: string,
    item: KeyedValue,
    options: { expectedEnd?: Offset; timeoutMs: number },
  ): Promise<Result<Appended, StoreError>>;
  /**
   * Reads records from an offset; waits up to `waitMs` if there is none yet. Fails as unknown without a response
   * within `timeoutMs`, by default 1.5 s more than the wait.
   */
  read(
    topic: string,
    from: Offset,
    options: { waitMs: number; timeoutMs?: number; signal: AbortSignal },
  ): Promise<Result<KeyedRead, StoreError>>;
  /** Reads one page of the newest record of each key. */
  readNewest(
    topic: string,
    options: { after?: string; timeoutMs: number },
  ): Promise<Result<KeyedPage, StoreError>>;
  close(): void;
}
