/**
 * Brings one request to the daemon that may run it: tries the candidates, waits out a change of owner,
 * and repeats only what is known not to have run, or what the operators call idempotent.
 */
import { Outcome } from "@bulrushwood/types";
import type { Address, Clock, Sleep } from "@bulrushwood/types";
import { Reason } from "@bulrushwood/protocol";
import { type Answer, notRun, unknown } from "./answer.ts";
import type { RetryBudget } from "./retry_budget.ts";

const BACKOFF_MIN_MS = 5;
const BACKOFF_MAX_MS = 80;

/** Where to send a request, the likeliest address first. */
export interface Target {
  group: number;
  move: number;
  candidates: Address[];
}

/** How to bring a request to its target. Times are on this process's clock, in milliseconds. */
export interface ForwardOptions {
  now: Clock;
  sleep: Sleep;
  /** A random number from 0 to 1. */
  random: () => number;
  /** Finds the target as it is now; undefined while there is none. */
  findTarget: () => Target | undefined;
  /** Makes one attempt, counted from 0; `retriable` is false once its body is gone. */
  attempt: (address: Address, target: Target, count: number) => Promise<Answer>;
  /** Whether the request could be sent once more with its body whole. */
  canRepeat: () => boolean;
  idempotent: boolean;
  budget: RetryBudget;
  deadline: number;
  /** How long to look for a daemon that holds the key. */
  searchMs: number;
  signal: AbortSignal;
  /** Told who answered. */
  onServed?: (target: Target, by: Address) => void;
}

/** Reasons after which another candidate, or the same one a little later, may serve the request. */
const SEARCH_ON = new Set<Reason | undefined>([
  Reason.NotHolder,
  Reason.Draining,
  Reason.LinkBroken,
  Reason.ServerFailed,
]);

enum Verdict {
  Final = "final",
  SearchOn = "search-on",
}

/** Tries until there is an answer, the search is over or the deadline passes. */
export async function forward(options: ForwardOptions): Promise<Answer> {
  const { now, deadline } = options;
  const isLate = now() >= deadline;
  const searchUntil = Math.min(deadline, now() + options.searchMs);
  let backoffMs = BACKOFF_MIN_MS;
  let last: Answer | undefined;
  let mayHaveRun = false;
  let attempts = 0;
  options.budget.noteRequest();
  while (!options.signal.aborted) {
    const target = options.findTarget();
    for (const address of target?.candidates ?? []) {
      last = await options.attempt(address, target!, attempts);
      attempts++;
      if (judge(last, options) === Verdict.Final) {
        noteServed(last, target!, address, options);
        return conclude(last, mayHaveRun);
      }
      mayHaveRun ||= last.head.outcome === Outcome.Unknown;
      if (options.signal.aborted) {
        break;
      }
    }
    if (now() + backoffMs >= searchUntil) {
      return conclude(endSearch(last, isLate), mayHaveRun);
    }
    await options.sleep(backoffMs * (0.5 + options.random()), options.signal);
    backoffMs = Math.min(backoffMs * 2, BACKOFF_MAX_MS);
  }
  return conclude(notRun(Reason.Cancelled, "The caller cancelled the request"), mayHaveRun);
}

/** A request of which an earlier attempt may have run is never said not to have run. */
function conclude(answer: Answer, mayHaveRun: boolean): Answer {
  if (answer.head.outcome !== Outcome.NotRun || !mayHaveRun) {
    return answer;
  }
  const { reason, detail } = answer.head;
  return unknown(reason!, `An earlier attempt may have run; the last one did not: ${detail}`);
}

function noteServed(
  answer: Answer,
  target: Target,
  by: Address,
  options: ForwardOptions,
): void {
  if (answer.head.outcome === undefined) {
    options.onServed?.(target, by);
  }
}

function judge(answer: Answer, options: ForwardOptions): Verdict {
  const { outcome, reason } = answer.head;
  if (outcome === undefined || !SEARCH_ON.has(reason) || !options.canRepeat()) {
    return Verdict.Final;
  }
  if (outcome === Outcome.NotRun) {
    return Verdict.SearchOn;
  }
  const mayRepeat = options.idempotent && options.now() < options.deadline;
  return mayRepeat && options.budget.take() ? Verdict.SearchOn : Verdict.Final;
}

/**
 * A search that ended at a daemon which does not hold the key found no holder, also where it lasted until
 * the deadline: that tells the caller more than that time is up.
 */
function endSearch(last: Answer | undefined, isLate: boolean): Answer {
  const isRefusal = last === undefined || last.head.reason === Reason.NotHolder;
  return isRefusal ? giveUp(isLate) : last;
}

function giveUp(isLate: boolean): Answer {
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

/** Makes the answer for a request whose holder can no longer be asked about it. */
export function lostTrack(detail: string): Answer {
  return unknown(Reason.LinkBroken, detail);
}
