/**
 * Metrics of a daemon: response times for each tenant and class, outcomes of requests, and churn
 * and time without an owner by cause.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import { MoveCause } from "@bulrushwood/types";
import type { RequestHead } from "@bulrushwood/protocol";

/**
 * Number of tenants with their own series. Further ones share one, so that callers cannot exhaust
 * memory.
 */
const TENANTS_MAX = 200;
const MS_PER_SECOND = 1_000;
const OTHER_TENANTS = "other";
const DURATION_BUCKETS_S = [
  0.001,
  0.0025,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
  30,
];

/** Outcome of one request, as its caller saw it. */
export interface Observation {
  tenant: string;
  workClass: string;
  /** `answered` for a complete response of the backend server, `not-run` or `unknown` otherwise. */
  outcome: string;
  durationMs: number;
  /** Target of the class, in milliseconds. */
  withinMs: number;
}

/** Counts of the requests of one class since the incarnation started. */
export interface ClassCount {
  workClass: string;
  answered: number;
  withinTarget: number;
  notRun: number;
  unknown: number;
}

/** Time during which shards of a pool had no owner, for one cause. */
export interface UnownedCount {
  pool: string;
  cause: MoveCause;
  /** Milliseconds times shards. */
  amount: number;
}

/** Registry of the metrics of one daemon, with the counts that its status shows. */
export class Metrics {
  readonly registry = new Registry();
  readonly #durations: Histogram;
  readonly #withinTarget: Counter;
  readonly #served: Counter;
  readonly #churn: Counter;
  readonly #unowned: Counter;
  readonly #corruptRecords: Counter;
  readonly #malformed: Counter;
  readonly #tenants = new Set<string>();
  readonly #classes = new Map<string, ClassCount>();
  readonly #gauges: Gauge[] = [];
  readonly #unownedCounts: UnownedCount[] = [];
  #servedCount = 0;

  constructor() {
    const registers = [this.registry];
    collectDefaultMetrics({ register: this.registry });
    this.#durations = new Histogram({
      name: "bulrushwood_request_duration_seconds",
      help: "Time from a caller's request to its whole answer",
      labelNames: ["tenant", "class", "outcome"],
      buckets: DURATION_BUCKETS_S,
      registers,
    });
    this.#withinTarget = new Counter({
      name: "bulrushwood_requests_within_target_total",
      help: "Requests that the backend server answered within the target of their class",
      labelNames: ["class"],
      registers,
    });
    this.#served = new Counter({
      name: "bulrushwood_served_total",
      help: "Requests that the backend server beside this daemon answered",
      labelNames: ["pool"],
      registers,
    });
    this.#churn = new Counter({
      name: "bulrushwood_shards_moved_total",
      help: "Shards that changed their owner, as this daemon read in the log",
      labelNames: ["pool", "cause"],
      registers,
    });
    this.#unowned = new Counter({
      name: "bulrushwood_unavailable_shard_seconds_total",
      help: "Time during which shards of this daemon's groups waited for their owner",
      labelNames: ["pool", "cause"],
      registers,
    });
    this.#corruptRecords = new Counter({
      name: "bulrushwood_log_records_damaged_total",
      help: "Log records that were skipped because they are damaged or unknown",
      registers,
    });
    this.#malformed = new Counter({
      name: "bulrushwood_malformed_total",
      help: "Input that was refused because it is malformed, by where it came from",
      labelNames: ["source"],
      registers,
    });
  }

  /** Adds a gauge whose value is read at each scrape. */
  addGauge(name: string, help: string, options: { read: () => number }): void {
    const collect = function (this: Gauge): void {
      this.set(options.read());
    };
    this.#gauges.push(new Gauge({ name, help, registers: [this.registry], collect }));
  }

  /** Records the outcome and duration of one request. */
  observe(observation: Observation): void {
    const { workClass, outcome, durationMs, withinMs } = observation;
    const tenant = this.#tenantLabel(observation.tenant);
    this.#durations.observe(
      { tenant, class: workClass, outcome },
      durationMs / MS_PER_SECOND,
    );
    const count = this.#countOf(workClass);
    if (outcome === "not-run") {
      count.notRun++;
    } else if (outcome === "unknown") {
      count.unknown++;
    } else {
      count.answered++;
      if (durationMs <= withinMs) {
        count.withinTarget++;
        this.#withinTarget.inc({ class: workClass });
      }
    }
  }

  #tenantLabel(tenant: string): string {
    if (this.#tenants.has(tenant)) {
      return tenant;
    }
    if (this.#tenants.size >= TENANTS_MAX) {
      return OTHER_TENANTS;
    }
    this.#tenants.add(tenant);
    return tenant;
  }

  #countOf(workClass: string): ClassCount {
    const existing = this.#classes.get(workClass);
    if (existing !== undefined) {
      return existing;
    }
    const count = {
      workClass,
      answered: 0,
      withinTarget: 0,
      notRun: 0,
      unknown: 0,
    };
    this.#classes.set(workClass, count);
    return count;
  }

  /** Counts of all classes that have had requests. */
  get classes(): ClassCount[] {
    return [...this.#classes.values()];
  }

  /** Counts a request that the local backend server responded to. */
  countServed(head: RequestHead): void {
    this.#served.inc({ pool: head.pool });
    this.#servedCount++;
  }

  /** Number of requests that the local backend server responded to. */
  get served(): number {
    return this.#servedCount;
  }

  /** Counts shards that changed their owner. */
  countMovedShards(pool: string, cause: MoveCause, shards: number): void {
    this.#churn.inc({ pool, cause }, shards);
  }

  /** Adds time during which shards had no owner, in milliseconds times shards. */
  addUnownedTime(pool: string, cause: MoveCause, shardMs: number): void {
    this.#unowned.inc({ pool, cause }, shardMs / MS_PER_SECOND);
    const existing = this.#unownedCounts.find((count) =>
      count.pool === pool && count.cause === cause
    );
    if (existing === undefined) {
      this.#unownedCounts.push({ pool, cause, amount: shardMs });
    } else {
      existing.amount += shardMs;
    }
  }

  /** Time during which shards had no owner, by pool and cause. */
  get unowned(): UnownedCount[] {
    return this.#unownedCounts;
  }

  /** Counts a log record that was skipped because it is corrupt or unknown. */
  countCorruptRecord(): void {
    this.#corruptRecords.inc();
  }

  /** Counts malformed input that was rejected. */
  countMalformed(source: string): void {
    this.#malformed.inc({ source });
  }
}
