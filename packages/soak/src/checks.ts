/**
 * Checks of the requests of a soak, from what callers and backend servers saw.
 */
import type { Finding, History } from "./history.ts";
import { Rule } from "./history.ts";
import { BOUNDS } from "./machine.ts";
import {
  probedVersion,
  ROUTE_TIMEOUT_MS,
  RoutePrefix,
  SERVICE_OF,
  type WrittenVersion,
} from "./manifests.ts";
import { Ending, type Requests, type Run, RunEnding, type SentRequest } from "./requests.ts";
import { readRunBody } from "./backend_server.ts";

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
/** Part of a request's time after which a cut counts as the end of its time. */
const TIME_USED_SHARE = 0.9;
/** Part of the time to stop after which work that still runs may be cut. */
const STOP_USED_SHARE = 5 / 6;

/** Endings in which the connection closed without a response. */
const CLOSED_ENDINGS = [Ending.Closed, Ending.Reset, Ending.Unread];

/** What the checks compare. */
export interface Observed {
  history: History;
  requests: Requests;
  versions: WrittenVersion[];
}

type Check = (request: SentRequest, observed: Observed) => string | undefined;

function isSuccess({ status }: SentRequest): boolean {
  return status >= 200 && status < 300;
}

/** Returns the machines that a request passed: the caller's, and those of the servers that ran it. */
function machinesOf(request: SentRequest, runs: Run[]): string[] {
  return [...new Set([request.machine, ...runs.map(({ machine }) => machine)])];
}

/** Returns whether a disruption excuses a request; one that never ran may have been on its way to any machine. */
function isExcused(request: SentRequest, { history, requests }: Observed): boolean {
  const runs = requests.runsOf(request.id);
  const from = request.sentAt - BOUNDS.stableWindowMs;
  const machines = runs.length === 0 ? undefined : machinesOf(request, runs);
  return history.isDisrupted(machines, from, request.endedAt);
}

function hasUsedItsTime(request: SentRequest): boolean {
  const timeMs = Math.min(request.deadlineMs, ROUTE_TIMEOUT_MS);
  return request.endedAt - request.sentAt >= TIME_USED_SHARE * timeMs;
}

/** Returns whether a run was still at work when the time to stop of a machine was almost used up. */
function outlastsStop(run: Run, { history }: Observed): boolean {
  return history.events.some(({ at, what }) =>
    (what === "SIGTERM" || what === "SIGINT") &&
    run.startedAt < at + BOUNDS.shutdownMs &&
    run.endedAt > at + STOP_USED_SHARE * BOUNDS.shutdownMs &&
    run.endedAt < at + BOUNDS.shutdownMs + BOUNDS.stableWindowMs
  );
}

/** A request that was read ended with a closed connection. */
function checkLost(request: SentRequest, observed: Observed): string | undefined {
  if (!CLOSED_ENDINGS.includes(request.ending)) {
    return undefined;
  }
  const runs = observed.requests.runsOf(request.id);
  const wasRead = request.ending === Ending.Closed && request.wholeAt !== undefined &&
    request.endedAt > request.wholeAt + BOUNDS.lossSlackMs &&
    observed.history.isTimed(request.sentAt, request.endedAt);
  const isAllowed = hasUsedItsTime(request) ||
    runs.some(({ ending }) => ending === RunEnding.Crashed) ||
    runs.some((run) => outlastsStop(run, observed)) || isExcused(request, observed);
  if (isAllowed || (runs.length === 0 && !wasRead)) {
    return undefined;
  }
  return runs.length > 0 ? "ran, and its connection closed" : "was read, and its connection closed";
}

/** A request got no response long after its time was used up. */
function checkGivenUp(request: SentRequest, observed: Observed): string | undefined {
  const isTimed = observed.history.isTimed(request.sentAt, request.endedAt);
  return request.ending === Ending.GivenUp && isTimed && !isExcused(request, observed)
    ? "got no response"
    : undefined;
}

