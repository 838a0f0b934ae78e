/**
 * The store as an instance uses it that may be cut off from it: while the store does not answer here, peers
 * that reach it make the calls. A conditional append takes effect at most once whoever sends it, so that an
 * append without an answer can go on to a peer.
 */
import { Buffer } from "node:buffer";
import { Result } from "true-myth";
import { z } from "zod";
import {
  type Appended,
  type KeyedPage,
  type KeyedRead,
  type Store,
  StoreError,
  StoreErrorKind,
} from "@bulrushwood/deployment";
import type { Address, CallPeer, Clock, Offset } from "@bulrushwood/types";

/** A store that did not answer is left to peers for so long before it is tried again, in milliseconds. */
const DIRECT_RETRY_MS = 2_000;
/** Peers that are asked for one call; each may be cut off as well without having noticed. */
const PEERS_MAX = 2;
/** Time for the way to a peer and back, besides the call's own time limit, in milliseconds. */
const RELAY_GRACE_MS = 300;
/** Time limit of a peer's read besides its wait, in milliseconds; as that of the platform's own reads. */
const READ_GRACE_MS = 1_500;

/** Names of the calls between daemons that concern the store. */
enum StoreMethod {
  Append = "store.append",
  Read = "store.read",
  ReadNewest = "store.read-newest",
}

const bytes = z.custom<Buffer>((value) => Buffer.isBuffer(value));
const offset = z.number().int().nonnegative();
/** Schema of a record on its way between daemons. */
export const itemSchema = z.object({ key: z.string(), value: bytes, offset });

const appendCall = z.object({
  topic: z.string(),
  item: z.object({ key: z.string(), value: bytes }),
  expectedEnd: offset.optional(),
  timeoutMs: z.number(),
});
const readCall = z.object({ topic: z.string(), from: offset, waitMs: z.number() });
const readNewestCall = z.object({
  topic: z.string(),
  after: z.string().optional(),
  timeoutMs: z.number(),
});

const failure = z.object({ kind: z.enum(StoreErrorKind), message: z.string() });
const appended = z.object({ offset, end: offset });
const read = z.object({ items: z.array(itemSchema), next: offset });
const page = z.object({ items: z.array(itemSchema), after: z.string().optional(), end: offset })
  .transform(({ after, ...rest }): KeyedPage => ({ ...rest, after }));

/** What a relayed store needs. */
export interface RelayedStoreOptions {
  direct: Store;
  now: Clock;
  /** Peers that say that they reach the store, the one to ask first at the front. */
  peers: () => Address[];
  call: CallPeer;
  /** Told when calls begin to go through peers, and when the store answers here again. */
  onDirect: (isDirect: boolean, reason: string) => void;
}

/** One call, as it goes to the store and to a peer. */
interface Call<T> {
  direct: () => Promise<Result<T, StoreError>>;
  method: StoreMethod;
  payload: unknown;
  timeoutMs: number;
  answer: z.ZodType<T>;
  /** Ends the call; then its failure says nothing of the store. */
  signal?: AbortSignal;
}

/** The store, reached by this instance or by a peer. */
export class RelayedStore implements Store {
  readonly #options: RelayedStoreOptions;
  /** Reads that wait at the store; given up once another call shows that it does not answer here. */
  readonly #reads = new Set<AbortController>();
  #failedAt: number | undefined;

  constructor(options: RelayedStoreOptions) {
    this.#options = options;
  }

  /** Whether the store answered the last call that this instance made itself. */
  get isDirect(): boolean {
    return this.#failedAt === undefined;
  }

