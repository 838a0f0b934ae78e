/**
 * The store that outlasts all instances: topics of keyed records, of which the newest of each key stays
 * for good, appended on condition that nothing else was appended before.
 */
import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import type { Offset } from "@bulrushwood/types";

/** Why a call to the store did not do what it should. */
export enum StoreErrorKind {
  /** The store is not reachable, too slow or turned the call away; nothing was done. */
  Unavailable = "unavailable",
  /** No answer came; an append may take effect now or later. */
  Unknown = "unknown",
  /** The condition of an append did not hold. */
  Conflict = "conflict",
  /** The records that a read asked for are no longer kept. */
  Expired = "expired",
  /** The answer cannot be understood. */
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

/** One keyed record. */
export interface Item {
  key: string;
  /** Empty when the key was dropped. */
  value: Buffer;
  offset: Offset;
}

/** Records that were appended after an offset. */
export interface KeyedRead {
  items: Item[];
  /** Offset that the next read should start from. */
  next: Offset;
}

/** The newest records of some keys, in order of key. */
export interface KeyedPage {
  items: Item[];
  /** Key to continue after; undefined on the last page. */
  after: string | undefined;
  end: Offset;
}

/** Where appended records lie. */
export interface Appended {
  offset: Offset;
  /** Offset that the next append will get. */
  end: Offset;
}

/** The store as the product uses it. Times are in milliseconds. */
export interface Store {
  /** Appends one record; with `expectedEnd` only if the topic ends there. */
  append(
    topic: string,
    item: { key: string; value: Buffer },
    options: { expectedEnd?: Offset; timeoutMs: number },
  ): Promise<Result<Appended, StoreError>>;
  /** Reads from an offset; waits up to `waitMs` for a record. */
  read(
    topic: string,
    from: Offset,
    options: { waitMs: number; signal: AbortSignal },
  ): Promise<Result<KeyedRead, StoreError>>;
  /** Reads one page of the newest records. */
  readNewest(
    topic: string,
    options: { after?: string; timeoutMs: number },
  ): Promise<Result<KeyedPage, StoreError>>;
  close(): void;
}
