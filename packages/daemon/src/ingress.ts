/**
 * Takes one caller's request to the daemon that may run it, here or over a link, and brings the answer.
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

/** Name of the call that asks a holder what became of a request. */
export const BAR_METHOD = "requests.bar";
const BAR_TIMEOUT_MS = 500;
/** How long after the deadline an answer from the holder is still waited for, in milliseconds. */
const GRACE_MS = 200;

/** What an ingress needs. */
export interface IngressOptions {
  address: Address;
  ledger: Ledger;
  links: Links;
  holder: Holder;
  settings: DaemonSettings;
}

/** A caller's request after its route, key and class are known. */
export interface Call {
  head: RequestHead;
  workClass: WorkClass;
  body: RequestBody;
  /** When nobody waits for the answer any more, on this process's clock in milliseconds. */
  deadline: number;
  signal: AbortSignal;
}

/** The ways of a body that is sent in parts: it can be sent again only while nobody has read it. */
interface BodyUse {
  isTouched: boolean;
}

/** A request that went to another daemon, and the incarnation that was known to run there. */
interface SentRequest {
  id: string;
  address: Address;
  incarnation: Incarnation;
}

/** Forwards requests. */
export class Ingress {
  readonly #options: IngressOptions;
  readonly #owners: OwnerFinder;
  readonly #choices = new TwoChoices({ now, random: Math.random });
  readonly #budget = new RetryBudget();

  constructor(options: IngressOptions) {
    this.#options = options;
    this.#owners = new OwnerFinder(options.ledger);
  }

  /** Brings a request to its answer. */
  async handle(call: Call): Promise<RoutedResponse> {
    const use: BodyUse = { isTouched: false };
    const isKeyed = call.head.shard >= 0;
    return await forward({
      now,
      sleep,
      random: Math.random,
      findTarget: () => isKeyed ? this.#findOwners(call) : this.#chooseServers(call),
      attempt: (address, target, count) => this.#attempt(call, use, { address, target, count }),
      canResend: () => !use.isTouched,
      idempotent: call.workClass.idempotent,
      budget: this.#budget,
      deadline: call.deadline,
      searchMs: this.#options.settings.limits.handoverWaitMs,
      signal: call.signal,
      onServed: (target, by) => this.#owners.recordServed(target.group, by),
    });
  }

  #findOwners(call: Call): Target | undefined {
    return this.#owners.find(call.head.pool, call.head.shard);
  }

  #chooseServers(call: Call): Target | undefined {
    const servers: Address[] = [];
    for (const instance of this.#options.ledger.instances.values()) {
      const isUsable = instance.presence === Presence.Present;
      if (isUsable && instance.server?.pool === call.head.pool) {
        servers.push(instance.address);
      }
    }
    if (servers.length === 0) {
      return undefined;
    }
    return { group: 0, move: 0, candidates: this.#choices.choose(servers) };
  }

  async #attempt(
    call: Call,
    use: BodyUse,
    options: { address: Address; target: Target; count: number },
  ): Promise<RoutedResponse> {
    const { address, target, count } = options;
    const head: RequestHead = {
      ...call.head,
      id: `${call.head.id}.${count}`,
      group: target.group,
      move: target.move,
      remainingMs: Math.max(0, call.deadline - now()),
    };
    const end = target.group === 0 ? this.#choices.begin(address) : undefined;
    const answer = address === this.#options.address
      ? await this.#options.holder.serve(
        head,
        trackUse(call.body, use),
        call.signal,
      )
      : await this.#attemptRemote(call, head, use, address);
    end?.(
      answer.head.outcome === undefined ||
        answer.head.reason === Reason.Overloaded,
    );
    return answer;
  }

  async #attemptRemote(
    call: Call,
    head: RequestHead,
    use: BodyUse,
    address: Address,
  ): Promise<RoutedResponse> {
    const linked = await this.#options.links.get(address);
    if (linked.isErr) {
      return notRun(Reason.NotHolder, linked.error.message);
    }
    const incarnation = this.#options.ledger.instances.get(address)?.incarnation ?? 0;
    const whole = call.body === undefined || Buffer.isBuffer(call.body);
    const body = Buffer.isBuffer(call.body) ? call.body : undefined;
    const exchange = linked.value.open(head, { body, end: whole });
    if (!whole) {
      this.#sendParts(
        exchange,
        trackUse(call.body, use) as AsyncIterable<Buffer>,
      );
    }
    return await this.#awaitAnswer(call, exchange, {
      id: head.id,
      address,
      incarnation,
    });
  }

  async #sendParts(
    exchange: OutgoingExchange,
    parts: AsyncIterable<Buffer>,
  ): Promise<void> {
    try {
      if (!(await exchange.requestBody.awaitCredit())) {
        return;
      }
      for await (const part of parts) {
        if (!(await exchange.requestBody.write(part))) {
          return;
        }
      }
      exchange.requestBody.end(Buffer.alloc(0));
    } catch {
      exchange.cancel();
    }
  }

  async #awaitAnswer(
    call: Call,
    exchange: OutgoingExchange,
    sent: SentRequest,
  ): Promise<RoutedResponse> {
    const cancel = () => exchange.cancel();
    const timer = setTimeout(
      cancel,
      Math.max(0, call.deadline - now()) + GRACE_MS,
    );
    call.signal.addEventListener("abort", cancel, { once: true });
    try {
      const response = await exchange.response;
      const body = response.body.isWhole ? response.body.takeWhole() : response.body;
      return { head: response.head, body };
    } catch (error) {
      const broken = error as LinkError;
      const isBroken = broken.kind === LinkErrorKind.Broken && !call.signal.aborted;
      return isBroken && call.workClass.idempotent
        ? holderUnreachable("The link broke while the request was there")
        : await this.#resolveBroken(broken, sent);
    } finally {
      clearTimeout(timer);
      if (!exchange.isStreaming) {
        call.signal.removeEventListener("abort", cancel);
      }
    }
  }

  /**
   * Asks the holder what became of a request whose answer will not come. An idempotent one is sent to the
   * next candidate instead of asking.
   */
  async #resolveBroken(error: LinkError, sent: SentRequest): Promise<RoutedResponse> {
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
    const asked = await linked.value.call(BAR_METHOD, payload, {
      timeoutMs: BAR_TIMEOUT_MS,
    });
    if (asked.isOk && asked.value === Outcome.NotRun) {
      return notRun(Reason.LinkBroken, "The link broke before the request ran");
    }
    return holderUnreachable("The link broke while the request may have run");
  }
}

/** Notes when somebody begins to read a body that comes in parts. */
function trackUse(body: RequestBody, use: BodyUse): RequestBody {
  if (body === undefined || Buffer.isBuffer(body)) {
    return body;
  }
  return {
    [Symbol.asyncIterator]: () => {
      use.isTouched = true;
      return body[Symbol.asyncIterator]();
    },
  };
}
