/**
 * Runs requests at this daemon's backend server: waits until the key may be served here, then for a slot,
 * and reports whether the request ran, did not run or may have run.
 */
import type { Buffer } from "node:buffer";
import {
  type AdmissionError,
  AdmissionErrorKind,
  Gate,
  RequestCosts,
  Slowness,
  TimelyLimit,
  WorkTail,
} from "@bulrushwood/admission";
import { incarnationName, type ServerWire } from "@bulrushwood/deployment";
import { GRANT_MARGIN_MS, type GrantManager, KeyState } from "@bulrushwood/lease_ranges";
import { LoadMeter } from "@bulrushwood/planner_ranges";
import { Reason, type RequestHead } from "@bulrushwood/protocol";
import { notRun, type RoutedResponse, unknown, waitLimitMs } from "@bulrushwood/routing";
import { type Address, now } from "@bulrushwood/types";
import type { ServeOptions } from "./dispatcher.ts";
import { Event, type EventLog } from "./event_log.ts";
import { toFlatHeaders } from "./headers.ts";
import { LEAVING_MARGIN_MS } from "./leaving_servers.ts";
import { RequestStage } from "./request_stage.ts";
import type { ServerEnds } from "./server_ends.ts";
import { type ServerClient, ServerOutcome, type ServerResult } from "./server_client.ts";
import type { ServerWatch } from "./server_watch.ts";

/** Longest wait for a key that is being transferred here, in milliseconds; longer than a handover takes. */
const KEY_WAIT_MS = 700;
/** Retry-after time for callers whose key is being transferred, in milliseconds. */
const MOVE_RETRY_AFTER_MS = 150;
/** Slots that are assumed before a server's first status report. */
const UNKNOWN_SLOTS = 1;
/**
 * Requests that are sent at once until a first response shows whether the server has a request limit. A restarted
 * daemon does not know the limit that the server named before.
 */
const FIRST_REQUESTS = 4;
/** Weight of the newest interval of 300 ms in the moving average of the request rate. */
const RATE_WEIGHT = 0.3;
const SERVER_FAILURE = 500;
/** Range of the load that one request counts for, in mean requests: an odd estimate must not move all keys. */
const WEIGHT_RANGE = { least: 0.1, most: 10 };
const MS_PER_SECOND = 1_000;

export interface RunnerOptions {
  /** Service of the backend server; requests for any other service are rejected. */
  service: string;
  watch: ServerWatch;
  client: ServerClient;
  wire: ServerWire;
  grantManager: GrantManager;
  /** Returns the owner of a key in the newest table here; null if there is none or it is this daemon. */
  ownerOf: (key: number) => Address | null;
  /** Returns the time that a grant must have left for work to begin, in milliseconds. */
  grantLeftMs: () => number;
  /** Whether requests are placed by their estimated cost; by default they are not. */
  usesRequestCosts?: boolean;
  /** Called with the measured duration of a request and the one that was expected, in milliseconds. */
  onCost?: (head: RequestHead, costs: { measuredMs: number; expectedMs: number }) => void;
  /** Returns whether the server must get nothing, as operators ask for its data centre. */
  isEvacuated?: () => boolean;
  ends: Pick<ServerEnds, "quarantinedMs" | "recordLost" | "recordCompleted">;
  drainMs: number;
  log: EventLog;
  onResult: (head: RequestHead, result: ServerResult, ms: number) => void;
  /** Called with each request that the server failed when the grant under which it began had ended. */
  onOutlasted: (head: RequestHead) => void;
  /** Called with each response that names a load or a request limit which cannot be read. */
  onMalformedNotice: () => void;
  /** Called with each request whose caller left before its response, and where it waited. */
  onCancelled: (head: RequestHead, stage: RequestStage, ms: number) => void;
}

/** Measured load of this daemon's backend server; `rate` is in requests a second. */
export interface MeasuredLoad {
  rate: number;
  serviceMs: number;
  /** Time within which nearly all requests for keys end; undefined before the first. */
  workMs?: number;
  running: number;
  waiting: number;
  /** How much longer than usual work takes now. */
  slowness: number;
  /** Time until the server could begin one more request, in milliseconds; undefined where costs are not estimated. */
  startInMs?: number;
}

/** Runs requests at this daemon's backend server, within its slots. */
export class Runner {
  readonly #options: RunnerOptions;
  readonly #gate: Gate;
  readonly #meter = new LoadMeter(now);
  readonly #slowness = new Slowness(now);
  readonly #costs: RequestCosts | undefined;
  #timelyLimit = new TimelyLimit();
  #workTail = new WorkTail();
  /** Incarnation of the server that the limit is for. */
  #limitedServer: string | undefined;
  /** Key of each running request. */
  readonly #runningKeys = new Map<RequestHead, number>();
  #isClosed = false;
  #arrivals = 0;
  #rate = 0;
  #rateUpdatedAt = now();

