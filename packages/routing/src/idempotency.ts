/**
 * Responses to requests with an idempotency key, which the holder stores for a configured time. A retry gets
 * the first response, or learns that the outcome is unknown; it never runs a second time.
 */
import type { Buffer } from "node:buffer";
import type { Clock } from "@bulrushwood/types";
import type { ResponseHead } from "@bulrushwood/protocol";

/** Largest response body that is stored, in bytes; for a larger one, only the key is. */
const RESPONSE_BYTES_MAX = 16 * 1024;

/** The stored response to the first request with a key. */
export interface StoredResponse {
  head: ResponseHead;
  body: Buffer | undefined;
}

/** Whether an idempotency key has been used before. */
export enum KeyStatus {
  /** Never used here, and no other holder can have run a request with it. */
  New = "new",
  /** Used before, and the first response is stored. */
  Completed = "answered",
  /** Used before without a stored response, or possibly used at another holder. */
  Uncertain = "uncertain",
}

/** Result of looking up an idempotency key. */
export interface KeyLookup {
  keyStatus: KeyStatus;
  response?: StoredResponse;
}

interface StoredEntry {
  until: number;
  response: StoredResponse | undefined;
}

/** Options of `IdempotencyMemory`. */
export interface IdempotencyOptions {
  now: Clock;
  retentionMs: number;
  entries: number;
}

/** The idempotency keys that a holder received recently, with their responses. */
export class IdempotencyMemory {
  readonly #options: IdempotencyOptions;
  readonly #entries = new Map<string, StoredEntry>();
  /**
   * Until when an absent key may be one that was evicted to make room. Before that time, a key that is not
   * stored cannot be taken for new.
   */
  #incompleteUntil = 0;

  constructor(options: IdempotencyOptions) {
    this.#options = options;
  }

  /**
   * Looks up a key. The first option is the time since which this holder has received all requests of the
   * shard. A key that may have been used before that is uncertain, unless the caller guarantees that this is
   * its first attempt.
   */
  find(
    key: string,
    options: { completeSince: number; firstAttempt: boolean },
  ): KeyLookup {
    this.#dropExpired();
    const entry = this.#entries.get(key);
    if (entry !== undefined) {
      const { response } = entry;
      return response === undefined
        ? { keyStatus: KeyStatus.Uncertain }
        : { keyStatus: KeyStatus.Completed, response };
    }
    const { now, retentionMs } = this.#options;
    const hasFullHistory = now() - options.completeSince >= retentionMs &&
      now() >= this.#incompleteUntil;
    const isNew = hasFullHistory || options.firstAttempt;
    return { keyStatus: isNew ? KeyStatus.New : KeyStatus.Uncertain };
  }

  /** Records that the first request with a key is about to run; evicts the oldest key if there is no room. */
  begin(key: string): void {
    const { now, retentionMs, entries } = this.#options;
    if (this.#entries.size >= entries) {
      this.#entries.delete(this.#entries.keys().next().value!);
      this.#incompleteUntil = now() + retentionMs;
    }
    this.#entries.set(key, { until: now() + retentionMs, response: undefined });
  }

  /** Stores the response to the first request with a key. */
  store(key: string, response: StoredResponse): void {
    const entry = this.#entries.get(key);
    if (entry !== undefined && (response.body?.length ?? 0) <= RESPONSE_BYTES_MAX) {
      entry.response = response;
    }
  }

  /** Removes a key whose request was not run, so that a retry may run. */
  remove(key: string): void {
    this.#entries.delete(key);
  }

  #dropExpired(): void {
    const now = this.#options.now();
    for (const [key, entry] of this.#entries) {
      if (entry.until > now) {
        return;
      }
      this.#entries.delete(key);
    }
  }
}
