/**
 * Decides which queued request the backend server runs next, and rejects at once the requests that it would
 * not run in time. Under overload, more urgent work goes first, and the queue is kept short enough for queued
 * requests to meet their targets: retrying after an early rejection is better for a caller than a wait that
 * ends without a response. Requests that can no longer meet their target are queued while their wait is short.
 * A server that accepts only some requests a second gets no more than those, also while it has free slots.
 */
import { Result } from "true-myth";
import type { Clock } from "@bulrushwood/types";
import type { Slot } from "./admission.ts";
import { AdmissionError, AdmissionErrorKind } from "./errors.ts";
import { RecentStarts } from "./recent_starts.ts";
import type { RequestCosts } from "./request_costs.ts";
import { StartRate } from "./start_rate.ts";
import { startInMs } from "./work_left.ts";

/** Weight of the newest service time in the moving means. */
const SERVICE_WEIGHT = 0.08;
/** Largest number of classes whose service time is tracked; the class added first is dropped first. */
const TRACKED_CLASSES_MAX = 500;
/** Expected mean age of running requests, as a share of their service time; more shows a slow server. */
const MEAN_AGE_SHARE = 0.8;
/** Upper bound on how many times older than expected a single running request counts. */
const AGE_FACTOR_MAX = 8;
/** Time for which the slowdown of the running requests is reused while none starts or ends, in milliseconds. */
const SLOWDOWN_REUSE_MS = 5;
/** Service time that is assumed until the first request ends, in milliseconds. */
const ASSUMED_SERVICE_MS = 120;
/** A queued request is rejected once its time left is below this share of its expected service time. */
const MIN_SERVICE_SHARE = 0.5;
/** A response is late when it is expected more than this share of the service time after its target. */
const LATE_MARGIN_SHARE = 1;
/**
 * The same share when a request arrives at a server with a request limit, where a single urgent request changes the
 * expected wait by much. Requests are queued only if they are expected before their target by a margin.
 */
const LIMITED_MARGIN_SHARE = -0.5;
/** Late requests are queued while their expected wait is at most this share of the service time. */
const LATE_WAIT_SHARE = 1;
/**
 * Requests that would be late without a wait, too, are queued while it is at most this share of the time until their
 * deadline, where that is more: a rejected caller waits about as long until it returns.
 */
const LATE_DEADLINE_SHARE = 1 / 3;
/** Time between checks for queued requests that can no longer meet their deadline, in milliseconds. */
const EXPIRY_CHECK_MS = 40;
/** Shortest time after which a rejected caller is asked to retry, in milliseconds. */
const RETRY_AFTER_MIN_MS = 60;
const MS_PER_SECOND = 1_000;

/** A request for a slot of the backend server. Times are on this process's clock, in milliseconds. */
export interface GateRequest {
  /** Class of work; the service time is tracked for each class. */
  workClass: string;
  /** Length of the request's body; 0 where it is left out. */
  bytes?: number;
  /** 0 is the most urgent. */
  priority: number;
  /** When the response should reach the caller. */
  targetAt: number;
  /** When the caller stops waiting for the response. */
  deadline: number;
  signal: AbortSignal;
}

/** Options of `Gate`. */
export interface GateOptions {
  now: Clock;
  /** Returns the number of requests that the backend server may run at once. */
  limit: () => number;
  /** Returns the requests a second that the backend server accepts; undefined, also where left out, for no limit. */
  perSecond?: () => number | undefined;
  /** Estimates of single requests, which the gate teaches; by default all requests of a class count as equal. */
  costs?: RequestCosts;
  /** Returns how much longer than usual work takes at the server now; by default as long as usual. */
  slowness?: () => number;
  /** Returns a random number from 0 to 1. */
  random: () => number;
}

/** A running request. */
interface Run {
  request: GateRequest;
  startedAt: number;
  /** Slowness of the server at that time. */
  slowness: number;
}

/** Work that is run before a request. */
interface Backlog {
  /** Number of queued requests. */
  count: number;
  /** Expected service time of these and of one running request, in milliseconds. */
  workMs: number;
}

interface QueuedRequest {
  request: GateRequest;
  since: number;
  settle: (result: Result<Slot, AdmissionError>) => void;
}