  constructor(options: RunnerOptions) {
    this.#options = options;
    const { watch, usesRequestCosts = false } = options;
    this.#costs = usesRequestCosts ? new RequestCosts() : undefined;
    this.#gate = new Gate({
      costs: this.#costs,
      now,
      random: Math.random,
      limit: () => this.#concurrencyMax(),
      perSecond: () => watch.allowedPerSecond,
      slowness: () => this.#slowness.value,
    });
  }

  /** Number of requests that the server runs. */
  get running(): number {
    return this.#gate.running;
  }

  /** Number of requests that are queued for a slot of the server. */
  get waiting(): number {
    return this.#gate.waiting;
  }

  /** Number of requests that are running or queued. */
  get open(): number {
    return this.running + this.waiting;
  }

  /** Keys that the server runs requests for. */
  get runningKeys(): Iterable<number> {
    return this.#runningKeys.values();
  }

  /** Meter of the requests by key. */
  get meter(): LoadMeter {
    return this.#meter;
  }

  /** Time within which nearly all requests for keys end, in milliseconds; undefined before the first. */
  get workMs(): number | undefined {
    return this.#workTail.ms;
  }

  /** Measures the load; the rate is a moving average that is updated by each call. */
  measure(): MeasuredLoad {
    const elapsedMs = Math.max(1, now() - this.#rateUpdatedAt);
    const weight = 1 - Math.pow(1 - RATE_WEIGHT, elapsedMs / 300);
    this.#rate += weight * (this.#arrivals * MS_PER_SECOND / elapsedMs - this.#rate);
    this.#arrivals = 0;
    this.#rateUpdatedAt = now();
    const { running, waiting, serviceMs } = this.#gate;
    const { value: slowness } = this.#slowness;
    const startInMs = this.#costs && this.#gate.startInMs;
    const times = { serviceMs, workMs: this.workMs, startInMs };
    return { ...times, rate: this.#rate, running, waiting, slowness };
  }

  /** Runs a request that this daemon or a peer received from a caller. */
  async serve(
    head: RequestHead,
    body: Buffer | undefined,
    { signal, memory }: ServeOptions,
  ): Promise<RoutedResponse> {
    const arrivedAt = now();
    const deadline = arrivedAt + head.remainingMs;
    const cancel = (stage: RequestStage) => {
      this.#options.onCancelled(head, stage, now() - arrivedAt);
      return notRun(Reason.Cancelled, "The caller left before the request ran");
    };
    if (signal.aborted) {
      return cancel(RequestStage.Arrival);
    }
    if (head.remainingMs <= 0) {
      return notRun(Reason.DeadlinePassed, "The request was held up on its way past its deadline");
    }
    if (head.pool !== this.#options.service) {
      // The ingress knows this address from an earlier daemon, whose machine was lost.
      const detail = `This daemon's backend server is of another service than ${head.pool}`;
      return notRun(Reason.NotHolder, detail, MOVE_RETRY_AFTER_MS);
    }
    this.#arrivals++;
    const keyUntil = arrivedAt + this.#keyWaitMs(head);
    if (head.shard >= 0) {
      this.#meter.record(head.shard, this.#weightOf(head, body));
      const isGranted = await this.#awaitKey(head, { until: keyUntil, signal });
      if (signal.aborted) {
        return cancel(RequestStage.Key);
      }
      if (!isGranted) {
        return this.#toOwner(head);
      }
    }
    if (!this.#mayStart(head)) {
      return notRun(
        Reason.Draining,
        "The backend server here takes no new work",
        MOVE_RETRY_AFTER_MS,
      );
    }
    const admitted = await this.#gate.enter({
      workClass: head.workClass,
      bytes: body?.length,
      priority: head.priority ?? 0,
      targetAt: arrivedAt + (head.targetMs ?? head.remainingMs),
      deadline,
      signal,
    });
    if (admitted.isErr) {
      return signal.aborted ? cancel(RequestStage.Slot) : toRejection(admitted.error);
    }
    let isAnswered = false;
    try {
      const response = await this.#run(head, body, { deadline, keyUntil, signal, memory });
      isAnswered = response.head.outcome === undefined && response.head.status < SERVER_FAILURE;
      if (signal.aborted) {
        cancel(RequestStage.Server);
      }
      return response;
    } finally {
      admitted.value.release({ isAnswered });
    }
  }

  /** Load of a request for its key, in mean requests of the server. */
  #weightOf({ workClass }: RequestHead, body: Buffer | undefined): number {
    const expectedMs = this.#costs?.expectedMs({ route: workClass, bytes: body?.length });
    const meanMs = this.#gate.usualServiceMs;
    return expectedMs === undefined || meanMs <= 0
      ? 1
      : Math.min(WEIGHT_RANGE.most, Math.max(WEIGHT_RANGE.least, expectedMs / meanMs));
  }

  /** Rejects a request whose key this daemon does not hold, and names the owner. */
  #toOwner({ shard }: RequestHead): RoutedResponse {
    const detail = "This daemon does not hold the key";
    const rejected = notRun(Reason.NotHolder, detail, MOVE_RETRY_AFTER_MS);
    const owner = this.#options.ownerOf(shard);
    return owner === null ? rejected : { ...rejected, head: { ...rejected.head, owner } };
  }

  /** Longest time that a request waits here for its key, in milliseconds. */
  #keyWaitMs({ remainingMs, targetMs = remainingMs }: RequestHead): number {
    const { serviceMs } = this.#gate;
    return Math.min(KEY_WAIT_MS, waitLimitMs({ targetMs, remainingMs, serviceMs }));
  }

  /** Waits until the key is granted here, or until a time on this process's clock; resolves to whether it is. */
  async #awaitKey(
    { shard: key }: RequestHead,
    { until, signal }: { until: number; signal: AbortSignal },
  ): Promise<boolean> {
    const { grantManager, grantLeftMs } = this.#options;
    while (!signal.aborted) {
      switch (grantManager.stateOf(key, grantLeftMs())) {
        case KeyState.Granted:
          return true;
        case KeyState.Elsewhere:
          return false;
        default:
          if (now() >= until) {
            return false;
          }
          await grantManager.waitForChange({ ms: until - now(), signal });
      }
    }
    return false;
  }

  /** Number of requests that the server may run at once. */
  #concurrencyMax(): number {
    const { report, limit } = this.#options.watch;
    const slots = report?.slots ?? UNKNOWN_SLOTS;
    const used = this.#timelyLimit.limit(slots);
    return limit.isKnown ? used : Math.min(used, FIRST_REQUESTS);
  }

  /** Whether the server may get a request. */
  #mayStart({ excludedServer }: RequestHead): boolean {
    const { watch, drainMs } = this.#options;
    const { report } = watch;
    const isEvacuated = this.#options.isEvacuated?.() ?? false;
    if (report === undefined || !watch.isReachable || this.#isClosed || isEvacuated) {
      return false;
    }
    if (incarnationName(report) === excludedServer) {
      watch.endDrain();
    }
    const { leavingSince } = watch;
    return leavingSince === undefined || now() < leavingSince + drainMs - LEAVING_MARGIN_MS;
  }

  async #run(
    head: RequestHead,
    body: Buffer | undefined,
    options: ServeOptions & { deadline: number; keyUntil: number },
  ): Promise<RoutedResponse> {
    const { client, watch, grantManager, ends, wire, log } = this.#options;
    const { onResult, onOutlasted, onMalformedNotice } = this.#options;
    const { deadline, signal, memory } = options;
    if (head.shard >= 0 && !await this.#awaitKey(head, { until: options.keyUntil, signal })) {
      return notRun(Reason.NotHolder, "The key changed its owner meanwhile", MOVE_RETRY_AFTER_MS);
    }
    const quarantinedMs = ends.quarantinedMs(head, body);
    if (quarantinedMs > 0) {
      return toQuarantineRejection(quarantinedMs);
    }
    const { report } = watch;
    if (report === undefined || !this.#mayStart(head)) {
      return notRun(
        Reason.Draining,
        "The backend server here takes no new work",
        MOVE_RETRY_AFTER_MS,
      );
    }
    const expectedMs = this.#costs?.expectedMs({ route: head.workClass, bytes: body?.length });
    const startedAt = now();
    const grantedUntil = grantManager.grantedUntil(head.shard);
    const { limit } = watch;
    const headers = toFlatHeaders(head.headers).concat(wire.requestHeaders({
      id: head.id,
      remainingMs: deadline - startedAt,
      serverId: report.id,
      callerService: head.tenant,
      key: head.shard >= 0 ? head.shard : undefined,
    }));
    if (head.shard >= 0) {
      this.#runningKeys.set(head, head.shard);
    }
    const result = await client.send({ head, headers, body, deadline, signal, memory })
      .finally(() => this.#runningKeys.delete(head));
    const ranMs = (now() - startedAt) / this.#slowness.value;
    onResult(head, result, now() - startedAt);
    if (result.outcome === ServerOutcome.Responded && expectedMs !== undefined) {
      this.#options.onCost?.(head, { measuredMs: ranMs, expectedMs });
    }
    // The server may count the grant from a moment before this daemon does.
    const hasOutlasted = result.status >= SERVER_FAILURE &&
      now() >= grantedUntil - GRANT_MARGIN_MS;
    if (hasOutlasted) {
      onOutlasted(head);
    }
    this.#recordTimeliness(result, { server: incarnationName(report), startedAt, deadline });
    if (head.shard >= 0 && result.outcome === ServerOutcome.Responded) {
      this.#workTail.record((hasOutlasted ? deadline : now()) - startedAt);
    }
    if (result.isConnectionLost && !signal.aborted) {
      ends.recordLost(report, { head, body, startedAt });
    } else if (result.outcome === ServerOutcome.Responded) {
      ends.recordCompleted(head, body);
    }
    if (result.notice !== undefined) {
      watch.recordNotice(report, result.notice, { sentAt: startedAt });
    } else if (result.outcome === ServerOutcome.Unknown) {
      limit.recordUnanswered();
    }
    if (result.load?.slowness !== undefined) {
      this.#slowness.record(result.load.slowness);
    }
    for (const reason of [result.notice?.limitError, result.loadError]) {
      if (reason !== undefined) {
        onMalformedNotice();
        log(Event.NoticeMalformed, { id: head.id, server: report.id, reason });
      }
    }
    const response = this.#toResponse(head, result, options);
    if (this.#costs !== undefined && response.head.outcome === undefined) {
      response.head.ranMs = Math.round(ranMs);
    }
    if (result.notice?.isLeaving) {
      response.head.leavingServer = incarnationName(report);
    }
    return response;
  }

  /** Records whether the server responded to a request before its deadline. */
  #recordTimeliness(
    { outcome }: ServerResult,
    options: { server: string; startedAt: number; deadline: number },
  ): void {
    const { server, startedAt, deadline } = options;
    if (server !== this.#limitedServer) {
      this.#timelyLimit = new TimelyLimit();
      this.#workTail = new WorkTail();
      this.#limitedServer = server;
    }
    if (outcome === ServerOutcome.Responded) {
      this.#timelyLimit.recordTimely(now() - startedAt);
    } else if (outcome === ServerOutcome.Unknown && now() >= deadline) {
      this.#timelyLimit.recordLate(deadline - startedAt);
    }
  }

  #toResponse(
    head: RequestHead,
    result: ServerResult,
    options: { deadline: number; signal: AbortSignal },
  ): RoutedResponse {
    const { watch, log } = this.#options;
    if (result.isConnectionRefused) {
      watch.recordConnectionRefused();
    } else if (result.status > 0 || result.load !== undefined) {
      watch.recordResponse();
    }
    const { outcome, detail, status, headers, body, isUnframed } = result;
    const fields = { id: head.id, server: watch.report?.id, detail };
    switch (outcome) {
      case ServerOutcome.Responded:
        return { head: { status, headers, isUnframed }, body };
      case ServerOutcome.Misdirected:
        log(Event.RequestRejected, { ...fields, reason: Reason.NotHolder });
        return notRun(
          Reason.NotHolder,
          `The backend server lacks the key: ${detail}`,
          MOVE_RETRY_AFTER_MS,
        );
      case ServerOutcome.NotRun:
        log(Event.RequestRejected, { ...fields, reason: Reason.ServerRejected });
        return notRun(Reason.ServerRejected, `The backend server: ${detail}`, MOVE_RETRY_AFTER_MS);
      case ServerOutcome.Unknown: {
        const isLate = now() >= options.deadline;
        const reason = isLate ? Reason.DeadlinePassed : Reason.ServerFailed;
        if (!options.signal.aborted) {
          log(Event.RequestLost, { ...fields, reason });
        }
        return unknown(reason, `The backend server gave no whole answer: ${detail}`);
      }
    }
  }

  /** Rejects queued and future requests; running requests finish. */
  rejectNew(): void {
    this.#isClosed = true;
    this.#gate.close();
  }
}

/** Returns the response to a request that was not admitted. */
export function toRejection(error: AdmissionError): RoutedResponse {
  const reason = error.kind === AdmissionErrorKind.Cancelled ? Reason.Cancelled : Reason.Overloaded;
  return notRun(reason, error.message, error.retryAfterMs);
}

/** Returns the response to a request under which servers ended. */
export function toQuarantineRejection(ms: number): RoutedResponse {
  return notRun(Reason.Quarantined, "Servers ended while they ran this request", ms);
}
