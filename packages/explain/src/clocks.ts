/**
 * Estimates the differences between the clocks of instances. The ingress of a request logs when the request ended
 * and how long it took; other instances wrote their lines about the request in between. Each request bounds the
 * difference, and all requests together bound it closely. A caller may have retried elsewhere with the same id and
 * got a response there, which is not logged, so the difference that is consistent with most requests counts.
 */
import type { LogLine } from "./log_line.ts";

/** Estimated difference of one instance's clock from that of a reference instance. */
export interface ClockDifference {
  instance: string;
  /** Correction to add to the instance's times, in milliseconds; 0 where the clocks may agree or no line bounds it. */
  addMs: number;
  /** Largest possible error of the correction, in milliseconds; undefined where it is unbounded. */
  withinMs: number | undefined;
}

/** Number of requests that must show a difference before it counts. */
const REQUESTS_MIN = 3;
/** Tolerance for the rounding of times in log lines, in milliseconds. */
const ROUNDING_MS = 2;

/** Interval of the possible corrections, in milliseconds. */
interface Bounds {
  least: number;
  most: number;
}

/** Whether the ingress wrote the line, which then has the request's duration and route. */
export function isIngressLine({ fields }: LogLine): boolean {
  return typeof fields.ms === "number" && typeof fields.route === "string";
}

/** Reasons of rejections that only the owner sends. */
const OWNER_REASONS = new Set(["not-holder", "server-refused", "overloaded", "draining"]);

/** Whether the ingress passed on a rejection from the owner. */
function isOwnerRejection({ event, fields }: LogLine): boolean {
  return event === "request-refused" && OWNER_REASONS.has(String(fields.reason));
}

/** Estimates the difference from the clock of `reference` for every instance in the lines. */
export function estimateClocks(lines: LogLine[], reference: string): ClockDifference[] {
  const edges = boundPairs(lines);
  const boundsOf = new Map<string, Bounds>([[reference, { least: 0, most: 0 }]]);
  // The loop also visits the entries that it adds, so instances that share no request with the reference are
  // compared through others.
  for (const instance of boundsOf.keys()) {
    const base = boundsOf.get(instance)!;
    for (const [other, bounds] of edges.get(instance) ?? []) {
      if (!boundsOf.has(other)) {
        boundsOf.set(other, { least: base.least + bounds.least, most: base.most + bounds.most });
      }
    }
  }
  return [...new Set(lines.map(({ instance }) => instance))].sort().map((instance) => {
    const bounds = boundsOf.get(instance);
    return bounds === undefined
      ? { instance, addMs: 0, withinMs: undefined }
      : { instance, ...chooseCorrection(bounds) };
  });
}

/** Chooses zero where it is possible, since clocks mostly agree; otherwise the middle, or the only finite end. */
function chooseCorrection({ least, most }: Bounds): Omit<ClockDifference, "instance"> {
  const isZeroPossible = least <= 0 && most >= 0;
  const ends = [least, most].filter(Number.isFinite);
  const addMs = isZeroPossible ? 0 : ends.reduce((sum, end) => sum + end, 0) / ends.length;
  const withinMs = Math.max(most - addMs, addMs - least, 0);
  return { addMs, withinMs: Number.isFinite(withinMs) ? withinMs : undefined };
}

/**
 * Returns the interval that is consistent with the most requests, preferring one around zero; undefined when too few
 * requests agree.
 */
function intersectMost(all: Bounds[]): Bounds | undefined {
  const containing = (point: number) =>
    all.filter(({ least, most }) => least <= point && point <= most);
  const points = [0, ...all.map(({ least }) => least)];
  const best = points.map(containing).reduce((chosen, next) =>
    next.length > chosen.length ? next : chosen
  );
  if (best.length < REQUESTS_MIN && containing(0).length === 0) {
    return undefined;
  }
  return {
    least: Math.max(...best.map(({ least }) => least)),
    most: Math.min(...best.map(({ most }) => most)),
  };
}

/** Bounds the correction of the second instance's times, for each two instances that logged the same requests. */
function boundPairs(lines: LogLine[]): Map<string, Map<string, Bounds>> {
  const pairs = new Map<string, Map<string, Bounds[]>>();
  const addBounds = (from: string, to: string, bounds: Bounds) => {
    const ofPair = pairs.get(from) ?? new Map<string, Bounds[]>();
    ofPair.set(to, [...ofPair.get(to) ?? [], bounds]);
    pairs.set(from, ofPair);
  };
  for (const ofRequest of byRequest(lines).values()) {
    const ingress = ofRequest.filter(isIngressLine);
    // After a retry a request has several ingress lines, and other lines cannot be matched to one of them.
    if (ingress.length !== 1) {
      continue;
    }
    const [{ instance, at, fields }] = ingress;
    for (const line of ofRequest.filter((other) => other.instance !== instance)) {
      const least = at - (fields.ms as number) - line.at - ROUNDING_MS;
      // An owner may continue and log after the ingress timed out; only its own rejection certainly came before.
      const most = isOwnerRejection(ingress[0]) ? at - line.at + ROUNDING_MS : Infinity;
      addBounds(instance, line.instance, { least, most });
      addBounds(line.instance, instance, { least: -most, most: -least });
    }
  }
  const combine = (of: Map<string, Bounds[]>) =>
    new Map(
      [...of].flatMap(([other, all]) => {
        const best = intersectMost(all);
        return best === undefined ? [] : [[other, best] as const];
      }),
    );
  return new Map([...pairs].map(([instance, of]) => [instance, combine(of)]));
}

function byRequest(lines: LogLine[]): Map<string, LogLine[]> {
  const groups = new Map<string, LogLine[]>();
  for (const line of lines) {
    if (line.id !== undefined) {
      const group = groups.get(line.id) ?? [];
      group.push(line);
      groups.set(line.id, group);
    }
  }
  return groups;
}