/** Admission control of one backend server, with one queue for all classes. */
export class Gate {
  readonly #options: GateOptions;
  #queue: QueuedRequest[] = [];
  readonly #runs = new Set<Run>();
  readonly #startRate: StartRate;
  /** Recent starts with their expected service times, in milliseconds. */
  readonly #recentWork: RecentStarts;
  /** Mean service time of each class of work, in milliseconds. */
  readonly #serviceMsOf = new Map<string, number>();
  #serviceMs = 0;
  /** Last slowdown, and when it was determined; in the past once a request has started or ended since. */
  #slowdown = { factor: 1, at: Number.NEGATIVE_INFINITY };
  #expiryTimer: NodeJS.Timeout | undefined;
  /** Runs when the start rate allows the next queued request to start. */
  #startTimer: NodeJS.Timeout | undefined;

  constructor(options: GateOptions) {
    this.#options = options;
    const { now, perSecond = () => undefined } = options;
    this.#startRate = new StartRate({ now, perSecond });
    this.#recentWork = new RecentStarts(now);
  }

  /** Number of running requests. */
  get running(): number {
    return this.#runs.size;
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.#queue.length;
  }

  /**
   * Mean time for which a request holds its slot, in milliseconds; 0 before the first one ends. A server that
   * becomes slow ends no requests for a while, so the age of its running requests counts as well.
   */
  get serviceMs(): number {
    return this.#serviceMs * this.#slowness * this.#slowdownFactor;
  }

  /** The same while the server works as usual. */
  get usualServiceMs(): number {
    return this.#serviceMs;
  }

