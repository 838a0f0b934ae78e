/**
 * Open-loop load: requests start on schedule and do not wait for earlier responses. Latency counts from the intended
 * start, so that a stall shows in every request that it delays.
 */
import { Agent } from "node:http";
import { build, type Histogram } from "hdr-histogram-js";
import { type CallerOutcome, CallerOutcomeKind, sendRequest } from "@bulrushwood/sessions";
import { now, type Random, sleep } from "@bulrushwood/types";

const US_PER_MS = 1_000;
const CONNECTIONS_MAX = 256;

/** Request of the load. */
export interface LoadRequest {
  address: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Name under which the outcome is counted. */
  workClass: string;
}

/** Rate, duration and requests of a load. Times are in milliseconds. */
export interface LoadOptions {
  /** Mean number of requests per second; the times between them are random. */
  rate: number;
  durationMs: number;
  /** Returns the next request. */
  next: () => LoadRequest;
  random: Random;
  /** Largest number of open connections to one address. */
  connections?: number;
  /** Called with the outcome of each request; `latencyMs` counts from its intended start. */
  onOutcome?: (request: LoadRequest, outcome: CallerOutcome, latencyMs: number) => void;
}

/** Outcomes of the requests of one class. */
export interface ClassResult {
  workClass: string;
  /** Requests with a complete response of the backend server. */
  answered: number;
  /** Requests that did not run, with refused connections. */
  notRun: number;
  /** Requests that may have run, with reset connections. */
  unknown: number;
  /** Latencies of the responses counted in `answered`, in microseconds from the intended start. */
  latencies: Histogram;
}

/** Outcomes of a load for each class. */
export class LoadResult {
  readonly classes = new Map<string, ClassResult>();

  /** Counts the outcome of one request. */
  count(workClass: string, kind: CallerOutcomeKind, latencyMs: number): void {
    const result = this.classOf(workClass);
    switch (kind) {
      case CallerOutcomeKind.Responded:
        result.answered++;
        result.latencies.recordValue(Math.max(1, Math.round(latencyMs * US_PER_MS)));
        break;
      case CallerOutcomeKind.NotRun:
      case CallerOutcomeKind.Refused:
        result.notRun++;
        break;
      default:
        result.unknown++;
    }
  }

  /** Returns the outcomes of a class; adds an empty entry for a new class. */
  classOf(workClass: string): ClassResult {
    const existing = this.classes.get(workClass);
    if (existing !== undefined) {
      return existing;
    }
    const latencies = build({
      highestTrackableValue: 120_000_000,
      numberOfSignificantValueDigits: 3,
    });
    const result = { workClass, answered: 0, notRun: 0, unknown: 0, latencies };
    this.classes.set(workClass, result);
    return result;
  }

  /** Returns the latency of a class at a percentile, in milliseconds. */
  latencyMs(workClass: string, percentile: number): number {
    return this.classOf(workClass).latencies.getValueAtPercentile(percentile) / US_PER_MS;
  }
}

/** Applies load, and resolves when its time is over and every request has an outcome. */
export async function applyLoad(options: LoadOptions): Promise<LoadResult> {
  const { rate, durationMs, next, random, onOutcome } = options;
  const result = new LoadResult();
  const agent = new Agent({ keepAlive: true, maxSockets: options.connections ?? CONNECTIONS_MAX });
  const pending = new Set<Promise<void>>();
  const startedAt = now();
  let nextStart = startedAt;
  while (nextStart < startedAt + durationMs) {
    const waitMs = nextStart - now();
    if (waitMs > 0.5) {
      await sleep(waitMs);
    }
    while (nextStart <= now() && nextStart < startedAt + durationMs) {
      const request = next();
      const intendedStart = nextStart;
      const completion = sendRequest({ ...request, agent }).then((outcome) => {
        const latencyMs = now() - intendedStart;
        result.count(request.workClass, outcome.kind, latencyMs);
        onOutcome?.(request, outcome, latencyMs);
      });
      pending.add(completion);
      completion.finally(() => pending.delete(completion));
      nextStart += -Math.log(1 - random()) * 1_000 / rate;
    }
  }
  await Promise.all(pending);
  agent.destroy();
  return result;
}
