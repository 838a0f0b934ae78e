/**
 * Decides which waiting request the backend server runs next, and refuses at once what it will not run in
 * time. Answers overload: more urgent work goes first, and the queue is kept so short that what is let in
 * can still meet its target, since a refused caller is better off to come back than to wait in vain. What
 * can no longer meet its target is let in while the server has room for it.
 */
import { Result } from "true-myth";
import type { Clock } from "@bulrushwood/types";
import type { Slot } from "./admission.ts";
import { AdmissionError, AdmissionErrorKind } from "./errors.ts";

/** Weight of the newest service time in the running means. */
const SERVICE_WEIGHT = 0.08;
/** Kinds of work whose service time is remembered; the longest known is forgotten first. */
const WORK_CLASSES_MAX = 500;
/** Requests that run are on average this share of their whole time old; older ones show a slow server. */
const USUAL_AGE_SHARE = 0.8;
/** A request that runs counts as at most so many times older than usual. */
const OLD_FACTOR_MAX = 8;
/** Service time that is assumed before the first is seen, in milliseconds. */
const ASSUMED_SERVICE_MS = 120;
/** A request is given up once less than this share of a usual service time is left for it. */
const HOPELESS_SHARE = 0.5;
/** A request counts as late if its answer is expected so much after its target, as a share of usual service. */
const LATENESS_SHARE = 1;
/** Late requests are let in while they wait at most this share of the usual service time. */
const SPARE_WAIT_SHARE = 1;
/** How often waiting requests are looked through for hopeless ones, in milliseconds. */
const SWEEP_MS = 40;
/** Shortest time after which a refused caller should come back, in milliseconds. */
const RETRY_AFTER_MIN_MS = 60;

/** A request that asks for a slot. Times are on this process's clock, in milliseconds. */
export interface Entrant {
  /** Kind of work; each kind has a service time of its own. */
  workClass: string;
  /** 0 is the most urgent. */
  priority: number;
  /** When its answer should be there. */
  targetAt: number;
  /** When nobody waits for its answer any more. */
  deadline: number;
  signal: AbortSignal;
}

/** How to make a gate. */
export interface GateOptions {
  now: Clock;
  /** Requests that the backend server may run at once. */
  limit: () => number;
  random: () => number;
}

/** A request that runs now. */
interface Run {
  workClass: string;
  startedAt: number;
}

interface Waiter {
  entrant: Entrant;
  since: number;
  settle: (result: Result<Slot, AdmissionError>) => void;
}

/** Admission to one backend server. */
export class Gate {
  readonly #options: GateOptions;
  #waiters: Waiter[] = [];
  readonly #runs = new Set<Run>();
  /** Mean service time of each kind of work, in milliseconds. */
  readonly #serviceMsOf = new Map<string, number>();
  #serviceMs = 0;
  #sweep: NodeJS.Timeout | undefined;

  constructor(options: GateOptions) {
    this.#options = options;
  }

  /** Requests that run now. */
  get running(): number {
    return this.#runs.size;
  }

  /** Requests that wait now. */
  get waiting(): number {
    return this.#waiters.length;
  }

  /**
   * Mean time from slot to release, in milliseconds; 0 before the first. A server that turns slow answers
   * nothing new for a while, so the age of what it runs counts as well.
   */
  get serviceMs(): number {
    return this.#serviceMs * this.#slowness();
  }

