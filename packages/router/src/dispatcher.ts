/**
 * Brings a request to the daemon beside the server that may run it: the owner of its key, or for a service
 * without keys one that will answer soon. What was not run may be tried elsewhere; what may have run is
 * only sent again if it is idempotent, there is time, and the retry budget allows it.
 */
import type { Buffer } from "node:buffer";
import { type Route, RouteKind } from "@bulrushwood/deployment";
import {
  type LinkError,
  LinkErrorKind,
  type Links,
  Reason,
  type RequestHead,
} from "@bulrushwood/protocol";
import { type Answer, notRun, patienceOf, type RetryBudget, unknown } from "@bulrushwood/routing";
import { type Address, now, Outcome } from "@bulrushwood/types";
import { Event, type EventLog } from "./event_log.ts";
import { openExchange, readAnswer } from "./exchange.ts";

/** How often one request follows a key that changes its owner. */
const OWNER_HOPS_MAX = 4;
/** How long a request waits for a key without an owner, or whose owner is out of reach, in milliseconds. */
const OWNER_WAIT_MS = 600;
/** An owner that is silent for so long is not tried, in milliseconds. */
const OUT_OF_REACH_MS = 1_000;
/** An owner that is silent for longer is not followed soon, so nobody waits for it, in milliseconds. */
const LOST_MS = 3_000;
/** A server usually takes this share of the target; the rest is for waiting. */
const SERVICE_SHARE = 0.35;
/** Pause before an owner that was out of reach is tried again, in milliseconds. */
const REACH_RETRY_MS = 60;
/** When a caller should come back whose key has no owner in reach, in milliseconds. */
const OWNER_RETRY_AFTER_MS = 300;
/** A request is sent again only if this share of its target is left. */
const RESEND_SHARE = 0.4;
/** The answer at the deadline is waited for a little longer, in milliseconds. */
const DEADLINE_GRACE_MS = 60;

/** Runs a request at the server beside this daemon. */
export type Serve = (
  head: RequestHead,
  body: Buffer | undefined,
  signal: AbortSignal,
) => Promise<Answer>;

/** Owners of keys, as this daemon knows them. */
export interface OwnerView {
  /** The owner of a key of a service; null for none. */
  ownerOf: (service: string, key: number) => Address | null;
  /** Resolves when owners changed, or after a time in milliseconds. */
  waitForChange: (service: string, ms: number) => Promise<void>;
  /** For how long a daemon has been silent, in milliseconds. */
  silentMs: (address: Address) => number;
  /** Told whether a daemon could be reached. */
  noteReach: (address: Address, isReached: boolean) => void;
}

/** Chooses among the servers of a service without keys. */
export interface ServerChoice {
  /** The best first. */
  choose: (service: string) => Address[];
  /** Notes that a request went to a server; the result is called once, when it is over. */
  begin: (address: Address) => (succeeded: boolean) => void;
}

/** What a dispatcher needs. */
export interface DispatcherOptions {
  self: Address;
  links: Links;
  serve: Serve;
  owners: OwnerView;
  choice: ServerChoice;
  /** Retries of requests for one service. */
  budgetOf: (service: string) => RetryBudget;
  log: EventLog;
}

/** One request on its way. */
export interface Dispatch {
  head: RequestHead;
  route: Route;
  body: Buffer | undefined;
  /** When the answer should be there, on this process's clock in milliseconds. */
  targetAt: number;
  /** When nobody waits for the answer any more, on this process's clock in milliseconds. */
  deadline: number;
  signal: AbortSignal;
}

