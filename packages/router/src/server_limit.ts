/**
 * The request limit of one incarnation of a backend server, as its responses name it. The limit applies until a
 * response to a request that was sent after the limit was last named does not name it: responses to earlier
 * requests may have been written before the limit began. A malformed limit changes nothing. Choosing the servers of
 * requests does not rely on an old limit: a server that got no requests because of it could never show that it has
 * ended.
 */
import type { ServerNotice } from "@bulrushwood/deployment";
import type { Clock } from "@bulrushwood/types";

/** Time for which the choice of servers relies on a limit that was named, in milliseconds. */
const RECENT_MS = 3_000;

/**
 * Requests a second that are sent while it is unknown whether there is a limit and earlier requests got no response,
 * so that restarts of a daemon beside a server that drops its requests do not add up to more than a limit allows.
 */
const UNANSWERED_PER_SECOND = 1;

/** Tracks the request limit of one incarnation. */
export class ServerLimit {
  readonly #now: Clock;
  #requestsPerSecond: number | undefined;
  #namedAt = Number.NEGATIVE_INFINITY;
  #isKnown = false;
  #hasUnanswered = false;

  constructor(now: Clock) {
    this.#now = now;
  }

  /** Whether a response has shown whether there is a limit. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** Requests a second that the server accepts from all daemons together; undefined if there is no limit. */
  get requestsPerSecond(): number | undefined {
    return this.#requestsPerSecond;
  }

  /** Requests a second that may be sent now; undefined for any number. */
  get allowedPerSecond(): number | undefined {
    const isAnyAllowed = this.#isKnown || !this.#hasUnanswered;
    return isAnyAllowed ? this.#requestsPerSecond : UNANSWERED_PER_SECOND;
  }

  /** The limit if the server named it recently. */
  get recentRequestsPerSecond(): number | undefined {
    return this.#now() - this.#namedAt < RECENT_MS ? this.#requestsPerSecond : undefined;
  }

  /** Records that a request was sent and got no response of the server. */
  recordUnanswered(): void {
    this.#hasUnanswered = true;
  }

  /** Applies a response to a request that was sent at `sentAt` on this process's clock; returns whether the limit changed. */
  apply(notice: ServerNotice, options: { sentAt: number }): boolean {
    const { requestsPerSecond, limitError } = notice;
    this.#isKnown = true;
    const isOutdated = requestsPerSecond === undefined && options.sentAt < this.#namedAt;
    if (isOutdated || limitError !== undefined) {
      return false;
    }
    if (requestsPerSecond !== undefined) {
      this.#namedAt = this.#now();
    }
    const hasChanged = requestsPerSecond !== this.#requestsPerSecond;
    this.#requestsPerSecond = requestsPerSecond;
    return hasChanged;
  }
}
