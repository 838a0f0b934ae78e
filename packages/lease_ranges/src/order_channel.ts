/**
 * Grants that are sent to the server as calls of their own, each of them answered. A call without an answer
 * may still take effect later, so that its grant counts until it has ended by its own time.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "true-myth";
import type { Order, ServerWire } from "@bulrushwood/deployment";
import { type KeySpan, overlaps } from "@bulrushwood/ledger_store";
import { createStop } from "@bulrushwood/types";
import {
  endOfGrant,
  type Grant,
  GRANT_MIN_MS,
  type GrantChannel,
  type GrantContext,
  type Handover,
} from "./grant_channel.ts";

/** Time limit of an order, in milliseconds; the server is on the same instance. */
const ORDER_TIMEOUT_MS = 400;
/** Pause before an order is sent again, in milliseconds. */
const ORDER_RETRY_MS = 60;
const STATUS_OK = 200;

/** What the server answered to an order. */
export interface OrderAnswer {
  status: number;
  headers: IncomingHttpHeaders;
}

/** Sends an order to the server beside this daemon. */
export type SendOrder = (
  order: Order,
  options: { timeoutMs: number },
) => Promise<Result<OrderAnswer, Error>>;

/** What a channel of orders needs besides the grants. */
export interface OrderChannelOptions {
  wire: ServerWire;
  send: SendOrder;
}

/** One order to grant keys. The server may carry it out late unless it has answered. */
interface SentGrant extends KeySpan {
  /** When it has ended at the server for certain, by this process's clock. */
  endsBy: number;
  isAnswered: boolean;
  /** Resolves when it is answered or its time limit has passed. */
  done: Promise<unknown>;
}

/** Sends grants and releases to the server beside a daemon. */
export class OrderChannel implements GrantChannel {
  readonly #context: GrantContext;
  readonly #options: OrderChannelOptions;
  /** Orders that can still have an effect at the server, whatever became of the keys here since. */
  #sent: SentGrant[] = [];
  /** Grants with a call under way. */
  readonly #calling = new Set<Grant>();
  readonly #stop = createStop();

  constructor(context: GrantContext, options: OrderChannelOptions) {
    this.#context = context;
    this.#options = options;
  }

  renew(): void {
    const { now, grants, grantableMs } = this.#context;
    for (const grant of grants()) {
      if (!this.#calling.has(grant) && grantableMs(now()) >= GRANT_MIN_MS) {
        this.#calling.add(grant);
        this.#send(grant).finally(() => this.#calling.delete(grant));
      }
    }
  }

  /** Sends a grant until it is answered, or the keys take another shape. */
  async #send(grant: Grant): Promise<void> {
    const { now, sleep, grants, grantableMs } = this.#context;
    while (!this.#stop.signal.aborted && grants().includes(grant)) {
      const durationMs = grantableMs(now());
      if (durationMs < GRANT_MIN_MS || await this.#sendOnce(grant, durationMs)) {
        return;
      }
      await sleep(ORDER_RETRY_MS, this.#stop.signal);
    }
  }

  async #sendOnce(grant: Grant, durationMs: number): Promise<boolean> {
    const { now, onFailed, onOutdated, onChanged, handoverOf } = this.#context;
    const { wire, send } = this.#options;
    const { first, last, epoch } = grant;
    const order = wire.grant({
      first,
      last,
      epoch,
      durationMs,
      handover: grant.isConfirmed ? undefined : handoverOf(grant),
    });
    const sentAt = now();
    const answering = send(order, { timeoutMs: ORDER_TIMEOUT_MS });
    const endsBy = endOfGrant(sentAt, durationMs);
    const sent: SentGrant = { first, last, endsBy, isAnswered: false, done: answering };
    this.#sent = this.#sent.filter((earlier) => earlier.endsBy > now()).concat(sent);
    const answered = await answering;
    sent.isAnswered = answered.isOk;
    if (answered.isOk && answered.value.status === STATUS_OK) {
      const isFirst = !grant.isConfirmed;
      grant.until = sentAt + durationMs;
      grant.isConfirmed = true;
      if (isFirst) {
        onChanged();
      }
      return true;
    }
    onFailed(
      "grant",
      answered.isOk ? `status ${answered.value.status}` : answered.error.message,
      grant,
    );
    if (answered.isOk && wire.isOutdated(answered.value.status)) {
      await onOutdated(grant);
    }
    return false;
  }

  async release(
    span: KeySpan & { epoch: number },
    options: { isServerGone: boolean },
  ): Promise<Handover[]> {
    const { now, sleep, onFailed, earlierEndBy } = this.#context;
    const { wire, send } = this.#options;
    const sent = this.#sent.filter((grant) => overlaps(grant, span));
    await Promise.all(sent.map(({ done }) => done));
    const { first, last, epoch } = span;
    const endsBy = Math.max(earlierEndBy, ...sent.map((grant) => grant.endsBy));
    if (options.isServerGone) {
      await sleep(Math.max(0, endsBy - now()));
      return [{ first, last, handover: null }];
    }
    const order = wire.release({ first, last, epoch });
    while (now() < endsBy) {
      const answered = await send(order, { timeoutMs: Math.max(1, endsBy - now()) });
      if (answered.isOk && answered.value.status === STATUS_OK) {
        await this.#awaitUnanswered(sent);
        return [{ first, last, handover: wire.readHandover(answered.value.headers) ?? null }];
      }
      const reason = answered.isOk ? `status ${answered.value.status}` : answered.error.message;
      onFailed("release", reason, span);
      await sleep(ORDER_RETRY_MS);
    }
    return [{ first, last, handover: null }];
  }

  /**
   * A grant that was not answered may take effect after the release, also where a later one was answered;
   * it ends by its own time.
   */
  async #awaitUnanswered(sent: SentGrant[]): Promise<void> {
    const { now, sleep, earlierEndBy } = this.#context;
    const late = sent.filter(({ isAnswered }) => !isAnswered);
    // Which grants of an earlier process were answered is not known.
    const endsBy = Math.max(earlierEndBy, ...late.map((grant) => grant.endsBy));
    await sleep(Math.max(0, endsBy - now()));
  }

  close(): void {
    this.#stop.abort();
  }
}
