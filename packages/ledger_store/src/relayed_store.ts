/**
 * Store client for instances that may be cut off from the store: while it is unreachable from here, peers that
 * reach it relay the calls. A conditional append takes effect at most once, whichever daemon sends it, so
 * an append without a reply can be resent through a peer. Open connections may go silent for good while new ones
 * work, so a direct call without a reply is made once more, on a new connection, before the store counts as
 * unreachable.
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
  type StoreResponse,
} from "@bulrushwood/deployment";
import type { Address, CallPeer, Clock, Offset } from "@bulrushwood/types";

/** Time that calls go only through peers after a direct call failed, in milliseconds. */
const DIRECT_RETRY_MS = 2_000;
/** Largest number of peers that are tried for one call; each may be cut off too without having noticed. */
const PEERS_MAX = 2;
/** Time for the round trip to a peer, in milliseconds, added to the call's own timeout. */
const RELAY_MARGIN_MS = 300;
/** Timeout of a peer's read after its wait, in milliseconds; the same as for the platform's own reads. */
const READ_MARGIN_MS = 1_500;
/** Time after a direct read's wait from which on its connection may be silent, in milliseconds. */
export const READ_OVERDUE_MS = 500;
/** Timeout of a direct call that is made again, in milliseconds; nearly twice the reply time of a slow store. */
const AGAIN_TIMEOUT_MS = 700;

/** Methods of the calls between daemons that relay store calls. */
enum StoreMethod {
  Append = "store.append",
  Read = "store.read",
  ReadNewest = "store.read-newest",
}

const bytes = z.custom<Buffer>((value) => Buffer.isBuffer(value));
const offset = z.number().int().nonnegative();
const era = z.number().int().nonnegative().optional();
const itemSchema = z.object({ key: z.string(), value: bytes, offset });
/** Schema of a record in messages between daemons. */
export const keyedRecordSchema = z.object({ key: z.string(), value: bytes, position: offset });

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

const failure = z.object({ kind: z.enum(StoreErrorKind), message: z.string(), era });
const appended = z.object({ offset, end: offset, era });
const read = z.object({ items: z.array(itemSchema), next: offset, era });
const page = z.object({
  items: z.array(itemSchema),
  after: z.string().optional(),
  end: offset,
  era,
})
  .transform(({ after, ...rest }): KeyedPage => ({ ...rest, after }));

/** Direct store and peers of a relayed store. */
export interface RelayedStoreOptions {
  direct: Store;
  now: Clock;
  /** Returns the peers that report that they reach the store, in the order to try them. */
  peers: () => Address[];
  call: CallPeer;
  /** Called when calls begin to go through peers, and when the store is reachable from here again. */
  onDirect: (isDirect: boolean, reason: string) => void;
  /** Called when a call had its reply only on a new connection, with what failed before. */
  onReconnected?: (reason: string) => void;
  /** Called with the era of each response that names one. */
  onEra?: (era: number) => void;
}

/** One call to the store, made directly or through a peer. */
interface Call<T extends StoreResponse> {
  direct: () => Promise<Result<T, StoreError>>;
  /** Makes the call again on a new connection; the same as `direct` by default. */
  directAgain?: () => Promise<Result<T, StoreError>>;
  method: StoreMethod;
  payload: unknown;
  timeoutMs: number;
  replySchema: z.ZodType<T>;
  /** Aborts the call; its failure then does not count as an outage of the store. */
  signal?: AbortSignal;
}

/** Calls the store directly, or through a peer while it is unreachable from this instance. */
export class RelayedStore implements Store {
  readonly #options: RelayedStoreOptions;
  /** Pending direct reads; aborted once another call shows that the store is unreachable from here. */
  readonly #pendingReads = new Set<AbortController>();
  #failedAt: number | undefined;

  constructor(options: RelayedStoreOptions) {
    this.#options = options;
  }

