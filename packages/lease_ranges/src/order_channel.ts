/**
 * Sends grants to the server as separate calls, each with its own response. A call without a response may
 * still take effect later, so its grant counts until it has expired. An order names no incarnation of the server, and a
 * crashed one may be replaced at its address at any moment, so a grant is only sent on a connection to the incarnation
 * that it is for.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "true-myth";
import {
  isSameIncarnation,
  type Order,
  type ServerIdentity,
  type ServerWire,
} from "@bulrushwood/deployment";
import { type KeySpan, overlaps } from "@bulrushwood/ledger_store";
import { createStop } from "@bulrushwood/types";
import {
  awaitGrantsEnd,
  endOfGrant,
  type Grant,
  GRANT_MIN_MS,
  type GrantChannel,
  type GrantContext,
  type Handover,
} from "./grant_channel.ts";

/**
 * Shortest extension of a confirmed grant that is worth an order, in milliseconds. Most changes of the table concern
 * other owners and leave this daemon's grants as they are.
 */
const EXTENSION_MIN_MS = 200;
/** Timeout of an order, in milliseconds; the server is on the same instance. */
const ORDER_TIMEOUT_MS = 400;
/** Delay before an order is retried, in milliseconds. */
const ORDER_RETRY_MS = 60;
const STATUS_OK = 200;

/** Response of the server to an order. */
export interface OrderResponse {
  status: number;
  headers: IncomingHttpHeaders;
}

/** Sends an order to this daemon's backend server. */
export type SendOrder = (
  order: Order,
  options: { timeoutMs: number },
) => Promise<Result<OrderResponse, Error>>;

/** A connection to one incarnation of the server. */
export interface OrderConnection {
  send: SendOrder;
  /** Ends the use of the connection. */
  release: () => void;
}

/** Wire format and transport of a channel of orders. */
export interface OrderChannelOptions {
  wire: ServerWire;
  /** Returns a connection to an incarnation for one grant; undefined while it is not certain to reach that one. */
  connect: (server: ServerIdentity) => Promise<OrderConnection | undefined>;
  /** Sends a release to whichever incarnation is at the server's address. */
  sendRelease: SendOrder;
}

/** One order to grant keys. Without a response, the server may still carry it out later. */
interface SentGrant extends KeySpan {
  /** Time on this process's clock at which the grant has certainly ended at the server. */
  endsBy: number;
  hasResponse: boolean;
  /** Resolves at the response or the timeout. */
  done: Promise<unknown>;
}

/** Sends grants and releases to a daemon's backend server as orders. */
export class OrderChannel implements GrantChannel {
  readonly #context: GrantContext;
  readonly #options: OrderChannelOptions;
  /** Orders that can still have an effect at the server, whatever has happened to the keys here since. */
  #sent: SentGrant[] = [];
  /** Grants with a call in flight. */
  readonly #inFlight = new Set<Grant>();
  readonly #stop = createStop();

  constructor(context: GrantContext, options: OrderChannelOptions) {
    this.#context = context;
    this.#options = options;
  }

  renew(): void {
    for (const grant of this.#context.grants()) {
      if (!this.#inFlight.has(grant) && this.#isDue(grant)) {
        this.#inFlight.add(grant);
        this.#send(grant).finally(() => this.#inFlight.delete(grant));
      }
    }
  }