  get #slowness(): number {
    return this.#options.slowness?.() ?? 1;
  }

  /**
   * Factor by which the running requests are older than expected for their classes; at least 1. Free slots
   * count as requests of the expected age, so that one long request among few does not make the whole server
   * look slow.
   */
  get #slowdownFactor(): number {
    const at = this.#options.now();
    if (at - this.#slowdown.at >= SLOWDOWN_REUSE_MS) {
      this.#slowdown = { factor: this.#measureSlowdown(at), at };
    }
    return this.#slowdown.factor;
  }

  /** Determines the slowdown, which takes a look at each running request. */
  #measureSlowdown(at: number): number {
    let sum = 0;
    for (const { request, startedAt, slowness } of this.#runs) {
      const slownessNow = Math.max(slowness, this.#slowness);
      const usualMs = (this.#usualMsFor(request) ?? this.#serviceMs) * slownessNow;
      const ageMs = (at - startedAt) / MEAN_AGE_SHARE;
      sum += usualMs > 0 ? Math.min(AGE_FACTOR_MAX, ageMs / usualMs) : 1;
    }
    const slots = Math.max(1, this.#options.limit());
    return Math.max(1, (sum + slots) / (this.running + slots));
  }

  get #meanServiceMs(): number {
    return this.serviceMs > 0 ? this.serviceMs : ASSUMED_SERVICE_MS;
  }

  /** Time that requests like this one take while the server works as usual; undefined before the first. */
  #usualMsFor({ workClass, bytes }: GateRequest): number | undefined {
    return this.#options.costs?.expectedMs({ route: workClass, bytes }) ??
      this.#serviceMsOf.get(workClass);
  }

  /** Expected service time of a request; grows with that of all requests when the server becomes slow. */
  #serviceMsFor(request: GateRequest): number {
    const trackedMs = this.#usualMsFor(request);
    return trackedMs === undefined
      ? this.#meanServiceMs
      : trackedMs * this.#slowness * this.#slowdownFactor;
  }

  /** Waits for a slot; rejects a request at once when it is not expected to be served in time. */
  enter(request: GateRequest): Promise<Result<Slot, AdmissionError>> {
    const { now, limit } = this.#options;
    if (request.signal.aborted) {
      return Promise.resolve(cancelled());
    }
    const mayStart = this.running < limit() && this.#startRate.nextMs === 0;
    if (mayStart && this.#queue.length === 0) {
      return Promise.resolve(Result.ok(this.#takeSlot(request, now())));
    }
    const waitMs = this.#expectedWaitMs(request);
    const marginShare = this.#startRate.isLimited ? LIMITED_MARGIN_SHARE : LATE_MARGIN_SHARE;
    return this.#isWorthQueueing(request, waitMs, { marginShare })
      ? this.#enqueue(request)
      : Promise.resolve(this.#reject(waitMs));
  }

  /** Whether a request that waits for `waitMs` is expected to be served in time, or late after a short wait. */
  #isWorthQueueing(
    request: GateRequest,
    waitMs: number,
    options: { marginShare: number },
  ): boolean {
    const serviceMs = this.#serviceMsFor(request);
    const at = this.#options.now();
    const respondedAt = at + waitMs + serviceMs;
    // Short requests delay others little, so the mean service time of all classes is the least margin.
    const usualMs = Math.max(serviceMs, this.#meanServiceMs);
    const isLate = respondedAt > request.targetAt + usualMs * options.marginShare;
    const isLateAnyway = at + serviceMs > request.targetAt;
    const leftMs = isLateAnyway ? request.deadline - at : 0;
    const lateWaitMsMax = Math.max(usualMs * LATE_WAIT_SHARE, leftMs * LATE_DEADLINE_SHARE);
    return respondedAt <= request.deadline && !(isLate && waitMs > lateWaitMsMax);
  }

  /** Expected time until a new request starts, in milliseconds. */
  #expectedWaitMs(request: GateRequest): number {
    const at = this.#options.now();
    const ahead: Backlog = { count: 0, workMs: this.#meanServiceMs };
    for (const queued of this.#queue) {
      if (this.#precedes(queued.request, request, at)) {
        ahead.count++;
        ahead.workMs += this.#serviceMsFor(queued.request);
      }
    }
    const waitMs = this.#waitBehindMs(ahead, this.#rankOf(request, at));
    // A request that becomes too late for its target while it waits has the rank of late requests from then on.
    return Math.max(waitMs, this.#waitBehindMs(ahead, this.#rankOf(request, at + waitMs)));
  }

  /**
   * Expected time until a request behind queued ones starts, in milliseconds: until the start rate allows it, and,
   * where the slots are taken, the work ahead and one running request, divided by the slots. Requests of a lower rank
   * that arrive later start first, so the wait is longer by what they took recently.
   */
  #waitBehindMs({ count, workMs }: Backlog, rank: number): number {
    const slots = Math.max(1, this.#options.limit());
    const rateMs = this.#startRate.expectedMs(count, rank);
    if (this.running + count < slots) {
      return rateMs;
    }
    const shareLeft = this.#recentWork.shareLeft(rank, slots * MS_PER_SECOND);
    return Math.max(rateMs, workMs / (slots * shareLeft));
  }

  /** Requests of a lower rank run first: the more urgent ones, and of these the ones that can meet their target. */
  #rankOf(request: GateRequest, now: number): number {
    const canMeetTarget = request.targetAt >= now + this.#serviceMsFor(request);
    return 2 * request.priority + (canMeetTarget ? 0 : 1);
  }

  /** Whether one request should run before another. */
  #precedes(one: GateRequest, other: GateRequest, now: number): boolean {
    const ranks = [this.#rankOf(one, now), this.#rankOf(other, now)];
    return ranks[0] === ranks[1] ? one.targetAt <= other.targetAt : ranks[0] < ranks[1];
  }

  #reject(waitMs: number): Result<Slot, AdmissionError> {
    // Spreads the retries of rejected callers over time.
    const spreadMs = waitMs * this.#options.random();
    const retryAfterMs = Math.max(RETRY_AFTER_MIN_MS, waitMs / 2 + spreadMs);
    const message = `The request would wait ${Math.ceil(waitMs)} ms, longer than its deadline`;
    return Result.err(
      new AdmissionError(AdmissionErrorKind.Overloaded, message, { retryAfterMs }),
    );
  }

  #enqueue(request: GateRequest): Promise<Result<Slot, AdmissionError>> {
    const { now } = this.#options;
    return new Promise((resolve) => {
      const cancel = () => {
        this.#remove(queued);
        queued.settle(cancelled());
      };
      const settle = (result: Result<Slot, AdmissionError>) => {
        request.signal.removeEventListener("abort", cancel);
        resolve(result);
      };
      const queued: QueuedRequest = { request, since: now(), settle };
      request.signal.addEventListener("abort", cancel, { once: true });
      this.#queue.push(queued);
      this.#expiryTimer ??= setInterval(() => this.#rejectExpired(), EXPIRY_CHECK_MS);
      if (this.running < this.#options.limit() && this.#startTimer === undefined) {
        this.#dispatch();
      }
    });
  }

  #remove(queued: QueuedRequest): void {
    this.#queue = this.#queue.filter((other) => other !== queued);
    if (this.#queue.length === 0) {
      clearInterval(this.#expiryTimer);
      clearTimeout(this.#startTimer);
      this.#expiryTimer = undefined;
      this.#startTimer = undefined;
    }
  }

  /** Rejects the queued requests that are not expected to be served before their deadline. */
  #rejectExpired(): void {
    const at = this.#options.now();
    const ranked = this.#queue.map((queued) => ({
      queued,
      rank: this.#rankOf(queued.request, at),
    }));
    ranked.sort((one, other) =>
      one.rank - other.rank || one.queued.request.targetAt - other.queued.request.targetAt
    );
    const ahead: Backlog = { count: 0, workMs: this.#meanServiceMs };
    for (const { queued, rank } of ranked) {
      const waitMs = this.#waitBehindMs(ahead, rank);
      const serviceMs = this.#serviceMsFor(queued.request);
      if (at + waitMs + serviceMs * MIN_SERVICE_SHARE <= queued.request.deadline) {
        ahead.count++;
        ahead.workMs += serviceMs;
      } else {
        this.#remove(queued);
        queued.settle(this.#reject(waitMs));
      }
    }
  }

  #takeSlot(request: GateRequest, since: number): Slot {
    const { now } = this.#options;
    const startedAt = now();
    const rank = this.#rankOf(request, startedAt);
    this.#recentWork.record(rank, this.#serviceMsFor(request));
    this.#startRate.recordStart(rank);
    const run = { request, startedAt, slowness: this.#slowness };
    this.#runs.add(run);
    this.#slowdown.at = Number.NEGATIVE_INFINITY;
    const release = ({ isAnswered = true }: { isAnswered?: boolean } = {}) => {
      if (!this.#runs.delete(run)) {
        return;
      }
      const slowness = (run.slowness + this.#slowness) / 2;
      const ms = (now() - startedAt) / slowness;
      const { workClass, bytes } = request;
      this.#recordServiceTime(workClass, ms);
      if (isAnswered) {
        this.#options.costs?.record({ route: workClass, bytes }, ms);
      }
      this.#dispatch();
    };
    return { waitedMs: startedAt - since, release };
  }

  #recordServiceTime(workClass: string, ms: number): void {
    this.#slowdown.at = Number.NEGATIVE_INFINITY;
    this.#serviceMs = movingMean(this.#serviceMs, ms);
    this.#serviceMsOf.set(workClass, movingMean(this.#serviceMsOf.get(workClass) ?? 0, ms));
    if (this.#serviceMsOf.size > TRACKED_CLASSES_MAX) {
      const [oldest] = this.#serviceMsOf.keys();
      this.#serviceMsOf.delete(oldest);
    }
  }

  /** Starts queued requests while slots are free and the start rate allows it. */
  #dispatch(): void {
    const { now, limit } = this.#options;
    clearTimeout(this.#startTimer);
    this.#startTimer = undefined;
    this.#rejectExpired();
    while (this.running < limit() && this.#queue.length > 0) {
      const waitMs = this.#startRate.nextMs;
      if (waitMs > 0) {
        this.#startTimer = setTimeout(() => this.#dispatch(), Math.ceil(waitMs));
        return;
      }
      const at = now();
      const next = this.#queue.reduce((first, queued) =>
        this.#precedes(first.request, queued.request, at) ? first : queued
      );
      this.#remove(next);
      next.settle(Result.ok(this.#takeSlot(next.request, next.since)));
    }
  }

  /** Expected time until the server could begin a request that is run after all others here, in milliseconds. */
  get startInMs(): number {
    const at = this.#options.now();
    const running = [...this.#runs].map(({ request, startedAt }) => ({
      ageMs: at - startedAt,
      expectedMs: this.#serviceMsFor(request),
    }));
    const queuedMs = this.#queue.map(({ request }) => this.#serviceMsFor(request));
    return startInMs(running, queuedMs, { slots: this.#options.limit() });
  }

  /** Rejects all queued requests. */
  close(): void {
    for (const queued of [...this.#queue]) {
      this.#remove(queued);
      queued.settle(this.#reject(0));
    }
  }
}

/** Returns the exponential moving mean with one more value; the first value is the initial mean. */
function movingMean(mean: number, value: number): number {
  return mean > 0 ? mean + SERVICE_WEIGHT * (value - mean) : value;
}

function cancelled(): Result<Slot, AdmissionError> {
  return Result.err(new AdmissionError(AdmissionErrorKind.Cancelled, "The request was cancelled"));
}
