/**
 * Sends a request to the daemon whose backend server may run it: the owner of its key, or for a service
 * without keys one that is expected to respond soon. A request that was not run may be retried elsewhere;
 * one that may have run is resent only if it is idempotent, time is left and the retry budget allows it.
 */
import type { Buffer } from "node:buffer";
import type { RequestMemory } from "@bulrushwood/admission";
import { type Route, RouteKind } from "@bulrushwood/deployment";
import {
  type LinkError,
  LinkErrorKind,
  type Links,
  Reason,
  type RequestHead,
} from "@bulrushwood/protocol";
import {
  type ChoiceOptions,
  notRun,
  type RetryBudget,
  type RoutedResponse,
  unknown,
  waitLimitMs,
} from "@bulrushwood/routing";
import { type Address, now, Outcome, type WaitOptions } from "@bulrushwood/types";
import { Event, type EventLog } from "./event_log.ts";
import { BodyError, openExchange, readResponse } from "./exchange.ts";
import { LeavingServers } from "./leaving_servers.ts";
import { OverloadBackoff } from "./overload_backoff.ts";
import { RequestStage } from "./request_stage.ts";
import { ServiceCosts } from "./service_costs.ts";
import { toQuarantineRejection } from "./runner.ts";

/** Largest number of times that one request is sent to an owner of its key. */
const OWNER_ATTEMPTS_MAX = 4;
/** Longest wait for a key that has no owner or whose owner is unreachable, in milliseconds. */
const OWNER_WAIT_MS = 600;
/** Time without contact to an owner after which no request is sent to it, in milliseconds. */
const UNREACHABLE_MS = 1_000;
/**
 * Time without contact to an owner after which requests are rejected without waiting, in milliseconds. A new owner
 * is not expected soon then.
 */
const LOST_MS = 3_000;
/** Share of the target that a server usually takes; the rest is left for waiting. */
const SERVICE_SHARE = 0.35;
/** Pause before a request is resent to the same owner, in milliseconds. */
const SAME_OWNER_RETRY_MS = 60;
/** Retry-after time for callers whose key has no reachable owner, in milliseconds. */
const OWNER_RETRY_AFTER_MS = 300;
/** Shortest retry-after time for callers whose requests are held back, in milliseconds. */
const BACKOFF_RETRY_AFTER_MIN_MS = 60;
/** Time over which the return of callers whose requests are held back is spread, in milliseconds. */
const BACKOFF_RETRY_SPREAD_MS = 300;
/** Share of the route's target that must be left before the deadline for a request to be resent. */
const RESEND_SHARE = 0.4;
/** Extra time for a response that is sent at the deadline, in milliseconds. */
const DEADLINE_MARGIN_MS = 60;

/** Options of `Serve`. */
export interface ServeOptions {
  /** Aborts when the caller leaves. */
  signal: AbortSignal;
  /** Counts the response's body; without it the body is not counted. */
  memory?: RequestMemory;
}

/** Runs a request at this daemon's backend server. */
export type Serve = (
  head: RequestHead,
  body: Buffer | undefined,
  options: ServeOptions,
) => Promise<RoutedResponse>;

/** This daemon's view of the owners of keys. */
export interface OwnerView {
  /** Returns the owner of a key of a service; null if there is none. */
  ownerOf: (service: string, key: number) => Address | null;
  /** Resolves when the owners of a service's keys change, or at the end of the wait. */
  waitForChange: (service: string, options: WaitOptions) => Promise<void>;
  /** Returns the time for which a daemon has been unreachable, in milliseconds. */
  unreachableMs: (address: Address) => number;
  /** Records that a daemon knows newer owners than this one. */
  recordOutdated: (address: Address) => void;
  /** Records whether a daemon could be reached. */
  recordReachability: (address: Address, isReached: boolean) => void;
}

/** Load balancing among the servers of a service without keys. */
export interface ServerChoice {
  /** Returns the servers that may be used, in order of preference. */
  choose: (
    service: string,
    mayUse: (address: Address) => boolean,
    options: ChoiceOptions,
  ) => Address[];
  /** Records that a request was sent to a server; the returned function is called once, when it has ended. */
  begin: (address: Address) => (succeeded: boolean) => void;
}

