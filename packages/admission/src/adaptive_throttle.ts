/**
 * Decides at an ingress how many requests of a service it forwards at all while most are rejected for lack of room. Each
 * request that is forwarded and rejected costs two daemons as much time as a served one, which they lack in a rush. With many
 * owners an ingress sends too few requests to each one to learn its load, so all owners of the service count together.
 *
 * Forwards a multiple of what is accepted, as described by the client-side throttling of "Site Reliability Engineering"
 * (chapter 21). More than is accepted arrives at owners all the time, so that none stands idle, and the share grows at once
 * when they accept more.
 */
import type { Clock } from "@bulrushwood/types";

/** Number of requests that are forwarded for each one that is accepted, while others are rejected. */
const FORWARDED_PER_ACCEPTED = 2;
/** Least share of requests that are forwarded, which show when owners accept them again. */
const FORWARDED_SHARE_MIN = 0.2;
/** Time in which the weight of a request decays to about a third (1/e), in milliseconds. */
const DECAY_TIME_MS = 300;
/** Weight of the requests below which nothing is known about the load. */
const REQUESTS_MIN = 6;

export interface AdaptiveThrottleOptions {
  now: Clock;
  /** Returns a random number from 0 to 1. */
  random: () => number;
}

/** Decaying counts of the requests of one service and priority. */
interface Counts {
  requests: number;
  accepted: number;
  at: number;
}

/** Throttles the requests that an ingress forwards, by service and priority. */
export class AdaptiveThrottle {
  readonly #options: AdaptiveThrottleOptions;
  readonly #counts = new Map<string, Counts>();

  constructor(options: AdaptiveThrottleOptions) {
    this.#options = options;
  }

  /** Whether a request may be forwarded; one that may not counts as not accepted. */
  mayForward(service: string, priority: number): boolean {
    const counts = this.#countsOf(service, priority);
    const { requests, accepted } = counts;
    if (requests < REQUESTS_MIN) {
      return true;
    }
    const rejectedShare = (requests - FORWARDED_PER_ACCEPTED * accepted) / (requests + 1);
    if (this.#options.random() >= Math.min(rejectedShare, 1 - FORWARDED_SHARE_MIN)) {
      return true;
    }
    counts.requests++;
    return false;
  }

  /** Records whether a forwarded request was accepted; one that failed for another reason than lack of room was. */
  recordForwarded(service: string, priority: number, options: { isAccepted: boolean }): void {
    const counts = this.#countsOf(service, priority);
    counts.requests++;
    counts.accepted += options.isAccepted ? 1 : 0;
  }

  #countsOf(service: string, priority: number): Counts {
    const at = this.#options.now();
    const name = `${service}/${priority}`;
    const counts = this.#counts.get(name) ?? { requests: 0, accepted: 0, at };
    this.#counts.set(name, counts);
    const factor = Math.exp(-(at - counts.at) / DECAY_TIME_MS);
    counts.requests *= factor;
    counts.accepted *= factor;
    counts.at = at;
    return counts;
  }
}
