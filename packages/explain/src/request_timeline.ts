/**
 * Builds the timeline of one request: its log lines in order of time, with nearby events that can explain its
 * outcome and the inputs of the decisions about it.
 */
import { Result } from "true-myth";
import { type ClockDifference, estimateClocks, isIngressLine } from "./clocks.ts";
import { LineError, type LogLine } from "./log_line.ts";

/** Time before a request's arrival in which context events count, in milliseconds. */
const CONTEXT_BEFORE_MS = 3_000;
/** Time after a request's last line in which context events count, since some are detected late; in milliseconds. */
const CONTEXT_AFTER_MS = 1_000;

/** Events of an instance or the store that can explain a request's outcome, as listed in docs/OPERATIONS.md. */
export const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
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

/** One event of the timeline. */
export interface Step {
  /** Time since the request's arrival, in milliseconds, by the clock of the ingress. */
  atMs: number;
  instance: string;
  event: string;
  fields: Record<string, unknown>;
  /** Whether the event belongs to the request itself rather than to its context. */
  isOwn: boolean;
}

/** Inputs of the decisions that the ingress made about the request. */
export interface Inputs {
  /** Version of the manifest in force; undefined where no line shows it. */
  manifestVersion: unknown;
  /** Time since the manifest was applied, in milliseconds. */
  manifestAgeMs: number | undefined;
  /** Time from the last change of owner of any keys to the request's arrival, in milliseconds. */
  ownersAgeMs: number | undefined;
}

/** Events of one request and its context, with the inputs of its decisions. */
export interface RequestTimeline {
  id: string;
  /** Arrival by the clock of the ingress, in milliseconds since 1970. */
  arrivedAt: number;
  /** Instance that received the request from the caller; where no line shows it, the one with the first line. */
  ingress: string;
  steps: Step[];
  inputs: Inputs;
  clocks: ClockDifference[];
}

/** Builds the timeline of a request from the lines of all instances, which may be in any order. */
export function buildTimeline(id: string, lines: LogLine[]): Result<RequestTimeline, LineError> {
  const ownLines = lines.filter((line) => line.id === id);
  if (ownLines.length === 0) {
    const message =
      `None of ${lines.length} lines names request ${id}. Requests with a server's response are not ` +
      "logged; otherwise pass the logs of all instances from the time of the request";
    return Result.err(new LineError(message));
  }
  const first =
    ownLines.filter(isIngressLine).sort((one, other) => arrivalOf(one) - arrivalOf(other))[0];
  const reference = first ?? ownLines.toSorted((one, other) => one.at - other.at)[0];
  const clocks = estimateClocks(lines, reference.instance);
  const addMsByInstance = new Map(clocks.map(({ instance, addMs }) => [instance, addMs]));
  const arrivedAt = arrivalOf(reference);
  const steps = lines
    .map((line): Step => ({
      atMs: line.at + (addMsByInstance.get(line.instance) ?? 0) - arrivedAt,
      instance: line.instance,
      event: line.event,
      fields: line.fields,
      isOwn: line.id === id,
    }))
    .sort((one, other) => one.atMs - other.atMs);
  const endMs = Math.max(...steps.filter(({ isOwn }) => isOwn).map(({ atMs }) => atMs));
  const isContext = ({ atMs, event }: Step) =>
    CONTEXT_EVENTS.has(event) && atMs >= -CONTEXT_BEFORE_MS && atMs <= endMs + CONTEXT_AFTER_MS;
  return Result.ok({
    id,
    arrivedAt,
    ingress: reference.instance,
    steps: steps.filter((step) => step.isOwn || isContext(step)),
    inputs: readInputs(steps, reference.instance),
    clocks,
  });
}

/** Returns when the request of a line arrived; the line's own time where it has no duration. */
function arrivalOf({ at, fields }: LogLine): number {
  return typeof fields.ms === "number" ? at - fields.ms : at;
}

function readInputs(steps: Step[], ingress: string): Inputs {
  const earlier = steps.filter(({ atMs }) => atMs <= 0);
  const manifest = earlier.findLast(({ instance, event }) =>
    instance === ingress && event === "manifest-applied"
  );
  const transfer = earlier.findLast(({ event }) =>
    event === "keys-given" || event === "keys-assigned"
  );
  return {
    manifestVersion: manifest?.fields.version,
    manifestAgeMs: manifest && -manifest.atMs,
    ownersAgeMs: transfer && -transfer.atMs,
  };
}