function checkRepeatedRun(request: SentRequest, { requests }: Observed): string | undefined {
  const runs = requests.runsOf(request.id);
  return request.isOnce && runs.length > 1 ? `ran ${runs.length} times` : undefined;
}

function checkNotRun(request: SentRequest, { requests }: Observed): string | undefined {
  const isPromised = request.isOnce && NOT_RUN_STATUSES.includes(request.status);
  const hasRun = requests.runsOf(request.id).length > 0;
  return isPromised && hasRun ? `got status ${request.status}, and ran` : undefined;
}

function serviceOf(path: string): string {
  const prefix = Object.values(RoutePrefix).find((each) => path.startsWith(each));
  return SERVICE_OF[prefix ?? RoutePrefix.Tariffs];
}

function checkResponse(request: SentRequest): string | undefined {
  if (request.ending !== Ending.Answered) {
    return undefined;
  }
  if (request.answerId !== undefined && request.answerId !== request.id) {
    return `got the response of the request ${request.answerId}`;
  }
  if (!isSuccess(request)) {
    return undefined;
  }
  const run = readRunBody(request.body ?? "");
  if (run === undefined || !request.hasOriginMarker) {
    return `got a success that is not a server's whole response: ${request.body?.slice(0, 80)}`;
  }
  return run.id !== request.id ? `got the body of the request ${run.id}` : undefined;
}

function checkService(request: SentRequest, { requests }: Observed): string | undefined {
  const expected = serviceOf(request.path);
  const other = requests.runsOf(request.id).find(({ service }) => service !== expected);
  return other === undefined ? undefined : `ran at ${other.server} of the service ${other.service}`;
}

/** Returns whether a version may be in force for a request. */
function mayBeInForce(version: number, request: SentRequest, versions: WrittenVersion[]): boolean {
  const index = versions.findIndex((each) => each.version === version);
  const next = versions[index + 1];
  return index >= 0 && versions[index].writtenAt <= request.endedAt &&
    (next === undefined || next.ackedAt + BOUNDS.configApplyMs >= request.sentAt);
}

/** A probe got the response of a version that is no longer, or not yet, in force. */
function checkVersion(request: SentRequest, observed: Observed): string | undefined {
  const version = probedVersion(request.path);
  const { versions, history } = observed;
  const isHandled = isSuccess(request) || request.status === 404;
  const from = request.sentAt - BOUNDS.stableWindowMs;
  if (
    version === undefined || !isHandled || !history.isTimed(from, request.endedAt) ||
    history.isOutOfTouch(request.machine, from, request.endedAt)
  ) {
    return undefined;
  }
  const others = versions.filter((each) => each.version !== version);
  const isAllowed = isSuccess(request)
    ? mayBeInForce(version, request, versions)
    : others.some((each) => mayBeInForce(each.version, request, versions));
  return isAllowed ? undefined : `probe of version ${version} got status ${request.status}`;
}

const CHECKS: { rule: Rule; check: Check }[] = [
  { rule: Rule.Lost, check: checkLost },
  { rule: Rule.Lost, check: checkGivenUp },
  { rule: Rule.Route, check: checkRepeatedRun },
  { rule: Rule.Route, check: checkNotRun },
  { rule: Rule.Route, check: checkResponse },
  { rule: Rule.Route, check: checkService },
  { rule: Rule.Config, check: checkVersion },
];

