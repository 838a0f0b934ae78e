/**
 * Estimates by how much the clocks of instances differ. The instance that takes a request logs when it was
 * over and how long that took; lines of other instances about the request were written in between. Each
 * request bounds the difference, all together bound it closely. A caller may have come back with the same id
 * elsewhere and been answered there, which is not logged, so the difference that suits most requests counts.
 */
import type { LogLine } from "./log_line.ts";

/** What is known of one instance's clock against that of a reference instance. */
export interface ClockDifference {
  instance: string;
  /** To add to its times, in milliseconds; 0 where its clock may agree or nothing is known. */
  addMs: number;
  /** The difference may be wrong by so much, in milliseconds; undefined where no bound is known. */
  withinMs: number | undefined;
}

/** A difference counts once so many requests show it. */
const REQUESTS_MIN = 3;
/** Times in lines are rounded, in milliseconds. */
const ROUNDING_MS = 2;

interface Bounds {
  least: number;
  most: number;
}

/** A line that the instance wrote which took the request from the caller: it tells how long that took. */
export function isIngressLine({ fields }: LogLine): boolean {
  return typeof fields.ms === "number" && typeof fields.route === "string";
}

/** Reasons that only the owner's answer gives. */
const OWNERS_REASONS = new Set(["not-holder", "server-refused", "overloaded", "draining"]);

/** Whether the instance that took the request ended it with another's answer. */
function isAnswered({ event, fields }: LogLine): boolean {
  return event === "request-refused" && OWNERS_REASONS.has(String(fields.reason));
}

/** Differences against the clock of `reference`, for all instances that the lines name. */
export function estimateClocks(lines: LogLine[], reference: string): ClockDifference[] {
  const edges = boundPairs(lines);
  const known = new Map<string, Bounds>([[reference, { least: 0, most: 0 }]]);
  // Instances that share no request with the reference are reached over others: the loop goes on with them.
  for (const instance of known.keys()) {
    const base = known.get(instance)!;
    for (const [other, bounds] of edges.get(instance) ?? []) {
      if (!known.has(other)) {
        known.set(other, { least: base.least + bounds.least, most: base.most + bounds.most });
      }
    }
  }
  return [...new Set(lines.map(({ instance }) => instance))].sort().map((instance) => {
    const bounds = known.get(instance);
    return bounds === undefined
      ? { instance, addMs: 0, withinMs: undefined }
      : { instance, ...centre(bounds) };
  });
}

/** Zero where it is possible, since clocks mostly agree; else the middle, or the end where there is one. */
function centre({ least, most }: Bounds): Omit<ClockDifference, "instance"> {
  const isZeroPossible = least <= 0 && most >= 0;
  const ends = [least, most].filter(Number.isFinite);
  const addMs = isZeroPossible ? 0 : ends.reduce((sum, end) => sum + end, 0) / ends.length;
  const withinMs = Math.max(most - addMs, addMs - least, 0);
  return { addMs, withinMs: Number.isFinite(withinMs) ? withinMs : undefined };
}

/** The bounds that suit most of all, or those around zero where as many suit that; undefined for too few. */
function bestOf(all: Bounds[]): Bounds | undefined {
  const commonAt = (point: number) =>
    all.filter(({ least, most }) => least <= point && point <= most);
  const points = [0, ...all.map(({ least }) => least)];
  const best = points.map(commonAt).reduce((chosen, next) =>
    next.length > chosen.length ? next : chosen
  );
  if (best.length < REQUESTS_MIN && commonAt(0).length === 0) {
    return undefined;
  }
  return {
    least: Math.max(...best.map(({ least }) => least)),
    most: Math.min(...best.map(({ most }) => most)),
  };
}

/** For each two instances that logged the same requests, what may be added to the second one's times. */
function boundPairs(lines: LogLine[]): Map<string, Map<string, Bounds>> {
  const pairs = new Map<string, Map<string, Bounds[]>>();
  const note = (from: string, to: string, bounds: Bounds) => {
    const known = pairs.get(from) ?? new Map<string, Bounds[]>();
    known.set(to, [...known.get(to) ?? [], bounds]);
    pairs.set(from, known);
  };
  for (const ofRequest of byRequest(lines).values()) {
    const ingress = ofRequest.filter(isIngressLine);
    // A request that came back has several windows; which one a line belongs to is not known.
    if (ingress.length !== 1) {
      continue;
    }
    const [{ instance, at, fields }] = ingress;
    for (const line of ofRequest.filter((other) => other.instance !== instance)) {
      const least = at - (fields.ms as number) - line.at - ROUNDING_MS;
      // An owner may go on, and log it, after the ingress gave up; only its own refusal surely came before.
      const most = isAnswered(ingress[0]) ? at - line.at + ROUNDING_MS : Infinity;
      note(instance, line.instance, { least, most });
      note(line.instance, instance, { least: -most, most: -least });
    }
  }
  const reduce = (of: Map<string, Bounds[]>) =>
    new Map(
      [...of].flatMap(([other, all]) => {
        const best = bestOf(all);
        return best === undefined ? [] : [[other, best] as const];
      }),
    );
  return new Map([...pairs].map(([instance, of]) => [instance, reduce(of)]));
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
