/**
 * Forwards one request to the daemon that may run it: tries the candidates in order, waits while the key
 * changes its owner, and resends only requests that did not run or that the operators declare idempotent.
 */
import { Outcome } from "@bulrushwood/types";
import type { Address, Clock, Sleep } from "@bulrushwood/types";
import { Reason } from "@bulrushwood/protocol";
import { notRun, type RoutedResponse, unknown } from "./response.ts";
import type { RetryBudget } from "./retry_budget.ts";

const BACKOFF_MIN_MS = 5;
const BACKOFF_MAX_MS = 80;

/** Daemons to try for a request, the most likely owner first. */
export interface Target {
  group: number;
  move: number;
  candidates: Address[];
}

/** Options of `forward`. Times are on this process's clock, in milliseconds. */
export interface ForwardOptions {
  now: Clock;
  sleep: Sleep;
  /** Returns a random number from 0 to 1. */
  random: () => number;
  /** Returns the current target, or undefined while there is none. */
  findTarget: () => Target | undefined;
  /** Makes one attempt; `count` is its index, from 0. */
  attempt: (address: Address, target: Target, count: number) => Promise<RoutedResponse>;
  /** Whether the whole body is still available, so that the request can be sent again. */
  canResend: () => boolean;
  idempotent: boolean;
  budget: RetryBudget;
  deadline: number;
  /** Longest time to search for a daemon that holds the key. */
  searchMs: number;
  signal: AbortSignal;
  /** Called with the daemon that passed on the backend server's response. */
  onServed?: (target: Target, by: Address) => void;
}

/** Reasons after which another candidate, or the same one after a backoff, may serve the request. */
const CONTINUE_REASONS = new Set<Reason | undefined>([
  Reason.NotHolder,
  Reason.Draining,
  Reason.LinkBroken,
  Reason.ServerFailed,
]);

enum Decision {
  Final = "final",
  Continue = "continue",
}

/** Makes attempts until one returns a final response, the search time runs out or the caller cancels. */
export async function forward(options: ForwardOptions): Promise<RoutedResponse> {
  const { now, deadline } = options;
  const isLate = now() >= deadline;
  const searchUntil = Math.min(deadline, now() + options.searchMs);
  let backoffMs = BACKOFF_MIN_MS;
  let last: RoutedResponse | undefined;
  let mayHaveRun = false;
  let attempts = 0;
  options.budget.recordRequest();
  while (!options.signal.aborted) {
    const target = options.findTarget();
    for (const address of target?.candidates ?? []) {
      last = await options.attempt(address, target!, attempts);
      attempts++;
      if (decide(last, options) === Decision.Final) {
        recordServed(last, target!, address, options);
        return finalResponse(last, mayHaveRun);
      }
      mayHaveRun ||= last.head.outcome === Outcome.Unknown;
      if (options.signal.aborted) {
        break;
      }
    }
    if (now() + backoffMs >= searchUntil) {
      return finalResponse(endSearch(last, isLate), mayHaveRun);
    }
    await options.sleep(backoffMs * (0.5 + options.random()), options.signal);
    backoffMs = Math.min(backoffMs * 2, BACKOFF_MAX_MS);
  }
  return finalResponse(notRun(Reason.Cancelled, "The caller cancelled the request"), mayHaveRun);
}

/** Turns `not-run` into `unknown` where an earlier attempt of the request may have run. */
function finalResponse(response: RoutedResponse, mayHaveRun: boolean): RoutedResponse {
  if (response.head.outcome !== Outcome.NotRun || !mayHaveRun) {
    return response;
  }
  const { reason, detail } = response.head;
  return unknown(reason!, `An earlier attempt may have run; the last one did not: ${detail}`);
}

function recordServed(
  response: RoutedResponse,
  target: Target,
  by: Address,
  options: ForwardOptions,
): void {
  if (response.head.outcome === undefined) {
    options.onServed?.(target, by);
  }
}

function decide(response: RoutedResponse, options: ForwardOptions): Decision {
  const { outcome, reason } = response.head;
  if (outcome === undefined || !CONTINUE_REASONS.has(reason) || !options.canResend()) {
    return Decision.Final;
  }
  if (outcome === Outcome.NotRun) {
    return Decision.Continue;
  }
  const mayRetry = options.idempotent && options.now() < options.deadline;
  return mayRetry && options.budget.take() ? Decision.Continue : Decision.Final;
}

/**
 * Returns the response for a search that ran out of time. Where the last candidate did not hold the key, the
 * reason is `no-holder` even if the search lasted until the deadline, since that says more than
 * `deadline-passed`.
 */
function endSearch(last: RoutedResponse | undefined, isLate: boolean): RoutedResponse {
  const isRejection = last === undefined || last.head.reason === Reason.NotHolder;
  return isRejection ? searchFailed(isLate) : last;
}

function searchFailed(isLate: boolean): RoutedResponse {
  if (isLate) {
    return notRun(
      Reason.DeadlinePassed,
      "The deadline passed before the request ran",
    );
  }
  return notRun(
    Reason.NoHolder,
    "No daemon holds the key at the moment",
    BACKOFF_MAX_MS,
  );
}

/** Makes the response for a request whose holder became unreachable, so that its outcome is unknown. */
export function holderUnreachable(detail: string): RoutedResponse {
  return unknown(Reason.LinkBroken, detail);
}
