/**
 * Prometheus metrics of one daemon.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Route } from "@bulrushwood/deployment";
import type { ClosedConnection } from "@bulrushwood/http_server";
import type { RequestHead } from "@bulrushwood/protocol";
import type { RoutedResponse } from "@bulrushwood/routing";
import type { StoreCall } from "./counted_store.ts";
import type { RequestStage } from "./request_stage.ts";
import { type ServerResult } from "./server_client.ts";

const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 300, 400, 500, 700, 1_000, 1_500, 2_500];
/** Upper bounds of the histogram of measured by expected costs. */
const COST_RATIO_BUCKETS = [0.25, 0.5, 0.75, 1, 1.5, 2, 4, 8];
/** Time between measurements of the event loop's delay, in milliseconds; each one wakes the process. */
const LOOP_DELAY_INTERVAL_MS = 300;
/** Outcome label of requests that a backend server responded to. */
const RESPONDED = "answered";

/** Sender of a request that a daemon without processor time rejects. */
export enum RequestOrigin {
  Caller = "caller",
  Peer = "peer",
}

/** Sources of the gauges, which are read at each scrape. */
export interface GaugeSources {
  running: () => number;
  waiting: () => number;
  /** Mean service time by which the planner estimates the server's capacity, in milliseconds. */
  serviceMs: () => number;
  /** Infinite while the server names no limit, since a server may name 0. */
  requestLimit: () => number;
  ownKeys: () => number;
  /** Ranges that the own keys are cut into; each one needs a grant of its own. */
  ownRanges: () => number;
  /** Share of callers' requests that are accepted for lack of processor time; 1 while there is enough. */
  acceptedShare: () => number;
  bodyBytes: () => number;
  evacuatedMs: () => number;
  callerConnections: () => number;
  callerConnectionsMax: () => number;
  /** Time for which votes for the tenure are requested, in milliseconds. */
  supportMs: () => number;
  supportedMs: () => number;
  isStoreReachable: () => boolean;
  manifestVersion: () => number;
  reachablePeers: () => number;
}

/** Registry with the counters, histograms and gauges of one daemon. */
export class Metrics {
  readonly registry = new Registry();
  readonly #responses: Counter;
  readonly #latency: Histogram;
  readonly #serverResults: Counter;
  readonly #serverLatency: Histogram;
  readonly #outlasted: Counter;
  readonly #storeCalls: Counter;
  readonly #orderFailures: Counter;
  readonly #cancelled: Counter;
  readonly #transit: Histogram;
  readonly #waits: Histogram;
  readonly #firstRequests: Histogram;
  readonly #unread: Counter;
  readonly #closedConnections: Counter;
  readonly #shed: Counter;
  readonly #refusedBodies: Counter;
  readonly #malformedNotices: Counter;
  readonly #costs: Histogram;
  readonly #cutUnframed: Counter;
  readonly #storeEras: Counter;
  readonly #rewrittenRecords: Counter;

