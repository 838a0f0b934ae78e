/**
 * Responses on their way back to the caller, including those that the system itself makes for requests that
 * the backend server did not respond to.
 */
import type { Buffer } from "node:buffer";
import { Outcome } from "@bulrushwood/types";
import { type Header, Reason, type ResponseHead } from "@bulrushwood/protocol";

const MS_PER_SECOND = 1_000;

/** A response head with its body, which is either complete or streamed. */
export interface RoutedResponse {
  head: ResponseHead;
  /** Iterating a streamed body throws when the rest of it cannot be received. */
  body: Buffer | AsyncIterable<Buffer> | undefined;
}

/** Status that guarantees that the request was not run, so that any caller may send it again. */
const STATUS_NOT_RUN = 503;
/** Status that guarantees nothing. */
const STATUS_UNKNOWN = 502;

/** HTTP status for each reason why the backend server did not respond. */
const STATUS_OF_REASON: Record<Reason, number> = {
  [Reason.NotHolder]: 503,
  [Reason.Draining]: 503,
  [Reason.Overloaded]: 503,
  [Reason.DeadlinePassed]: 504,
  [Reason.ServerFailed]: 502,
  [Reason.ServerRejected]: 503,
  [Reason.Cancelled]: 499,
  [Reason.NoHolder]: 503,
  [Reason.LinkBroken]: 502,
  [Reason.Repeated]: 409,
  [Reason.Quarantined]: 503,
};

/** Returns the status for a reason, which guarantees that the request was not run exactly if that is certain. */
function statusOf(outcome: Outcome, reason: Reason): number {
  const status = STATUS_OF_REASON[reason];
  if (outcome === Outcome.NotRun) {
    return status === 502 || status === 504 ? STATUS_NOT_RUN : status;
  }
  return status === STATUS_NOT_RUN ? STATUS_UNKNOWN : status;
}

/** Makes the response for a request that the backend server did not respond to. */
export function outcomeResponse(
  outcome: Outcome,
  reason: Reason,
  options: { detail: string; retryAfterMs?: number },
): RoutedResponse {
  const headers: Header[] = [];
  if (options.retryAfterMs !== undefined) {
    const seconds = Math.max(
      1,
      Math.ceil(options.retryAfterMs / MS_PER_SECOND),
    );
    headers.push({ name: "retry-after", value: String(seconds) });
  }
  const status = statusOf(outcome, reason);
  const { detail, retryAfterMs } = options;
  return {
    head: { status, headers, outcome, reason, detail, retryAfterMs },
    body: undefined,
  };
}

/** Makes the response for a request that was not run. */
export function notRun(
  reason: Reason,
  detail: string,
  retryAfterMs?: number,
): RoutedResponse {
  return outcomeResponse(Outcome.NotRun, reason, { detail, retryAfterMs });
}

/** Makes the response for a request that may have run. */
export function unknown(reason: Reason, detail: string): RoutedResponse {
  return outcomeResponse(Outcome.Unknown, reason, { detail });
}
