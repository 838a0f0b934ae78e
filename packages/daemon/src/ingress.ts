/**
 * Forwards a caller's request to the daemon that may run it, locally or over a link, and returns
 * the response.
 */
import { Buffer } from "node:buffer";
import { type Ledger, Presence } from "@bulrushwood/ledger";
import {
  LinkError,
  LinkErrorKind,
  type Links,
  type OutgoingExchange,
  Reason,
  type RequestHead,
} from "@bulrushwood/protocol";
import {
  forward,
  holderUnreachable,
  notRun,
  OwnerFinder,
  RetryBudget,
  type RoutedResponse,
  type Target,
  TwoChoices,
} from "@bulrushwood/routing";
import type { DaemonSettings, WorkClass } from "@bulrushwood/settings";
import { type Address, type Incarnation, now, Outcome, sleep } from "@bulrushwood/types";
import type { Holder, RequestBody } from "./holder.ts";

/** Method that bars a request from running and returns its outcome. */
export const BAR_METHOD = "requests.bar";
const BAR_TIMEOUT_MS = 500;
/** Time after the deadline until which a response of the holder is accepted, in milliseconds. */
const RESPONSE_MARGIN_MS = 200;

/** Dependencies of an `Ingress`. */
export interface IngressOptions {
  address: Address;
  ledger: Ledger;
  links: Links;
  holder: Holder;
  settings: DaemonSettings;
}

/** Caller's request with its route, key and class. */
export interface RoutedRequest {
  head: RequestHead;
  workClass: WorkClass;
  body: RequestBody;
  /** When the caller stops waiting, on this process's clock in milliseconds. */
  deadline: number;
  signal: AbortSignal;
}

/** State of a streamed body, which can be sent again only while nothing has been read from it. */
interface BodyState {
  /** Whether reading has begun. */
  isUsed: boolean;
}

/** Request that was sent to another daemon, and the incarnation that the ledger showed there. */
interface SentRequest {
  id: string;
  address: Address;
  incarnation: Incarnation;
}

/** Forwards callers' requests. */
export class Ingress {
  readonly #options: IngressOptions;
  readonly #owners: OwnerFinder;
  readonly #choices = new TwoChoices({ now, random: Math.random });
  readonly #budget = new RetryBudget();

  constructor(options: IngressOptions) {
    this.#options = options;
    this.#owners = new OwnerFinder(options.ledger);
  }

  /** Forwards a request until it has a response. */
  async handle(request: RoutedRequest): Promise<RoutedResponse> {
    const bodyState: BodyState = { isUsed: false };
    const isKeyed = request.head.shard >= 0;
    return await forward({
      now,
      sleep,
      random: Math.random,
      findTarget: () => isKeyed ? this.#findOwners(request) : this.#chooseServers(request),
      attempt: (address, target, count) =>
        this.#attempt(request, bodyState, { address, target, count }),
      canResend: () => !bodyState.isUsed,
      idempotent: request.workClass.idempotent,
      budget: this.#budget,
      deadline: request.deadline,
      searchMs: this.#options.settings.limits.handoverWaitMs,
      signal: request.signal,
      onServed: (target, by) => this.#owners.recordServed(target.group, by),
    });
  }

