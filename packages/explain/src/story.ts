/**
 * Puts the lines about one request in order of time, with what happened around it and what its decisions
 * rested on.
 */
import { Result } from "true-myth";
import { type ClockDifference, estimateClocks, isIngressLine } from "./clocks.ts";
import { LineError, type LogLine } from "./log_line.ts";

/** Events so long before a request may explain it, in milliseconds. */
const BEFORE_MS = 3_000;
/** Events so long after a request may still explain it, since some are noticed late, in milliseconds. */
const AFTER_MS = 1_000;

/** Events about an instance or the store that can explain what became of a request; docs/OPERATIONS.md has them. */
export const TELLING: ReadonlySet<string> = new Set([
  "keys-moved",
  "keys-given",
  "keys-assigned",
  "tenure-sealed",
  "order-failed",
  "server-reported",
  "server-lost",
  "server-back",
  "store-lost",
  "store-reachable",
  "suspended",
  "started",
  "stopping",
  "stopped",
  "manifest-applied",
  "task-failed",
]);

/** One thing that happened. */
export interface Step {
  /** Since the request's arrival, in milliseconds, by the clock of the instance that took it. */
  atMs: number;
  instance: string;
  event: string;
  fields: Record<string, unknown>;
  /** Whether it is about the request itself, rather than around it. */
  isOwn: boolean;
}

/** What a decision rested on, at the instance that took the request. */
export interface Inputs {
  /** Version of the manifest in force; undefined where no line tells. */
  manifestVersion: unknown;
  /** How long it had been in force, in milliseconds. */
  manifestAgeMs: number | undefined;
  /** How long before the request's arrival keys last changed their owner anywhere, in milliseconds. */
  ownersAgeMs: number | undefined;
}

/** One request's story. */
export interface Story {
  id: string;
  /** When it arrived, by the clock of the instance that took it, in milliseconds since 1970. */
  arrivedAt: number;
  /** The instance that took it; where none tells, the one with the first line. */
  ingress: string;
  steps: Step[];
  inputs: Inputs;
  clocks: ClockDifference[];
}

/** Tells the story of a request from the lines of all instances, in any order. */
export function tellStory(id: string, lines: LogLine[]): Result<Story, LineError> {
  const own = lines.filter((line) => line.id === id);
  if (own.length === 0) {
    const message =
      `None of ${lines.length} lines names request ${id}. Answered requests are not ` +
      "logged; else give the logs of all instances, from the time of the request";
    return Result.err(new LineError(message));
  }
  const first = own.filter(isIngressLine).sort((one, other) => startOf(one) - startOf(other))[0];
  const reference = first ?? own.toSorted((one, other) => one.at - other.at)[0];
  const clocks = estimateClocks(lines, reference.instance);
  const addMsOf = new Map(clocks.map(({ instance, addMs }) => [instance, addMs]));
  const arrivedAt = startOf(reference);
  const steps = lines
    .map((line): Step => ({
      atMs: line.at + (addMsOf.get(line.instance) ?? 0) - arrivedAt,
      instance: line.instance,
      event: line.event,
      fields: line.fields,
      isOwn: line.id === id,
    }))
    .sort((one, other) => one.atMs - other.atMs);
  const endMs = Math.max(...steps.filter(({ isOwn }) => isOwn).map(({ atMs }) => atMs));
  const isNear = ({ atMs, event }: Step) =>
    TELLING.has(event) && atMs >= -BEFORE_MS && atMs <= endMs + AFTER_MS;
  return Result.ok({
    id,
    arrivedAt,
    ingress: reference.instance,
    steps: steps.filter((step) => step.isOwn || isNear(step)),
    inputs: readInputs(steps, reference.instance),
    clocks,
  });
}

/** When the request of a line arrived; the line's own time where it does not tell. */
function startOf({ at, fields }: LogLine): number {
  return typeof fields.ms === "number" ? at - fields.ms : at;
}

function readInputs(steps: Step[], ingress: string): Inputs {
  const before = steps.filter(({ atMs }) => atMs <= 0);
  const manifest = before.findLast(({ instance, event }) =>
    instance === ingress && event === "manifest-applied"
  );
  const owners = before.findLast(({ event }) =>
    event === "keys-given" || event === "keys-assigned"
  );
  return {
    manifestVersion: manifest?.fields.version,
    manifestAgeMs: manifest && -manifest.atMs,
    ownersAgeMs: owners && -owners.atMs,
  };
}