  /**
   * By how much what runs now is older than its kind of work is usually; at least 1. Free slots count as
   * usual ones, so that one long request among few does not make a whole server count as slow.
   */
  #slowness(): number {
    const { now, limit } = this.#options;
    const at = now();
    let sum = 0;
    for (const { workClass, startedAt } of this.#runs) {
      const usualMs = this.#serviceMsOf.get(workClass) ?? this.#serviceMs;
      const ageMs = (at - startedAt) / USUAL_AGE_SHARE;
      sum += usualMs > 0 ? Math.min(OLD_FACTOR_MAX, ageMs / usualMs) : 1;
    }
    const slots = Math.max(1, limit());
    return Math.max(1, (sum + slots) / (this.running + slots));
  }

  get #meanServiceMs(): number {
    return this.serviceMs > 0 ? this.serviceMs : ASSUMED_SERVICE_MS;
  }

  /** Expected service time of one kind of work; grows with that of all when the server turns slow. */
  #serviceMsFor(workClass: string): number {
    const known = this.#serviceMsOf.get(workClass);
    return known === undefined ? this.#meanServiceMs : known * this.#slowness();
  }

  /** Waits for a slot; refuses at once what cannot be answered in time. */
  enter(entrant: Entrant): Promise<Result<Slot, AdmissionError>> {
    const { now, limit } = this.#options;
    if (entrant.signal.aborted) {
      return Promise.resolve(cancelled());
    }
    if (this.running < limit() && this.#waiters.length === 0) {
      return Promise.resolve(Result.ok(this.#occupy(entrant.workClass, now())));
    }
    const waitMs = this.#expectedWaitMs(entrant);
    const serviceMs = this.#serviceMsFor(entrant.workClass);
    const answeredAt = now() + waitMs + serviceMs;
    // Short work costs others little, so it may be as late as usual work.
    const usualMs = Math.max(serviceMs, this.#meanServiceMs);
    const isLate = answeredAt > entrant.targetAt + usualMs * LATENESS_SHARE;
    if (answeredAt > entrant.deadline || (isLate && waitMs > usualMs * SPARE_WAIT_SHARE)) {
      return Promise.resolve(this.#refuse(waitMs));
    }
    return this.#wait(entrant);
  }

  /** How long the requests that go first, and the next one that ends, keep the slots busy, in milliseconds. */
  #expectedWaitMs(entrant: Entrant): number {
    const { now, limit } = this.#options;
    const at = now();
    const workMs = this.#waiters
      .filter((waiter) => this.#goesBefore(waiter.entrant, entrant, at))
      .reduce((sum, waiter) => sum + this.#serviceMsFor(waiter.entrant.workClass), 0);
    return (workMs + this.#meanServiceMs) / Math.max(1, limit());
  }

  /** Whether one request should run before another. */
  #goesBefore(one: Entrant, other: Entrant, now: number): boolean {
    if (one.priority !== other.priority) {
      return one.priority < other.priority;
    }
    const canMeet = ({ targetAt, workClass }: Entrant) =>
      targetAt >= now + this.#serviceMsFor(workClass);
    const oneCan = canMeet(one);
    return oneCan === canMeet(other) ? one.targetAt <= other.targetAt : oneCan;
  }

  #refuse(waitMs: number): Result<Slot, AdmissionError> {
    // Refused callers should not return together.
    const spreadMs = waitMs * this.#options.random();
    const retryAfterMs = Math.max(RETRY_AFTER_MIN_MS, waitMs / 2 + spreadMs);
    const message = `The request would wait ${Math.ceil(waitMs)} ms, longer than its deadline`;
    return Result.err(
      new AdmissionError(AdmissionErrorKind.Overloaded, message, { retryAfterMs }),
    );
  }

  #wait(entrant: Entrant): Promise<Result<Slot, AdmissionError>> {
    const { now } = this.#options;
    return new Promise((resolve) => {
      const leave = () => {
        this.#remove(waiter);
        waiter.settle(cancelled());
      };
      const settle = (result: Result<Slot, AdmissionError>) => {
        entrant.signal.removeEventListener("abort", leave);
        resolve(result);
      };
      const waiter: Waiter = { entrant, since: now(), settle };
      entrant.signal.addEventListener("abort", leave, { once: true });
      this.#waiters.push(waiter);
      this.#sweep ??= setInterval(() => this.#sweepHopeless(), SWEEP_MS);
    });
  }

  #remove(waiter: Waiter): void {
    this.#waiters = this.#waiters.filter((other) => other !== waiter);
    if (this.#waiters.length === 0) {
      clearInterval(this.#sweep);
      this.#sweep = undefined;
    }
  }

  #sweepHopeless(): void {
    const now = this.#options.now();
    const isHopeless = ({ entrant: { deadline, workClass } }: Waiter) =>
      deadline < now + this.#serviceMsFor(workClass) * HOPELESS_SHARE;
    for (const waiter of this.#waiters.filter(isHopeless)) {
      this.#remove(waiter);
      waiter.settle(this.#refuse(this.#expectedWaitMs(waiter.entrant)));
    }
  }

  #occupy(workClass: string, since: number): Slot {
    const { now } = this.#options;
    const startedAt = now();
    const run = { workClass, startedAt };
    this.#runs.add(run);
    const release = () => {
      if (!this.#runs.delete(run)) {
        return;
      }
      this.#noteService(workClass, now() - startedAt);
      this.#fill();
    };
    return { waitedMs: startedAt - since, release };
  }

  #noteService(workClass: string, ms: number): void {
    this.#serviceMs = weighIn(this.#serviceMs, ms);
    this.#serviceMsOf.set(workClass, weighIn(this.#serviceMsOf.get(workClass) ?? 0, ms));
    if (this.#serviceMsOf.size > WORK_CLASSES_MAX) {
      const [longestKnown] = this.#serviceMsOf.keys();
      this.#serviceMsOf.delete(longestKnown);
    }
  }

  /** Lets waiting requests run while there is room. */
  #fill(): void {
    const { now, limit } = this.#options;
    this.#sweepHopeless();
    while (this.running < limit() && this.#waiters.length > 0) {
      const at = now();
      const next = this.#waiters.reduce((first, waiter) =>
        this.#goesBefore(first.entrant, waiter.entrant, at) ? first : waiter
      );
      this.#remove(next);
      next.settle(Result.ok(this.#occupy(next.entrant.workClass, next.since)));
    }
  }

  /** Refuses all that wait. */
  close(): void {
    for (const waiter of [...this.#waiters]) {
      this.#remove(waiter);
      waiter.settle(this.#refuse(0));
    }
  }
}

/** Running mean; the first value counts as it is. */
function weighIn(mean: number, value: number): number {
  return mean > 0 ? mean + SERVICE_WEIGHT * (value - mean) : value;
}

function cancelled(): Result<Slot, AdmissionError> {
  return Result.err(new AdmissionError(AdmissionErrorKind.Cancelled, "The request was cancelled"));
}
