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

  constructor(kind: StoreErrorKind, message: string) {
    super(message);
    this.name = "StoreError";
    this.kind = kind;
  }
}

/** A keyed record of a topic. */
export interface Item {
  key: string;
  /** Value of the record; empty if the key was deleted. */
  value: Buffer;
  offset: Offset;
}

/** Records that were appended after an offset. */
export interface KeyedRead {
  items: Item[];
  /** Offset at which the next read starts. */
  next: Offset;
}

/** The newest records of some keys, in order of key. */
export interface KeyedPage {
  items: Item[];
  /** Key after which the next page starts; undefined on the last page. */
  after: string | undefined;
  end: Offset;
}

/** Offsets after a successful append. */
export interface Appended {
  offset: Offset;
  /** Offset of the next append. */
  end: Offset;
}

/** Access to the topics of the store. Times are in milliseconds. */
export interface Store {
  /** Appends one record; with `expectedEnd`, only if the topic ends at that offset. */
  append(
    topic: string,
    item: { key: string; value: Buffer },
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