export interface DispatcherOptions {
  self: Address;
  links: Links;
  serve: Serve;
  owners: OwnerView;
  choice: ServerChoice;
  /** Returns the time for which a request is quarantined, in milliseconds; 0 if it may run. */
  quarantinedMs: (head: RequestHead, body: Buffer | undefined) => number;
  /** Returns the retry budget of a service. */
  budgetOf: (service: string) => RetryBudget;
  /** Time after the announcement that a server leaves, after which no new request may reach it, in milliseconds. */
  drainMs: number;
  log: EventLog;
}

/** A request with its route and time limits. */
export interface DispatchRequest {
  head: RequestHead;
  route: Route;
  body: Buffer | undefined;
  /** Target time of the response, on this process's clock in milliseconds. */
  targetAt: number;
  /** Time when the caller stops waiting, on this process's clock in milliseconds. */
  deadline: number;
  signal: AbortSignal;
  /** Counts the bodies of the request and its response; without it they are not counted. */
  memory?: RequestMemory;
  /** Where the request waits now; updated by the dispatcher. */
  stage: RequestStage;
}

/** Sends requests to the servers that may run them, and retries where that is safe. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  /** Requests with an earlier attempt that may have run. */
  readonly #mayHaveRun = new WeakSet<DispatchRequest>();
  readonly #backoff = new OverloadBackoff(now);
  readonly #costs = new ServiceCosts();
  readonly #leavingServers: LeavingServers;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#leavingServers = new LeavingServers({ now, drainMs: options.drainMs });
  }

  /** Forgets the overload of the daemon at an address that another one has taken over. */
  forget(address: Address): void {
    this.#backoff.forget(address);
  }

  /** Dispatches a request and returns its response. */
  async dispatch(request: DispatchRequest): Promise<RoutedResponse> {
    request.stage = RequestStage.Owner;
    const quarantinedMs = this.#options.quarantinedMs(request.head, request.body);
    if (quarantinedMs > 0) {
      return toQuarantineRejection(quarantinedMs);
    }
    this.#options.budgetOf(request.head.pool).recordRequest();
    const isKeyed = request.head.shard >= 0;
    const response = isKeyed
      ? await this.#dispatchToOwner(request)
      : await this.#dispatchToAny(request);
    return this.#withEarlierAttempts(request, response);
  }

  /** Replaces the not-run outcome of the last attempt if an earlier attempt may have run. */
  #withEarlierAttempts(request: DispatchRequest, response: RoutedResponse): RoutedResponse {
    const { outcome, detail = "" } = response.head;
    return outcome === Outcome.NotRun && this.#mayHaveRun.has(request)
      ? unknown(Reason.ServerFailed, `An earlier attempt may have run. The last one: ${detail}`)
      : response;
  }

  /** Sends a request to the owner of its key, and to the new owner if the key is transferred meanwhile. */
  async #dispatchToOwner(request: DispatchRequest): Promise<RoutedResponse> {
    const { owners } = this.#options;
    const { pool, shard } = request.head;
    const ownerWaitMs = waitLimitMs({
      targetMs: request.targetAt - now(),
      remainingMs: request.deadline - now(),
      serviceMs: request.route.targetMs * SERVICE_SHARE,
    });
    const waitUntil = now() + Math.min(OWNER_WAIT_MS, ownerWaitMs);
    let response = notRun(Reason.NoHolder, "Nobody owns the key now", OWNER_RETRY_AFTER_MS);
    let attempts = 0;
    let named: Address | undefined;
    while (attempts < OWNER_ATTEMPTS_MAX && !request.signal.aborted) {
      const owner: Address | null = named ?? owners.ownerOf(pool, shard);
      named = undefined;
      const unreachableMs = owner === null || owner === this.#options.self
        ? 0
        : owners.unreachableMs(owner);
      if (unreachableMs > LOST_MS) {
        return notRun(
          Reason.NoHolder,
          `The key's owner ${owner} is out of reach`,
          OWNER_RETRY_AFTER_MS,
        );
      }
      const backoffMs = owner === null ? 0 : this.#backoffMs(request, owner);
      if (backoffMs > 0) {
        return overloaded(`The key's owner ${owner} is overloaded`, backoffMs);
      }
      if (owner !== null && unreachableMs < UNREACHABLE_MS) {
        response = await this.#attempt(request, owner);
        if (!this.#mayRetryAtOwner(request, response)) {
          return response;
        }
        attempts++;
        if (response.head.owner !== undefined && response.head.owner !== owner) {
          // The table here is older than that of the daemon that rejected the request.
          named = response.head.owner;
          owners.recordOutdated(owner);
          continue;
        }
      }
      if (now() >= waitUntil) {
        return response;
      }
      request.stage = RequestStage.Owner;
      if (owners.ownerOf(pool, shard) === owner) {
        const isAbsent = owner === null || unreachableMs >= UNREACHABLE_MS;
        const waitMs = isAbsent ? waitUntil - now() : SAME_OWNER_RETRY_MS;
        await owners.waitForChange(pool, { ms: waitMs, signal: request.signal });
      }
    }
    return response;
  }

  /** Whether a request that failed at a key's owner may be tried again. */
  #mayRetryAtOwner(request: DispatchRequest, response: RoutedResponse): boolean {
    const { outcome, reason } = response.head;
    if (outcome === Outcome.NotRun && reason === Reason.ServerRejected) {
      return this.#options.budgetOf(request.head.pool).take();
    }
    if (outcome === Outcome.NotRun) {
      return reason === Reason.NotHolder || reason === Reason.LinkBroken ||
        reason === Reason.Draining;
    }
    return outcome === Outcome.Unknown && this.#mayResend(request);
  }

  /** Whether a request that may have run may be resent. */
  #mayResend(request: DispatchRequest): boolean {
    this.#mayHaveRun.add(request);
    const { head, route } = request;
    const isTimely = now() + route.targetMs * RESEND_SHARE < request.deadline;
    const mayResend = route.kind === RouteKind.Idempotent && route.attemptsMax > 1 && isTimely &&
      !request.signal.aborted && this.#options.budgetOf(head.pool).take();
    if (mayResend) {
      this.#options.log(Event.RequestResent, { id: head.id, service: head.pool });
    }
    return mayResend;
  }

  /** Tries the servers of a service without keys in order of preference. */
  async #dispatchToAny(request: DispatchRequest): Promise<RoutedResponse> {
    const { choice, budgetOf } = this.#options;
    const { pool } = request.head;
    const tried = new Set<Address>();
    let response = notRun(
      Reason.NoHolder,
      "No server of the service is in reach",
      OWNER_RETRY_AFTER_MS,
    );
    while (tried.size < request.route.attemptsMax && !request.signal.aborted) {
      const mayUse = (address: Address) =>
        !tried.has(address) && this.#backoffMs(request, address) === 0;
      const targetMs = request.targetAt - now();
      const costRatio = this.#costs.ratioOf(request);
      const [server] = choice.choose(pool, mayUse, { targetMs, costRatio });
      if (server === undefined) {
        return tried.size > 0 ? response : this.#withoutServer(request, response);
      }
      tried.add(server);
      const end = choice.begin(server);
      response = await this.#attempt(request, server);
      end(response.head.outcome === undefined && response.head.status < 500);
      this.#costs.record(request, response);
      const isFinal = response.head.outcome === undefined || now() >= request.deadline ||
        response.head.reason === Reason.Cancelled || response.head.reason === Reason.Quarantined;
      if (isFinal) {
        return response;
      }
      const isSafe = response.head.outcome === Outcome.NotRun;
      const reachedServer = response.head.reason === Reason.ServerRejected;
      const mayRetry = isSafe ? !reachedServer || budgetOf(pool).take() : this.#mayResend(request);
      if (!mayRetry) {
        return response;
      }
    }
    return response;
  }

  /** Time for which a request should not be sent to a daemon, in milliseconds; 0 for none. */
  #backoffMs({ head }: DispatchRequest, address: Address): number {
    return this.#backoff.remainingMs(address, head.priority ?? 0);
  }

  /** Response to a request for which no server may be used: each is unreachable or overloaded. */
  #withoutServer(request: DispatchRequest, unreachable: RoutedResponse): RoutedResponse {
    const servers = this.#options.choice.choose(request.head.pool, () => true, {});
    return servers.length === 0 ? unreachable : overloaded(
      "All servers of the service are overloaded",
      Math.min(...servers.map((address) => this.#backoffMs(request, address))),
    );
  }

  /** Sends a request to one daemon, and records what the response shows of its server. */
  async #attempt(request: DispatchRequest, address: Address): Promise<RoutedResponse> {
    const response = await this.#send(request, address);
    const { leavingServer } = response.head;
    if (leavingServer !== undefined) {
      this.#leavingServers.record(address, leavingServer);
    }
    return response;
  }

  /** Sends a request to one daemon, or runs it here if that is this daemon. */
  async #send(request: DispatchRequest, address: Address): Promise<RoutedResponse> {
    const { self, serve, links, owners } = this.#options;
    if (address === self) {
      request.stage = RequestStage.Server;
      const { signal, memory } = request;
      return await serve(this.#headFor(request, address), request.body, { signal, memory });
    }
    request.stage = RequestStage.Dial;
    const linked = await links.get(address);
    owners.recordReachability(address, linked.isOk);
    if (linked.isErr) {
      return notRun(Reason.LinkBroken, linked.error.message, OWNER_RETRY_AFTER_MS);
    }
    if (request.signal.aborted) {
      return notRun(Reason.Cancelled, "The caller left before the request was forwarded");
    }
    if (now() >= request.deadline) {
      return notRun(Reason.DeadlinePassed, "The link to the server opened too late");
    }
    request.stage = RequestStage.Peer;
    const exchange = openExchange(linked.value, this.#headFor(request, address), {
      body: request.body,
    });
    const cancel = () => exchange.cancel();
    const timer = setTimeout(cancel, request.deadline + DEADLINE_MARGIN_MS - now());
    const forwardedAt = now();
    request.signal.addEventListener("abort", cancel, { once: true });
    try {
      const response = await readResponse(exchange, request.memory);
      this.#recordResponse(request, address, response);
      return response;
    } catch (error) {
      if (error instanceof BodyError) {
        return unknown(Reason.Overloaded, error.message);
      }
      if (now() - forwardedAt >= request.route.targetMs) {
        this.#backoff.recordUnanswered(address, request.head.priority ?? 0);
      }
      return this.#toLinkErrorResponse(request, error as LinkError);
    } finally {
      clearTimeout(timer);
      request.signal.removeEventListener("abort", cancel);
    }
  }

  /** Returns the head that one daemon gets. */
  #headFor(request: DispatchRequest, address: Address): RequestHead {
    const head = withTimeLeft(request);
    const excludedServer = this.#leavingServers.excludedAt(address);
    return excludedServer === undefined ? head : { ...head, excludedServer };
  }

  /** Records what a daemon's response shows about its load. */
  #recordResponse(
    { head: { priority = 0 } }: DispatchRequest,
    address: Address,
    { head }: RoutedResponse,
  ): void {
    if (head.outcome === undefined) {
      this.#backoff.recordServed(address, priority);
    } else if (head.reason === Reason.Overloaded) {
      this.#backoff.recordRejected(address, priority, head.retryAfterMs ?? 0);
    }
  }

  #toLinkErrorResponse(request: DispatchRequest, error: LinkError): RoutedResponse {
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

function overloaded(detail: string, backoffMs: number): RoutedResponse {
  const spreadMs = BACKOFF_RETRY_SPREAD_MS * Math.random();
  const retryAfterMs = Math.max(BACKOFF_RETRY_AFTER_MIN_MS, backoffMs) + spreadMs;
  return notRun(Reason.Overloaded, detail, retryAfterMs);
}

/** Returns the head of a request with the time that is left for it now. */
function withTimeLeft({ head, deadline, targetAt }: DispatchRequest): RequestHead {
  const at = now();
  return {
    ...head,
    remainingMs: Math.max(1, deadline - at),
    targetMs: Math.max(0, targetAt - at),
  };
}