/** Finds runs that began past the drain time after the leave of their server was acknowledged. */
function findLateRuns({ history, requests }: Observed): Finding[] {
  return requests.sent.flatMap((request) =>
    requests.runsOf(request.id).flatMap((run) => {
      const ackAt = history.leaveAcks.get(run.server);
      // After its caller's end, a request was on its way for long: to a stand-in that lacked processor time.
      const isLate = ackAt !== undefined && run.startedAt <= request.endedAt &&
        run.startedAt > ackAt + BOUNDS.drainMs + history.stalledMs(ackAt, run.startedAt);
      const machines = [request.machine, run.machine];
      if (!isLate || history.isDisrupted(machines, run.startedAt, run.startedAt)) {
        return [];
      }
      const ms = Math.round(run.startedAt - ackAt);
      const detail = `reached a server ${ms} ms after the acknowledgement of its leave`;
      return [createFinding(Rule.Drain, request, detail, [run])];
    })
  );
}

/** Finds runs that began past the bound of an evacuation. */
function findRunsInEvacuations({ history, requests }: Observed): Finding[] {
  return requests.sent.flatMap((request) =>
    requests.runsOf(request.id).flatMap((run) => {
      const evacuation = history.evacuations.find(({ machines, from, until }) =>
        machines.includes(run.machine) && run.startedAt < until &&
        run.startedAt > from + BOUNDS.evacuationMs + history.stalledMs(from, run.startedAt)
      );
      const since = run.startedAt - BOUNDS.stableWindowMs - BOUNDS.evacuationMs;
      if (evacuation === undefined || history.isOutOfTouch(run.machine, since, run.startedAt)) {
        return [];
      }
      const ms = Math.round(run.startedAt - evacuation.from);
      const detail = `reached a server ${ms} ms after the evacuation of its data centre`;
      return [createFinding(Rule.Evacuation, request, detail, [run])];
    })
  );
}

/** Finds probes that a daemon answered by an older version than one whose effect was seen there before. */
function findRegressions({ history, requests, versions }: Observed): Finding[] {
  const findings: Finding[] = [];
  const probes = requests.sent.filter((request) =>
    probedVersion(request.path) !== undefined && isSuccess(request)
  );
  const seen = [...probes].sort((one, other) => one.endedAt - other.endedAt);
  for (const probe of probes) {
    const startedAt = history.events.findLast(({ at, machine, what }) =>
      machine === probe.machine && what.startsWith("start") && at <= probe.sentAt
    )?.at ?? 0;
    const newer = seen.find((other) =>
      other.machine === probe.machine && other.sentAt >= startedAt &&
      other.endedAt + BOUNDS.revertSlackMs < probe.sentAt &&
      probedVersion(other.path)! > probedVersion(probe.path)!
    );
    const from = probe.sentAt - BOUNDS.stableWindowMs;
    if (newer !== undefined && !history.isOutOfTouch(probe.machine, from, probe.endedAt)) {
      const detail = `${probe.path} was served after ${newer.path}, of ${versions.length} versions`;
      findings.push(createFinding(Rule.Config, probe, detail));
    }
  }
  return findings;
}

function createFinding(
  rule: Rule,
  request: SentRequest,
  detail: string,
  runs: Run[] = [],
): Finding {
  const { id, kind, machine, path, detail: reason, sentAt, endedAt } = request;
  const ms = Math.round(endedAt - sentAt);
  const ran = runs.map((run) =>
    `at ${run.server} after ${Math.round(run.startedAt - sentAt)} ms: ${run.ending}`
  );
  return {
    rule,
    at: endedAt,
    machines: machinesOf(request, runs),
    detail: `${kind} ${id} ${path} at ${machine} ${detail} after ${ms} ms ${reason}; runs: ${
      ran.join(", ") || "none"
    }`,
  };
}

/** Checks all requests; returns what breaks a rule. */
export function checkRequests(observed: Observed): Finding[] {
  const found = observed.requests.sent.flatMap((request) =>
    CHECKS.flatMap(({ rule, check }) => {
      const detail = check(request, observed);
      const runs = observed.requests.runsOf(request.id);
      return detail === undefined ? [] : [createFinding(rule, request, detail, runs)];
    })
  );
  return [
    ...found,
    ...findRegressions(observed),
    ...findLateRuns(observed),
    ...findRunsInEvacuations(observed),
  ];
}
