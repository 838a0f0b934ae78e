/**
 * Compares the outcomes that callers saw with the work that the backend servers recorded.
 */
import { WorkState } from "@bulrushwood/stand_ins";
import { type CallerOutcome, CallerOutcomeKind } from "./caller.ts";
import type { RecordedWork } from "./deployment.ts";

/**
 * Overlap below which two pieces of work count as one after the other, in milliseconds, since records have a
 * resolution of one millisecond.
 */
const CLOCK_GRAIN_MS = 1;

/** Request of a session and its outcome. */
export interface SentRequest {
  /** Identifies the request in its path, as `label=...` in the query. */
  label: string;
  /** Whether the request may run more than once. */
  idempotent: boolean;
  outcome: CallerOutcome;
}

/** Findings of an audit; each list is empty when no guarantee is broken. */
export interface AuditReport {
  requests: number;
  works: number;
  /** Non-idempotent requests that ran more than once. */
  ranTwice: string[];
  /** Requests that ran although their callers got the outcome not-run. */
  falselyNotRun: string[];
  /** Keys that two servers ran work for at the same time. */
  sharedKeys: string[];
  /** Requests whose response belongs to another request. */
  wrongAnswers: string[];
  /** Requests with a complete response that no server ran. */
  answeredNotRun: string[];
}

function labelOf(path: string): string {
  return new URL(path, "http://server").searchParams.get("label") ?? "";
}

function groupBy<Item>(items: Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}

/** Groups work by the label in its path. */
export function groupByLabel(works: RecordedWork[]): Map<string, RecordedWork[]> {
  return groupBy(works, (work) => labelOf(work.path));
}

function endOf(work: RecordedWork): number {
  return work.end === WorkState.Running ? work.startedAt : work.endedAt;
}

/** Returns the names of two servers whose work for one key overlaps, or undefined. */
function findOverlap(works: RecordedWork[]): string | undefined {
  const byStart = [...works].sort((left, right) => left.startedAt - right.startedAt);
  let latest: RecordedWork | undefined;
  for (const work of byStart) {
    const overlaps = latest !== undefined && work.startedAt + CLOCK_GRAIN_MS < endOf(latest);
    if (overlaps && latest!.instance !== work.instance) {
      return `${latest!.instance} and ${work.instance}`;
    }
    if (latest === undefined || endOf(work) > endOf(latest)) {
      latest = work;
    }
  }
  return undefined;
}

function findSharedKeys(works: RecordedWork[]): string[] {
  const shared: string[] = [];
  const keyed = works.filter((work) => work.key !== "" && work.token !== "");
  for (const [key, ofKey] of groupBy(keyed, (work) => work.key)) {
    const overlap = findOverlap(ofKey);
    if (overlap !== undefined) {
      shared.push(`${key}: ${overlap}`);
    }
  }
  return shared;
}

function hasForeignResponse(request: SentRequest): boolean {
  if (request.outcome.kind !== CallerOutcomeKind.Responded) {
    return false;
  }
  try {
    return labelOf(JSON.parse(request.outcome.body).path) !== request.label;
  } catch {
    return true;
  }
}

/** Audits a session, whose requests carry their labels in the query of their paths. */
export function audit(requests: SentRequest[], works: RecordedWork[]): AuditReport {
  const byLabel = groupByLabel(works);
  const worksOf = (request: SentRequest) => byLabel.get(request.label) ?? [];
  const labelsOf = (found: SentRequest[]) => found.map((request) => request.label).sort();
  return {
    requests: requests.length,
    works: works.length,
    ranTwice: labelsOf(requests.filter((sent) => !sent.idempotent && worksOf(sent).length > 1)),
    falselyNotRun: labelsOf(
      requests.filter((sent) =>
        sent.outcome.kind === CallerOutcomeKind.NotRun && worksOf(sent).length > 0
      ),
    ),
    sharedKeys: findSharedKeys(works),
    wrongAnswers: labelsOf(requests.filter(hasForeignResponse)),
    answeredNotRun: labelsOf(
      requests.filter((sent) =>
        sent.outcome.kind === CallerOutcomeKind.Responded && worksOf(sent).length === 0
      ),
    ),
  };
}
