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

/** Weight of the newest service time in the running mean. */
const SERVICE_WEIGHT = 0.08;
/** Requests that run are on average this share of their whole time old; older ones show a slow server. */
const USUAL_AGE_SHARE = 0.8;
/** Service time that is assumed before the first is seen, in milliseconds. */
const ASSUMED_SERVICE_MS = 120;
/** A request is given up once less than this share of a usual service time is left for it. */
const HOPELESS_SHARE = 0.5;
/** A request counts as late if its answer is expected so much after its target, as a share of a service time. */
const LATENESS_SHARE = 1;
/** Late requests are let in while they wait at most this share of a service time. */
const SPARE_WAIT_SHARE = 1;
/** How often waiting requests are looked through for hopeless ones, in milliseconds. */
const SWEEP_MS = 40;
/** Shortest time after which a refused caller should come back, in milliseconds. */
const RETRY_AFTER_MIN_MS = 60;

/** A request that asks for a slot. Times are on this process's clock, in milliseconds. */
export interface Entrant {
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

interface Waiter {
  entrant: Entrant;
  since: number;
  settle: (result: Result<Slot, AdmissionError>) => void;
}

/** Admission to one backend server. */
export class Gate {
  readonly #options: GateOptions;
  #waiters: Waiter[] = [];
  /** When each request that runs now began. */
  readonly #runningSince = new Set<{ at: number }>();
  #serviceMs = 0;
  #sweep: NodeJS.Timeout | undefined;

  constructor(options: GateOptions) {
    this.#options = options;
  }

  /** Requests that run now. */
  get running(): number {
    return this.#runningSince.size;
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
    return this.#serviceMs === 0
      ? 0
      : Math.max(this.#serviceMs, this.#meanAgeMs() / USUAL_AGE_SHARE);
  }

  #meanAgeMs(): number {
    const now = this.#options.now();
    let sum = 0;
    this.#runningSince.forEach(({ at }) => sum += now - at);
    return this.running === 0 ? 0 : sum / this.running;
  }

  get #expectedServiceMs(): number {
    return this.serviceMs > 0 ? this.serviceMs : ASSUMED_SERVICE_MS;
  }

  /** Waits for a slot; refuses at once what cannot be answered in time. */
  enter(entrant: Entrant): Promise<Result<Slot, AdmissionError>> {
    const { now, limit } = this.#options;
    if (entrant.signal.aborted) {
      return Promise.resolve(cancelled());
    }
    if (this.running < limit() && this.#waiters.length === 0) {
      return Promise.resolve(Result.ok(this.#occupy(now())));
    }
    const waitMs = this.#expectedWaitMs(entrant);
    const answeredAt = now() + waitMs + this.#expectedServiceMs;
    const isLate = answeredAt > entrant.targetAt + this.#expectedServiceMs * LATENESS_SHARE;
    if (answeredAt > entrant.deadline || (isLate && waitMs > this.#spareWaitMs)) {
      return Promise.resolve(this.#refuse(waitMs));
    }
    return this.#wait(entrant);
  }

  /** Wait up to which requests are let in that will miss their target. */
  get #spareWaitMs(): number {
    return this.#expectedServiceMs * SPARE_WAIT_SHARE;
  }

  /** How long the requests that go first keep the slots busy, in milliseconds. */
  #expectedWaitMs(entrant: Entrant): number {
    const { now, limit } = this.#options;
    const before = this.#waiters.filter((waiter) =>
      this.#goesBefore(waiter.entrant, entrant, now())
    );
    return (before.length + 1) * this.#expectedServiceMs / Math.max(1, limit());
  }

  /** Whether one request should run before another. */
  #goesBefore(one: Entrant, other: Entrant, now: number): boolean {
    if (one.priority !== other.priority) {
      return one.priority < other.priority;
    }
    const canMeet = (entrant: Entrant) => entrant.targetAt >= now + this.#expectedServiceMs;
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
    const latest = this.#options.now() + this.#expectedServiceMs * HOPELESS_SHARE;
    for (const waiter of this.#waiters.filter(({ entrant }) => entrant.deadline < latest)) {
      this.#remove(waiter);
      waiter.settle(this.#refuse(this.#expectedWaitMs(waiter.entrant)));
    }
  }

  #occupy(since: number): Slot {
    const { now } = this.#options;
    const startedAt = now();
    const run = { at: startedAt };
    this.#runningSince.add(run);
    const release = () => {
      if (!this.#runningSince.delete(run)) {
        return;
      }
      this.#noteService(now() - startedAt);
      this.#fill();
    };
    return { waitedMs: startedAt - since, release };
  }

  #noteService(ms: number): void {
    const weight = this.#serviceMs > 0 ? SERVICE_WEIGHT : 1;
    this.#serviceMs += weight * (ms - this.#serviceMs);
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
      next.settle(Result.ok(this.#occupy(next.since)));
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

function cancelled(): Result<Slot, AdmissionError> {
  return Result.err(new AdmissionError(AdmissionErrorKind.Cancelled, "The request was cancelled"));
}
