/**
 * Estimates by how much the clocks of instances differ. The instance that takes a request logs when it was
 * over and how long that took; lines of other instances about the request were written in between. Each
 * request bounds the difference, all together bound it closely.
 */
import type { LogLine } from "./log_line.ts";

/** What is known of one instance's clock against that of a reference instance. */
export interface ClockDifference {
  instance: string;
  /** To add to its times, in milliseconds; 0 where its clock may agree or nothing is known. */
  addMs: number;
  /** The difference may be wrong by so much, in milliseconds; undefined where nothing is known. */
  withinMs: number | undefined;
}

interface Bounds {
  least: number;
  most: number;
}

/** A line that the instance wrote which took the request from the caller: it tells how long that took. */
export function isIngressLine({ fields }: LogLine): boolean {
  return typeof fields.ms === "number" && typeof fields.route === "string";
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

/** Zero where it is possible, since clocks mostly agree; else the middle. */
function centre({ least, most }: Bounds): { addMs: number; withinMs: number } {
  const isZeroPossible = least <= 0 && most >= 0;
  const addMs = isZeroPossible ? 0 : (least + most) / 2;
  return { addMs, withinMs: Math.max(most - addMs, addMs - least, 0) };
}

/** For each two instances that logged the same requests, what may be added to the second one's times. */
function boundPairs(lines: LogLine[]): Map<string, Map<string, Bounds>> {
  const pairs = new Map<string, Map<string, Bounds>>();
  const narrow = (from: string, to: string, bounds: Bounds) => {
    const known = pairs.get(from) ?? new Map<string, Bounds>();
    const earlier = known.get(to) ?? { least: -Infinity, most: Infinity };
    known.set(to, {
      least: Math.max(earlier.least, bounds.least),
      most: Math.min(earlier.most, bounds.most),
    });
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
      const least = at - (fields.ms as number) - line.at;
      const most = at - line.at;
      narrow(instance, line.instance, { least, most });
      narrow(line.instance, instance, { least: -most, most: -least });
    }
  }
  return pairs;
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