  constructor() {
    const registers = [this.registry];
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: LOOP_DELAY_INTERVAL_MS,
    });
    this.#responses = new Counter({
      name: "bulrushwood_answers_total",
      help: "Answers to callers, by route, outcome and reason",
      labelNames: ["route", "outcome", "reason"],
      registers,
    });
    this.#latency = new Histogram({
      name: "bulrushwood_answer_milliseconds",
      help: "Time from a caller's request to its answer",
      labelNames: ["route", "outcome"],
      buckets: LATENCY_BUCKETS_MS,
      registers,
    });
    this.#serverResults = new Counter({
      name: "bulrushwood_server_results_total",
      help: "What became of requests that were sent to the backend server",
      labelNames: ["route", "outcome"],
      registers,
    });
    this.#serverLatency = new Histogram({
      name: "bulrushwood_server_milliseconds",
      help: "Time from sending a request to the backend server to its answer",
      labelNames: ["route"],
      buckets: LATENCY_BUCKETS_MS,
      registers,
    });
    this.#outlasted = new Counter({
      name: "bulrushwood_outlasted_grants_total",
      help: "Requests that the backend server failed when the grant they began under had ended",
      labelNames: ["route"],
      registers,
    });
    this.#storeCalls = new Counter({
      name: "bulrushwood_store_calls_total",
      help: "Calls of this daemon to the store",
      labelNames: ["call"],
      registers,
    });
    this.#orderFailures = new Counter({
      name: "bulrushwood_order_failures_total",
      help: "Grants and releases that the backend server did not confirm",
      labelNames: ["order"],
      registers,
    });
    this.#cancelled = new Counter({
      name: "bulrushwood_cancelled_requests_total",
      help: "Requests whose callers left, by where the requests waited",
      labelNames: ["stage"],
      registers,
    });
    this.#transit = new Histogram({
      name: "bulrushwood_transit_milliseconds",
      help: "Delay of requests from other daemons beyond the fastest one on the same link",
      buckets: LATENCY_BUCKETS_MS,
      registers,
    });
    this.#waits = new Histogram({
      name: "bulrushwood_work_wait_milliseconds",
      help: "Time for which a request that was read waits until the daemon begins to work on it",
      buckets: LATENCY_BUCKETS_MS,
      registers,
    });
    this.#firstRequests = new Histogram({
      name: "bulrushwood_first_request_milliseconds",
      help: "Time from accepting a caller's connection until its first request is read",
      buckets: LATENCY_BUCKETS_MS,
      registers,
    });
    this.#unread = new Counter({
      name: "bulrushwood_unread_connections_total",
      help: "Connections of callers that closed before a request on them was read",
      registers,
    });
    this.#closedConnections = new Counter({
      name: "bulrushwood_closed_connections_total",
      help: "Connections that the daemon closed since its listener had too many, by what they were",
      labelNames: ["listener", "closed"],
      registers,
    });
    this.#costs = new Histogram({
      name: "bulrushwood_request_cost_ratio",
      help:
        "Measured cost of requests at the backend server, as a multiple of the one that was expected",
      labelNames: ["route"],
      buckets: COST_RATIO_BUCKETS,
      registers,
    });
    this.#cutUnframed = new Counter({
      name: "bulrushwood_cut_unframed_responses_total",
      help: "Responses without a length whose connection was reset before they were whole",
      labelNames: ["route"],
      registers,
    });
    this.#storeEras = new Counter({
      name: "bulrushwood_store_eras_total",
      help: "Times that the store came back from an older copy",
      registers,
    });
    this.#rewrittenRecords = new Counter({
      name: "bulrushwood_rewritten_records_total",
      help:
        "Records that this daemon wrote to the store again after it came back from an older copy",
      registers,
    });
    this.#malformedNotices = new Counter({
      name: "bulrushwood_malformed_notices_total",
      help: "Responses of the backend server whose load or request limit cannot be read",
      registers,
    });
    this.#refusedBodies = new Counter({
      name: "bulrushwood_refused_bodies_total",
      help: "Bodies of requests and responses that the daemon's memory for bodies had no room for",
      registers,
    });
    this.#shed = new Counter({
      name: "bulrushwood_shed_requests_total",
      help: "Requests that the daemon rejected for lack of processor time, by who sent them",
      labelNames: ["origin", "priority"],
      registers,
    });
  }

  /** Records the time for which a request waited until the daemon began to work on it. */
  recordWait(ms: number): void {
    this.#waits.observe(ms);
  }

  /** Records the time from accepting a connection until its first request was read. */
  recordFirstRequest(ms: number): void {
    this.#firstRequests.observe(ms);
  }

  /** Counts a connection that closed before a request on it was read. */
  recordUnread(): void {
    this.#unread.inc();
  }

  /** Counts connections that were closed since a listener had too many. */
  recordClosedConnections(listener: string, closed: ClosedConnection, count: number): void {
    this.#closedConnections.inc({ listener, closed }, count);
  }

  /** Counts a request that was rejected for lack of processor time. */
  recordShed(origin: RequestOrigin, priority: number): void {
    this.#shed.inc({ origin, priority });
  }

  /** Records what a request cost and what was expected, in milliseconds. */
  recordCost(head: RequestHead, costs: { measuredMs: number; expectedMs: number }): void {
    const { measuredMs, expectedMs } = costs;
    this.#costs.observe({ route: head.workClass }, measuredMs / Math.max(1, expectedMs));
  }

  /** Counts a response without a length whose connection was reset before it was whole. */
  recordCutUnframed(head: RequestHead): void {
    this.#cutUnframed.inc({ route: head.workClass });
  }

  /** Counts an era of the store that began while this daemon ran, and the records that it has written again. */
  recordStoreRecovery({ rewritten, isStart }: { rewritten: number; isStart: boolean }): void {
    this.#storeEras.inc(isStart ? 0 : 1);
    this.#rewrittenRecords.inc(rewritten);
  }

  /** Counts a response of the backend server whose load or request limit cannot be read. */
  recordMalformedNotice(): void {
    this.#malformedNotices.inc();
  }

  /** Counts a body that was refused for lack of memory. */
  recordRefusedBody(): void {
    this.#refusedBodies.inc();
  }

  /** Counts a request whose caller left while it waited here. */
  recordCancelled(stage: RequestStage): void {
    this.#cancelled.inc({ stage });
  }

  /** Records the time that a forwarded request took from its ingress to here. */
  recordTransit(ms: number): void {
    this.#transit.observe(ms);
  }

  /** Counts a response to a caller and its latency. */
  recordResponse(route: Route, response: RoutedResponse, ms: number): void {
    const outcome = response.head.outcome ?? RESPONDED;
    this.#responses.inc({ route: route.name, outcome, reason: response.head.reason ?? "" });
    this.#latency.observe({ route: route.name, outcome }, ms);
  }

  /** Counts a request that was sent to the backend server and its latency. */
  recordServerResult(head: RequestHead, result: ServerResult, ms: number): void {
    this.#serverResults.inc({ route: head.workClass, outcome: result.outcome });
    this.#serverLatency.observe({ route: head.workClass }, ms);
  }

  /** Counts a request that failed when the grant under which it began had ended. */
  recordOutlasted(head: RequestHead): void {
    this.#outlasted.inc({ route: head.workClass });
  }

  /** Counts a call to the store. */
  recordStoreCall(call: StoreCall): void {
    this.#storeCalls.inc({ call });
  }

  /** Counts a grant or release that the backend server did not confirm. */
  recordOrderFailure(order: string): void {
    this.#orderFailures.inc({ order });
  }

  /** Registers the gauges. */
  addGauges(sources: GaugeSources): void {
    const gauges: [string, string, () => number][] = [
      ["running_requests", "Requests that run at the backend server", sources.running],
      ["waiting_requests", "Requests that wait for the backend server", sources.waiting],
      [
        "service_milliseconds",
        "Mean service time by which the planner estimates the backend server's capacity",
        sources.serviceMs,
      ],
      ["request_limit", "Requests a second that the backend server accepts", sources.requestLimit],
      ["own_keys", "Keys that the backend server beside this daemon owns", sources.ownKeys],
      [
        "own_ranges",
        "Ranges that these keys are cut into; each has a grant of its own",
        sources.ownRanges,
      ],
      [
        "accepted_share",
        "Share of requests that are not rejected for lack of processor time",
        sources.acceptedShare,
      ],
      [
        "evacuated_milliseconds",
        "Time for which the data centre has been evacuated; 0 if it is not",
        sources.evacuatedMs,
      ],
      ["body_bytes", "Memory that the bodies of open requests take", sources.bodyBytes],
      ["caller_connections", "Open connections of callers", sources.callerConnections],
      [
        "caller_connections_max",
        "Connections of callers that may be open",
        sources.callerConnectionsMax,
      ],
      ["lease_milliseconds", "Time for which grants may still be extended", sources.supportedMs],
      [
        "vote_milliseconds",
        "Time for which votes for the tenure are requested",
        sources.supportMs,
      ],
      ["store_reachable", "1 while the store answers", () => Number(sources.isStoreReachable())],
      ["manifest_version", "Version of the manifest in force", sources.manifestVersion],
      ["peers_heard", "Daemons that were heard lately", sources.reachablePeers],
    ];
    for (const [name, help, read] of gauges) {
      this.#addGauge(`bulrushwood_${name}`, help, read);
    }
  }

  #addGauge(name: string, help: string, read: () => number): void {
    const collect = function (this: Gauge) {
      this.set(read());
    };
    new Gauge({ name, help, registers: [this.registry], collect });
  }
}