  /** Whether a grant is new, or an order now would extend it noticeably. */
  #isDue(grant: Grant): boolean {
    const { now, grantableMs } = this.#context;
    const at = now();
    const durationMs = grantableMs(at);
    const isExtended = at + durationMs >= grant.until + EXTENSION_MIN_MS;
    return durationMs >= GRANT_MIN_MS && (!grant.isConfirmed || isExtended);
  }

  /** Retries a grant until the server confirms it, or the grant is replaced or no longer supported. */
  async #send(grant: Grant): Promise<void> {
    const { now, sleep, grants, grantableMs, server } = this.#context;
    while (!this.#stop.signal.aborted && grants().includes(grant)) {
      const incarnation = server();
      if (incarnation === undefined || grantableMs(now()) < GRANT_MIN_MS) {
        return;
      }
      if (await this.#sendOnce(grant, incarnation)) {
        return;
      }
      await sleep(ORDER_RETRY_MS, this.#stop.signal);
    }
  }

  /** Sends a grant to one incarnation of the server; resolves to whether the server confirmed it. */
  async #sendOnce(grant: Grant, incarnation: ServerIdentity): Promise<boolean> {
    const { now, grants, grantableMs, server, onFailed } = this.#context;
    const connection = await this.#options.connect(incarnation);
    if (connection === undefined) {
      onFailed("grant", "No connection is certain to lead to the server's incarnation", grant);
      return false;
    }
    try {
      // The time that connecting took does not count, since a grant's duration starts at its arrival.
      const durationMs = grantableMs(now());
      const isCurrent = grants().includes(grant) && isSameIncarnation(incarnation, server());
      return isCurrent && durationMs >= GRANT_MIN_MS &&
        await this.#sendOn(connection, grant, durationMs);
    } finally {
      connection.release();
    }
  }

  async #sendOn({ send }: OrderConnection, grant: Grant, durationMs: number): Promise<boolean> {
    const { now, onFailed, onOutdated, onChanged, handoverOf } = this.#context;
    const { wire } = this.#options;
    const { first, last, epoch } = grant;
    const order = wire.grant({
      first,
      last,
      epoch,
      durationMs,
      handover: grant.isConfirmed ? undefined : handoverOf(grant),
    });
    const sentAt = now();
    const pending = send(order, { timeoutMs: ORDER_TIMEOUT_MS });
    const endsBy = endOfGrant(sentAt, durationMs);
    const sent: SentGrant = { first, last, endsBy, hasResponse: false, done: pending };
    this.#sent = this.#sent.filter((earlier) => earlier.endsBy > now()).concat(sent);
    const response = await pending;
    sent.hasResponse = response.isOk;
    if (response.isOk && response.value.status === STATUS_OK) {
      grant.until = sentAt + durationMs;
      grant.isConfirmed = true;
      onChanged();
      return true;
    }
    onFailed(
      "grant",
      response.isOk ? `status ${response.value.status}` : response.error.message,
      grant,
    );
    if (response.isOk && wire.isOutdated(response.value.status)) {
      await onOutdated(grant);
    }
    return false;
  }

  async release(
    span: KeySpan & { epoch: number },
    options: { isServerLost: boolean },
  ): Promise<Handover[]> {
    const { now, sleep, onFailed, earlierGrantsEndBy } = this.#context;
    const { wire, sendRelease } = this.#options;
    const sent = this.#sent.filter((grant) => overlaps(grant, span));
    await Promise.all(sent.map(({ done }) => done));
    const { first, last, epoch } = span;
    const endsBy = Math.max(earlierGrantsEndBy(), ...sent.map((grant) => grant.endsBy));
    if (options.isServerLost) {
      await awaitGrantsEnd(this.#context, endsBy);
      return [{ first, last, handover: null }];
    }
    const order = wire.release({ first, last, epoch });
    while (now() < endsBy) {
      const response = await sendRelease(order, { timeoutMs: Math.max(1, endsBy - now()) });
      if (response.isOk && response.value.status === STATUS_OK) {
        await this.#awaitUnconfirmed(sent);
        return [{ first, last, handover: wire.readHandover(response.value.headers) ?? null }];
      }
      const reason = response.isOk ? `status ${response.value.status}` : response.error.message;
      onFailed("release", reason, span);
      await sleep(ORDER_RETRY_MS);
    }
    return [{ first, last, handover: null }];
  }

  /**
   * Waits until grants without a response have expired. Such a grant may take effect after the release, even
   * where a later grant had a response.
   */
  async #awaitUnconfirmed(sent: SentGrant[]): Promise<void> {
    const { now, sleep, earlierGrantsEndBy } = this.#context;
    const late = sent.filter(({ hasResponse }) => !hasResponse);
    // It is unknown which grants of an earlier process had a response.
    const endsBy = Math.max(earlierGrantsEndBy(), ...late.map((grant) => grant.endsBy));
    await sleep(Math.max(0, endsBy - now()));
  }

  close(): void {
    this.#stop.abort();
  }
}
