/**
 * Open-loop load: arrivals do not wait for answers, and a latency counts from the intended start, so that
 * a stall is seen by all the requests that it delays.
 */
import { Agent } from "node:http";
import { build, type Histogram } from "hdr-histogram-js";
import { type CallerOutcome, CallerOutcomeKind, sendRequest } from "@bulrushwood/sessions";
import { now, type Random, sleep } from "@bulrushwood/types";

const US_PER_MS = 1_000;
const CONNECTIONS_MAX = 256;

/** One request of the load. */
export interface LoadRequest {
  address: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Name under which the answer is counted. */
  workClass: string;
}

/** How much load, and which. Times are in milliseconds. */
export interface LoadOptions {
  /** Requests a second. */
  rate: number;
  durationMs: number;
  /** Makes the next request. */
  next: () => LoadRequest;
  random: Random;
  /** Connections to open at most. */
  connections?: number;
  /** Called with each answer. */
  onTold?: (request: LoadRequest, told: CallerOutcome, latencyMs: number) => void;
}

/** Counts of what callers of one class were told. */
export interface ClassResult {
  workClass: string;
  answered: number;
  notRun: number;
  unknown: number;
  /** Latencies of answers, in microseconds from the intended start. */
  latencies: Histogram;
}

/** What a load saw. */
export class LoadResult {
  readonly classes = new Map<string, ClassResult>();

  /** Counts one answer. */
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

  /** The counts of a class. */
  classOf(workClass: string): ClassResult {
    const known = this.classes.get(workClass);
    if (known !== undefined) {
      return known;
    }
    const latencies = build({
      highestTrackableValue: 120_000_000,
      numberOfSignificantValueDigits: 3,
    });
    const result = { workClass, answered: 0, notRun: 0, unknown: 0, latencies };
    this.classes.set(workClass, result);
    return result;
  }

  /** Latency of a class at a percentile, in milliseconds. */
  latencyMs(workClass: string, percentile: number): number {
    return this.classOf(workClass).latencies.getValueAtPercentile(percentile) / US_PER_MS;
  }
}

/** Applies load until its time is over and every request is answered. */
export async function applyLoad(options: LoadOptions): Promise<LoadResult> {
  const { rate, durationMs, next, random, onTold } = options;
  const result = new LoadResult();
  const agent = new Agent({ keepAlive: true, maxSockets: options.connections ?? CONNECTIONS_MAX });
  const pending = new Set<Promise<void>>();
  const startedAt = now();
  let intended = startedAt;
  while (intended < startedAt + durationMs) {
    const waitMs = intended - now();
    if (waitMs > 0.5) {
      await sleep(waitMs);
    }
    while (intended <= now() && intended < startedAt + durationMs) {
      const request = next();
      const due = intended;
      const sent = sendRequest({ ...request, agent }).then((told) => {
        const latencyMs = now() - due;
        result.count(request.workClass, told.kind, latencyMs);
        onTold?.(request, told, latencyMs);
      });
      pending.add(sent);
      sent.finally(() => pending.delete(sent));
      intended += -Math.log(1 - random()) * 1_000 / rate;
    }
  }
  await Promise.all(pending);
  agent.destroy();
  return result;
}
