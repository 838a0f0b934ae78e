/**
 * Answers to requests with an idempotency key, kept by the holder for a stated time. A repeat gets the
 * first answer, or is told that nobody knows; it never runs a second time.
 */
import type { Buffer } from "node:buffer";
import type { Clock } from "@bulrushwood/types";
import type { ResponseHead } from "@bulrushwood/protocol";

/** Largest answer that is kept whole, in bytes; of longer ones only the fact is kept. */
const ANSWER_BYTES_MAX = 16 * 1024;

/** An answer that was kept. */
export interface KeptAnswer {
  head: ResponseHead;
  body: Buffer | undefined;
}

/** What is known of an idempotency key. */
export enum Familiarity {
  /** Never seen here, and nobody else can have run it. */
  New = "new",
  /** The first answer is kept. */
  Answered = "answered",
  /** Seen, but its answer is not known; or another holder may have seen it. */
  Uncertain = "uncertain",
}

/** What a holder found about an idempotency key. */
export interface Finding {
  familiarity: Familiarity;
  answer?: KeptAnswer;
}

interface Entry {
  until: number;
  answer: KeptAnswer | undefined;
}

/** How to make a memory of answers. */
export interface IdempotencyOptions {
  now: Clock;
  keepMs: number;
  entries: number;
}

/** The idempotency keys that a holder saw lately. */
export class IdempotencyMemory {
  readonly #options: IdempotencyOptions;
  readonly #entries = new Map<string, Entry>();
  /** Keys dropped for want of room are forgotten; until then nobody vouches for unknown keys. */
  #forgetfulUntil = 0;

  constructor(options: IdempotencyOptions) {
    this.#options = options;
  }

  /**
   * Looks up a key. `vouchedSince` is when this holder began to see all requests of the shard; a key
   * whose first sight may have been before that is uncertain unless the caller says it is new.
   */
  find(
    key: string,
    options: { vouchedSince: number; firstAttempt: boolean },
  ): Finding {
    this.#dropOld();
    const entry = this.#entries.get(key);
    if (entry !== undefined) {
      const { answer } = entry;
      return answer === undefined
        ? { familiarity: Familiarity.Uncertain }
        : { familiarity: Familiarity.Answered, answer };
    }
    const { now, keepMs } = this.#options;
    const vouches = now() - options.vouchedSince >= keepMs &&
      now() >= this.#forgetfulUntil;
    const isNew = vouches || options.firstAttempt;
    return { familiarity: isNew ? Familiarity.New : Familiarity.Uncertain };
  }

  /** Notes that the first request with a key is about to run. */
  begin(key: string): void {
    const { now, keepMs, entries } = this.#options;
    if (this.#entries.size >= entries) {
      this.#entries.delete(this.#entries.keys().next().value!);
      this.#forgetfulUntil = now() + keepMs;
    }
    this.#entries.set(key, { until: now() + keepMs, answer: undefined });
  }

  /** Keeps the answer to the first request with a key. */
  keep(key: string, answer: KeptAnswer): void {
    const entry = this.#entries.get(key);
    if (entry !== undefined && (answer.body?.length ?? 0) <= ANSWER_BYTES_MAX) {
      entry.answer = answer;
    }
  }

  /** Forgets a key whose request was not run, so that it may be tried again. */
  forget(key: string): void {
    this.#entries.delete(key);
  }

  #dropOld(): void {
    const now = this.#options.now();
    for (const [key, entry] of this.#entries) {
      if (entry.until > now) {
        return;
      }
      this.#entries.delete(key);
    }
  }
}