  #findOwners(request: RoutedRequest): Target | undefined {
    return this.#owners.find(request.head.pool, request.head.shard);
  }

  #chooseServers(request: RoutedRequest): Target | undefined {
    const servers: Address[] = [];
    for (const instance of this.#options.ledger.instances.values()) {
      const isUsable = instance.presence === Presence.Present;
      if (isUsable && instance.server?.pool === request.head.pool) {
        servers.push(instance.address);
      }
    }
    if (servers.length === 0) {
      return undefined;
    }
    return { group: 0, move: 0, candidates: this.#choices.choose(servers) };
  }

  async #attempt(
    request: RoutedRequest,
    bodyState: BodyState,
    options: { address: Address; target: Target; count: number },
  ): Promise<RoutedResponse> {
    const { address, target, count } = options;
    const head: RequestHead = {
      ...request.head,
      id: `${request.head.id}.${count}`,
      group: target.group,
      move: target.move,
      remainingMs: Math.max(0, request.deadline - now()),
    };
    const end = target.group === 0 ? this.#choices.begin(address) : undefined;
    const response = address === this.#options.address
      ? await this.#options.holder.serve(
        head,
        trackUse(request.body, bodyState),
        request.signal,
      )
      : await this.#attemptRemote(request, head, bodyState, address);
    end?.(
      response.head.outcome === undefined ||
        response.head.reason === Reason.Overloaded,
    );
    return response;
  }

  async #attemptRemote(
    request: RoutedRequest,
    head: RequestHead,
    bodyState: BodyState,
    address: Address,
  ): Promise<RoutedResponse> {
    const linked = await this.#options.links.get(address);
    if (linked.isErr) {
      return notRun(Reason.NotHolder, linked.error.message);
    }
    if (request.signal.aborted) {
      return notRun(Reason.Cancelled, "The caller left before the request was forwarded");
    }
    const remainingMs = request.deadline - now();
    if (remainingMs <= 0) {
      return notRun(Reason.DeadlinePassed, "The link to the holder opened too late");
    }
    const incarnation = this.#options.ledger.instances.get(address)?.incarnation ?? 0;
    const isWhole = request.body === undefined || Buffer.isBuffer(request.body);
    const body = Buffer.isBuffer(request.body) ? request.body : undefined;
    const exchange = linked.value.open({ ...head, remainingMs }, { body, end: isWhole });
    if (!isWhole) {
      this.#sendBody(
        exchange,
        trackUse(request.body, bodyState) as AsyncIterable<Buffer>,
      );
    }
    return await this.#awaitResponse(request, exchange, {
      id: head.id,
      address,
      incarnation,
    });
  }

  async #sendBody(
    exchange: OutgoingExchange,
    chunks: AsyncIterable<Buffer>,
  ): Promise<void> {
    try {
      if (!(await exchange.requestBody.awaitCredit())) {
        return;
      }
      for await (const chunk of chunks) {
        if (!(await exchange.requestBody.write(chunk))) {
          return;
        }
      }
      exchange.requestBody.end(Buffer.alloc(0));
    } catch {
      exchange.cancel();
    }
  }

  /**
   * Waits for the response, until shortly after the deadline. An idempotent request whose link broke
   * may be sent to the next candidate; any other request without a response has its outcome resolved.
   */
  async #awaitResponse(
    request: RoutedRequest,
    exchange: OutgoingExchange,
    sent: SentRequest,
  ): Promise<RoutedResponse> {
    const cancel = () => exchange.cancel();
    const timer = setTimeout(
      cancel,
      Math.max(0, request.deadline - now()) + RESPONSE_MARGIN_MS,
    );
    request.signal.addEventListener("abort", cancel, { once: true });
    try {
      const response = await exchange.response;
      const body = response.body.isWhole ? response.body.takeWhole() : response.body;
      return { head: response.head, body };
    } catch (error) {
      const linkError = error as LinkError;
      const isLinkBroken = linkError.kind === LinkErrorKind.Broken && !request.signal.aborted;
      return isLinkBroken && request.workClass.idempotent
        ? holderUnreachable("The link broke while the request was there")
        : await this.#resolveOutcome(linkError, sent);
    } finally {
      clearTimeout(timer);
      if (!exchange.isStreaming) {
        request.signal.removeEventListener("abort", cancel);
      }
    }
  }

  /**
   * Asks the holder for the outcome of a request whose response was lost, and bars the request from
   * running if it has not started.
   */
  async #resolveOutcome(error: LinkError, sent: SentRequest): Promise<RoutedResponse> {
    const { id, address, incarnation } = sent;
    if (error.kind === LinkErrorKind.Unreachable) {
      return notRun(Reason.NotHolder, error.message);
    }
    const linked = await this.#options.links.get(address);
    if (linked.isErr) {
      return holderUnreachable(
        `The link broke and the holder cannot be asked: ${linked.error.message}`,
      );
    }
    const payload = { id, incarnation };
    const reply = await linked.value.call(BAR_METHOD, payload, {
      timeoutMs: BAR_TIMEOUT_MS,
    });
    if (reply.isOk && reply.value === Outcome.NotRun) {
      return notRun(Reason.LinkBroken, "The link broke before the request ran");
    }
    return holderUnreachable("The link broke while the request may have run");
  }
}

/** Wraps a streamed body so that its state shows when reading begins. */
function trackUse(body: RequestBody, bodyState: BodyState): RequestBody {
  if (body === undefined || Buffer.isBuffer(body)) {
    return body;
  }
  return {
    [Symbol.asyncIterator]: () => {
      bodyState.isUsed = true;
      return body[Symbol.asyncIterator]();
    },
  };
}