  append(
    topic: string,
    item: { key: string; value: Buffer },
    options: { expectedEnd?: Offset; timeoutMs: number },
  ): Promise<Result<Appended, StoreError>> {
    const { direct } = this.#options;
    return this.#perform({
      direct: () => direct.append(topic, item, options),
      method: StoreMethod.Append,
      payload: { topic, item, ...options },
      timeoutMs: options.timeoutMs,
      answer: appended,
    });
  }

  readNewest(
    topic: string,
    options: { after?: string; timeoutMs: number },
  ): Promise<Result<KeyedPage, StoreError>> {
    const { direct } = this.#options;
    return this.#perform({
      direct: () => direct.readNewest(topic, options),
      method: StoreMethod.ReadNewest,
      payload: { topic, ...options },
      timeoutMs: options.timeoutMs,
      answer: page,
    });
  }

  /** A read that only tries whether the store answers again does not wait for records. */
  async read(
    topic: string,
    from: Offset,
    options: { waitMs: number; signal: AbortSignal },
  ): Promise<Result<KeyedRead, StoreError>> {
    const { signal } = options;
    const waitMs = this.isDirect ? options.waitMs : 0;
    const performed = this.#perform({
      direct: () => this.#readDirect(topic, from, { waitMs, signal }),
      method: StoreMethod.Read,
      payload: { topic, from, waitMs: options.waitMs },
      timeoutMs: options.waitMs + READ_GRACE_MS,
      answer: read,
      signal,
    });
    return await untilAborted(performed, signal);
  }

  async #readDirect(
    topic: string,
    from: Offset,
    options: { waitMs: number; signal: AbortSignal },
  ): Promise<Result<KeyedRead, StoreError>> {
    const { waitMs, signal } = options;
    const giveUp = new AbortController();
    const abort = () => giveUp.abort();
    signal.addEventListener("abort", abort, { once: true });
    this.#reads.add(giveUp);
    try {
      return await this.#options.direct.read(topic, from, { waitMs, signal: giveUp.signal });
    } finally {
      this.#reads.delete(giveUp);
      signal.removeEventListener("abort", abort);
    }
  }

  async #perform<T>(call: Call<T>): Promise<Result<T, StoreError>> {
    let mayHaveApplied = false;
    let failed = new StoreError(StoreErrorKind.Unavailable, "The store is out of reach here");
    if (this.#isDirectDue()) {
      const answered = await call.direct();
      if (call.signal?.aborted) {
        return answered;
      }
      if (answered.isOk || !isOutage(answered.error)) {
        this.#noteAnswer();
        return answered;
      }
      failed = answered.error;
      mayHaveApplied = failed.kind === StoreErrorKind.Unknown;
      this.#noteFailure(failed);
    }
    for (const peer of this.#options.peers().slice(0, PEERS_MAX)) {
      const answered = await this.#askPeer(peer, call);
      if (answered.isOk || !isOutage(answered.error)) {
        return answered;
      }
      mayHaveApplied ||= answered.error.kind === StoreErrorKind.Unknown;
    }
    const kind = mayHaveApplied ? StoreErrorKind.Unknown : failed.kind;
    return Result.err(new StoreError(kind, failed.message));
  }

  #isDirectDue(): boolean {
    return this.#failedAt === undefined ||
      this.#options.now() - this.#failedAt > DIRECT_RETRY_MS;
  }

  #noteAnswer(): void {
    if (this.#failedAt !== undefined) {
      this.#failedAt = undefined;
      this.#options.onDirect(true, "");
    }
  }

  #noteFailure(error: StoreError): void {
    const wasDirect = this.isDirect;
    this.#failedAt = this.#options.now();
    if (wasDirect) {
      this.#options.onDirect(false, error.message);
      this.#reads.forEach((giveUp) => giveUp.abort());
    }
  }

  async #askPeer<T>(peer: Address, call: Call<T>): Promise<Result<T, StoreError>> {
    const { method, payload, answer } = call;
    const timeoutMs = call.timeoutMs + RELAY_GRACE_MS;
    const called = await this.#options.call(peer, method, payload, { timeoutMs });
    if (called.isErr) {
      return fail(StoreErrorKind.Unknown, `${peer}: ${called.error.message}`);
    }
    const refused = failure.safeParse(called.value);
    if (refused.success) {
      return fail(refused.data.kind, refused.data.message);
    }
    const parsed = answer.safeParse(called.value);
    return parsed.success
      ? Result.ok(parsed.data)
      : fail(StoreErrorKind.Malformed, `${peer}: ${parsed.error.issues[0].message}`);
  }

  close(): void {
    this.#options.direct.close();
  }
}

/** Makes a peer's call to the store; undefined when the method is another's. */
export function answerStoreCall(
  direct: Store,
  method: string,
  payload: unknown,
): Promise<unknown> | undefined {
  switch (method) {
    case StoreMethod.Append: {
      const { topic, item, ...options } = appendCall.parse(payload);
      return direct.append(topic, item, options).then(toPayload);
    }
    case StoreMethod.Read: {
      const { topic, from, waitMs } = readCall.parse(payload);
      const { signal } = new AbortController();
      return direct.read(topic, from, { waitMs, signal }).then(toPayload);
    }
    case StoreMethod.ReadNewest: {
      const { topic, ...options } = readNewestCall.parse(payload);
      return direct.readNewest(topic, options).then(toPayload);
    }
    default:
      return undefined;
  }
}

function toPayload(result: Result<unknown, StoreError>): unknown {
  return result.isOk ? result.value : { kind: result.error.kind, message: result.error.message };
}

/** Whether somebody else may have more success with the call. */
function isOutage({ kind }: StoreError): boolean {
  return kind === StoreErrorKind.Unavailable || kind === StoreErrorKind.Unknown;
}

function fail(kind: StoreErrorKind, message: string): Result<never, StoreError> {
  return Result.err(new StoreError(kind, `The store by ${message}`));
}

function untilAborted<T>(
  result: Promise<Result<T, StoreError>>,
  signal: AbortSignal,
): Promise<Result<T, StoreError>> {
  return new Promise((resolve) => {
    const abort = () => resolve(fail(StoreErrorKind.Unavailable, "nobody: the read was given up"));
    signal.addEventListener("abort", abort, { once: true });
    result.then((settled) => {
      signal.removeEventListener("abort", abort);
      resolve(settled);
    });
  });
}