/** Brings requests to servers. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  /** Requests of which an attempt ended without an answer. */
  readonly #uncertain = new WeakSet<Dispatch>();

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Gives the answer to a request. */
  async dispatch(request: Dispatch): Promise<Answer> {
    this.#options.budgetOf(request.head.pool).noteRequest();
    const isKeyed = request.head.shard >= 0;
    const answer = isKeyed ? await this.#toOwner(request) : await this.#toAny(request);
    return this.#withEarlierAttempts(request, answer);
  }

  /** A later attempt that was not run says nothing of an earlier one that may have run. */
  #withEarlierAttempts(request: Dispatch, answer: Answer): Answer {
    const { outcome, detail = "" } = answer.head;
    return outcome === Outcome.NotRun && this.#uncertain.has(request)
      ? unknown(Reason.ServerFailed, `An earlier attempt may have run. The last one: ${detail}`)
      : answer;
  }

  /** Follows a key to its owner. */
  async #toOwner(request: Dispatch): Promise<Answer> {
    const { owners } = this.#options;
    const { pool, shard } = request.head;
    const patienceMs = patienceOf({
      targetMs: request.targetAt - now(),
      remainingMs: request.deadline - now(),
      serviceMs: request.route.targetMs * SERVICE_SHARE,
    });
    const waitUntil = now() + Math.min(OWNER_WAIT_MS, patienceMs);
    let answer = notRun(Reason.NoHolder, "Nobody owns the key now", OWNER_RETRY_AFTER_MS);
    let hops = 0;
    while (hops < OWNER_HOPS_MAX && !request.signal.aborted) {
      const owner = owners.ownerOf(pool, shard);
      const silentMs = owner === null || owner === this.#options.self ? 0 : owners.silentMs(owner);
      if (silentMs > LOST_MS) {
        return notRun(
          Reason.NoHolder,
          `The key's owner ${owner} is out of reach`,
          OWNER_RETRY_AFTER_MS,
        );
      }
      if (owner !== null && silentMs < OUT_OF_REACH_MS) {
        answer = await this.#try(request, owner);
        if (!this.#mayFollow(request, answer)) {
          return answer;
        }
        hops++;
      }
      if (now() >= waitUntil) {
        return answer;
      }
      if (owners.ownerOf(pool, shard) === owner) {
        const isAbsent = owner === null || silentMs >= OUT_OF_REACH_MS;
        const waitMs = isAbsent ? waitUntil - now() : REACH_RETRY_MS;
        await owners.waitForChange(pool, waitMs);
      }
    }
    return answer;
  }

  /** Whether a request that got no answer at a key's owner may be tried again. */
  #mayFollow(request: Dispatch, answer: Answer): boolean {
    const { outcome, reason } = answer.head;
    if (outcome === Outcome.NotRun && reason === Reason.ServerRefused) {
      return this.#options.budgetOf(request.head.pool).take();
    }
    if (outcome === Outcome.NotRun) {
      return reason === Reason.NotHolder || reason === Reason.LinkBroken ||
        reason === Reason.Draining;
    }
    return outcome === Outcome.Unknown && this.#mayRepeat(request);
  }

  /** Whether a request that may have run may run again. */
  #mayRepeat(request: Dispatch): boolean {
    this.#uncertain.add(request);
    const { head, route } = request;
    const isTimely = now() + route.targetMs * RESEND_SHARE < request.deadline;
    const mayRepeat = route.kind === RouteKind.Idempotent && route.attemptsMax > 1 && isTimely &&
      !request.signal.aborted && this.#options.budgetOf(head.pool).take();
    if (mayRepeat) {
      this.#options.log(Event.RequestSentAgain, { id: head.id, service: head.pool });
    }
    return mayRepeat;
  }

  /** Tries servers of a service without keys, the best first. */
  async #toAny(request: Dispatch): Promise<Answer> {
    const { choice, budgetOf } = this.#options;
    const { pool } = request.head;
    const tried = new Set<Address>();
    let answer = notRun(
      Reason.NoHolder,
      "No server of the service is in reach",
      OWNER_RETRY_AFTER_MS,
    );
    while (tried.size < request.route.attemptsMax && !request.signal.aborted) {
      const server = choice.choose(pool).find((address) => !tried.has(address));
      if (server === undefined) {
        return answer;
      }
      tried.add(server);
      const end = choice.begin(server);
      answer = await this.#try(request, server);
      end(answer.head.outcome === undefined && answer.head.status < 500);
      const isFinal = answer.head.outcome === undefined || now() >= request.deadline ||
        answer.head.reason === Reason.Cancelled;
      if (isFinal) {
        return answer;
      }
      const isSafe = answer.head.outcome === Outcome.NotRun;
      const reachedServer = answer.head.reason === Reason.ServerRefused;
      const mayGoOn = isSafe ? !reachedServer || budgetOf(pool).take() : this.#mayRepeat(request);
      if (!mayGoOn) {
        return answer;
      }
    }
    return answer;
  }

  /** Sends a request to one daemon, which may be this one. */
  async #try(request: Dispatch, address: Address): Promise<Answer> {
    const { self, serve, links, owners } = this.#options;
    const at = now();
    const head = {
      ...request.head,
      remainingMs: Math.max(1, request.deadline - at),
      targetMs: Math.max(0, request.targetAt - at),
    };
    if (address === self) {
      return await serve(head, request.body, request.signal);
    }
    const linked = await links.get(address);
    owners.noteReach(address, linked.isOk);
    if (linked.isErr) {
      return notRun(Reason.LinkBroken, linked.error.message, OWNER_RETRY_AFTER_MS);
    }
    const exchange = openExchange(linked.value, head, { body: request.body });
    const cancel = () => exchange.cancel();
    const timer = setTimeout(cancel, request.deadline + DEADLINE_GRACE_MS - now());
    request.signal.addEventListener("abort", cancel, { once: true });
    try {
      return await readAnswer(exchange);
    } catch (error) {
      return this.#concludeBroken(request, error as LinkError);
    } finally {
      clearTimeout(timer);
      request.signal.removeEventListener("abort", cancel);
    }
  }

  #concludeBroken(request: Dispatch, error: LinkError): Answer {
    if (error.kind === LinkErrorKind.Unreachable) {
      return notRun(Reason.LinkBroken, error.message, OWNER_RETRY_AFTER_MS);
    }
    if (now() >= request.deadline) {
      return unknown(Reason.DeadlinePassed, "No answer came in time");
    }
    return unknown(
      Reason.LinkBroken,
      `The link broke while the request was there: ${error.message}`,
    );
  }
}