  /** Whether the last direct call to the store had a reply. */
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
      directAgain: () =>
        direct.append(topic, item, {
          ...options,
          timeoutMs: Math.min(AGAIN_TIMEOUT_MS, options.timeoutMs),
        }),
      method: StoreMethod.Append,
      payload: { topic, item, ...options },
      timeoutMs: options.timeoutMs,
      replySchema: appended,
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
      replySchema: page,
    });
  }

  /** Reads records; a direct read that only probes whether the store is reachable again does not wait for any. */
  async read(
    topic: string,
    from: Offset,
    options: { waitMs: number; signal: AbortSignal },
  ): Promise<Result<KeyedRead, StoreError>> {
    const { signal } = options;
    const waitMs = this.isDirect ? options.waitMs : 0;
    const performed = this.#perform({
      direct: () =>
        this.#readDirect(topic, from, { waitMs, timeoutMs: waitMs + READ_OVERDUE_MS, signal }),
      directAgain: () =>
        this.#readDirect(topic, from, { waitMs: 0, timeoutMs: AGAIN_TIMEOUT_MS, signal }),
      method: StoreMethod.Read,
      payload: { topic, from, waitMs: options.waitMs },
      timeoutMs: options.waitMs + READ_MARGIN_MS,
      replySchema: read,
      signal,
    });
    return await untilAborted(performed, signal);
  }

  async #readDirect(
    topic: string,
    from: Offset,
    options: { waitMs: number; timeoutMs?: number; signal: AbortSignal },
  ): Promise<Result<KeyedRead, StoreError>> {
    const { signal, ...limits } = options;
    const controller = new AbortController();
    const abort = () => controller.abort();
    signal.addEventListener("abort", abort, { once: true });
    this.#pendingReads.add(controller);
    try {
      return await this.#options.direct.read(topic, from, { ...limits, signal: controller.signal });
    } finally {
      this.#pendingReads.delete(controller);
      signal.removeEventListener("abort", abort);
    }
  }

  async #perform<T extends StoreResponse>(call: Call<T>): Promise<Result<T, StoreError>> {
    const result = await this.#performAnywhere(call);
    const { era } = result.isOk ? result.value : result.error;
    if (era !== undefined) {
      this.#options.onEra?.(era);
    }
    return result;
  }

  /** Makes a call directly or through a peer. */
  async #performAnywhere<T extends StoreResponse>(
    call: Call<T>,
  ): Promise<Result<T, StoreError>> {
    let mayHaveApplied = false;
    let failed = new StoreError(
      StoreErrorKind.Unavailable,
      "The store is unreachable from this instance",
    );
    if (this.#shouldTryDirect()) {
      const result = await this.#callDirect(call);
      if (call.signal?.aborted) {
        return result;
      }
      if (result.isOk || !isOutage(result.error)) {
        this.#recordSuccess();
        return result;
      }
      failed = result.error;
      mayHaveApplied = failed.kind === StoreErrorKind.Unknown;
      this.#recordFailure(failed);
    }
    for (const peer of this.#options.peers().slice(0, PEERS_MAX)) {
      const result = await this.#callPeer(peer, call);
      if (result.isOk || !isOutage(result.error)) {
        return result;
      }
      mayHaveApplied ||= result.error.kind === StoreErrorKind.Unknown;
    }
    const kind = mayHaveApplied ? StoreErrorKind.Unknown : failed.kind;
    return Result.err(new StoreError(kind, failed.message));
  }

  /** Makes a direct call, once more if the first had no reply though the store was reachable until then. */
  async #callDirect<T extends StoreResponse>(call: Call<T>): Promise<Result<T, StoreError>> {
    const { direct, directAgain = direct, signal } = call;
    const result = await direct();
    const mayBeSilent = result.isErr && result.error.kind === StoreErrorKind.Unknown &&
      this.isDirect && !signal?.aborted;
    if (!mayBeSilent) {
      return result;
    }
    const repeated = await directAgain();
    if (repeated.isErr && repeated.error.kind === StoreErrorKind.Unavailable) {
      // The first call may have taken effect.
      return result;
    }
    if (repeated.isOk || !isOutage(repeated.error)) {
      this.#options.onReconnected?.(result.error.message);
    }
    return repeated;
  }

  #shouldTryDirect(): boolean {
    return this.#failedAt === undefined ||
      this.#options.now() - this.#failedAt > DIRECT_RETRY_MS;
  }

  #recordSuccess(): void {
    if (this.#failedAt !== undefined) {
      this.#failedAt = undefined;
      this.#options.onDirect(true, "");
    }
  }

  #recordFailure(error: StoreError): void {
    const wasDirect = this.isDirect;
    this.#failedAt = this.#options.now();
    if (wasDirect) {
      this.#options.onDirect(false, error.message);
      this.#pendingReads.forEach((controller) => controller.abort());
    }
  }

  async #callPeer<T extends StoreResponse>(
    peer: Address,
    call: Call<T>,
  ): Promise<Result<T, StoreError>> {
    const { method, payload, replySchema } = call;
    const timeoutMs = call.timeoutMs + RELAY_MARGIN_MS;
    const called = await this.#options.call(peer, method, payload, { timeoutMs });
    if (called.isErr) {
      return failWith(StoreErrorKind.Unknown, `${peer}: ${called.error.message}`);
    }
    const failed = failure.safeParse(called.value);
    if (failed.success) {
      const { kind, message, era } = failed.data;
      return failWith(kind, message, { era });
    }
    const parsed = replySchema.safeParse(called.value);
    return parsed.success
      ? Result.ok(parsed.data)
      : failWith(StoreErrorKind.Malformed, `${peer}: ${parsed.error.issues[0].message}`);
  }

  close(): void {
    this.#options.direct.close();
  }
}

/** Makes a store call for a peer; returns undefined when the method is not a store call. */
export function handleStoreCall(
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
      const timeoutMs = waitMs + READ_OVERDUE_MS;
      return direct.read(topic, from, { waitMs, timeoutMs, signal }).then(toPayload);
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
  if (result.isOk) {
    return result.value;
  }
  const { kind, message, era } = result.error;
  return era === undefined ? { kind, message } : { kind, message, era };
}

/** Returns whether the call may succeed through a peer. */
function isOutage({ kind }: StoreError): boolean {
  return kind === StoreErrorKind.Unavailable || kind === StoreErrorKind.Unknown;
}

function failWith(
  kind: StoreErrorKind,
  message: string,
  response: StoreResponse = {},
): Result<never, StoreError> {
  return Result.err(new StoreError(kind, `Store call through ${message}`, response));
}

function untilAborted<T>(
  result: Promise<Result<T, StoreError>>,
  signal: AbortSignal,
): Promise<Result<T, StoreError>> {
  return new Promise((resolve) => {
    const abort = () =>
      resolve(failWith(StoreErrorKind.Unavailable, "no peer: the read was aborted"));
    signal.addEventListener("abort", abort, { once: true });
    result.then((settled) => {
      signal.removeEventListener("abort", abort);
      resolve(settled);
    });
  });
}
