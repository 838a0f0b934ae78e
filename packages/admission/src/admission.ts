/**
 * Decides which waiting request the backend server beside this daemon runs next, and refuses early what
 * can no longer be answered in time. Each class waits in its own queue, ordered by deadline.
 */
import { Result } from "true-myth";
import { Priority } from "@bulrushwood/types";
import type { Clock } from "@bulrushwood/types";
import { DeadlineQueue } from "./deadline_queue.ts";
import { AdmissionError, AdmissionErrorKind } from "./errors.ts";

/** Weight of the newest service time in the running mean. */
const SERVICE_WEIGHT = 0.1;
/** Of this many requests that begin while background work waits, one is background work. */
const BACKGROUND_EVERY = 10;
/** Longest queue of one class, per slot of the backend server. */
const QUEUE_PER_SLOT = 100;

/** What admission needs to know of a class of work. */
export interface WorkTarget {
  name: string;
  priority: Priority;
  /** Time within which the operators want an answer, in milliseconds. */
  withinMs: number;
}

/** One request that asks for a slot. */
export interface Applicant {
  workClass: WorkTarget;
  /** When the request arrived at the system, on this process's clock in milliseconds. */
  arrivedAt: number;
  /** When nobody waits for the answer any more, on this process's clock in milliseconds. */
  deadline: number;
  signal: AbortSignal;
}

/** A slot of the backend server; released when the request is done. */
export interface Slot {
  /** How long the request waited for the slot, in milliseconds. */
  waitedMs: number;
  release: () => void;
}

/** How to make an admission. */
export interface AdmissionOptions {
  now: Clock;
  /** Requests that the backend server may run at once. */
  limit: () => number;
}

interface Waiter {
  applicant: Applicant;
  since: number;
  settle: (result: Result<Slot, AdmissionError>) => void;
}

interface ClassQueue {
  priority: Priority;
  waiters: DeadlineQueue<Waiter>;
  /** Running mean of the time from slot to release, in milliseconds. */
  serviceMs: number;
}

/** Admission to one backend server. */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #queues = new Map<string, ClassQueue>();
  #running = 0;
  #sinceBackground = 0;

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Requests that run now. */
  get running(): number {
    return this.#running;
  }

  /** Requests that wait now. */
  get waiting(): number {
    let waiting = 0;
    for (const queue of this.#queues.values()) {
      waiting += queue.waiters.size;
    }
    return waiting;
  }

  /** Waits for a slot; refuses at once what cannot be answered in time. */
  admit(applicant: Applicant): Promise<Result<Slot, AdmissionError>> {
    const queue = this.#queueOf(applicant.workClass);
    if (this.#running < this.#options.limit() && this.waiting === 0) {
      return Promise.resolve(
        Result.ok(this.#occupy(queue, this.#options.now())),
      );
    }
    const refusal = this.#refuseEarly(applicant, queue);
    if (refusal !== undefined) {
      return Promise.resolve(Result.err(refusal));
    }
    return this.#wait(applicant, queue);
  }

  #queueOf(workClass: WorkTarget): ClassQueue {
    const known = this.#queues.get(workClass.name);
    if (known !== undefined) {
      known.priority = workClass.priority;
      return known;
    }
    const queue = {
      priority: workClass.priority,
      waiters: new DeadlineQueue<Waiter>(),
      serviceMs: 0,
    };
    this.#queues.set(workClass.name, queue);
    return queue;
  }

  #refuseEarly(
    applicant: Applicant,
    queue: ClassQueue,
  ): AdmissionError | undefined {
    const { now, limit } = this.#options;
    const waitMs = this.#expectedWaitMs(applicant.workClass.priority);
    const isFull = queue.waiters.size >= QUEUE_PER_SLOT * Math.max(1, limit());
    const isLate = now() + waitMs + queue.serviceMs > applicant.deadline;
    if (!isFull && !isLate) {
      return undefined;
    }
    const message = isFull
      ? `Class ${applicant.workClass.name} has too many waiting requests`
      : `The request would wait ${Math.ceil(waitMs)} ms, longer than its deadline`;
    const kind = AdmissionErrorKind.Overloaded;
    return new AdmissionError(kind, message, { retryAfterMs: waitMs });
  }

  /** How long the requests ahead of a new one keep the slots busy, in milliseconds. */
  #expectedWaitMs(priority: Priority): number {
    let workMs = 0;
    for (const queue of this.#queues.values()) {
      const isAhead = priority === Priority.Background ||
        queue.priority === Priority.Foreground;
      workMs += isAhead ? queue.waiters.size * queue.serviceMs : 0;
    }
    return workMs / Math.max(1, this.#options.limit());
  }

  #wait(
    applicant: Applicant,
    queue: ClassQueue,
  ): Promise<Result<Slot, AdmissionError>> {
    return new Promise((resolve) => {
      const { now } = this.#options;
      const since = now();
      const waiter: Waiter = {
        applicant,
        since,
        settle: (result) => {
          clearTimeout(timer);
          applicant.signal.removeEventListener("abort", abandon);
          resolve(result);
        },
      };
      const withdraw = (kind: AdmissionErrorKind, message: string) => {
        if (queue.waiters.withdraw(waiter)) {
          waiter.settle(Result.err(new AdmissionError(kind, message)));
        }
      };
      const abandon = () => withdraw(AdmissionErrorKind.Cancelled, "The caller cancelled");
      const expire = () =>
        withdraw(
          AdmissionErrorKind.DeadlinePassed,
          "The deadline passed while waiting",
        );
      const timer = setTimeout(expire, applicant.deadline - since);
      applicant.signal.addEventListener("abort", abandon, { once: true });
      queue.waiters.add(
        waiter,
        applicant.arrivedAt + applicant.workClass.withinMs,
      );
    });
  }

  #occupy(queue: ClassQueue, since: number): Slot {
    this.#running++;
    const startedAt = this.#options.now();
    let isReleased = false;
    return {
      waitedMs: startedAt - since,
      release: () => {
        if (!isReleased) {
          isReleased = true;
          this.#release(queue, startedAt);
        }
      },
    };
  }

  #release(queue: ClassQueue, startedAt: number): void {
    this.#running--;
    const serviceMs = this.#options.now() - startedAt;
    const isFirst = queue.serviceMs === 0;
    queue.serviceMs = isFirst
      ? serviceMs
      : queue.serviceMs + SERVICE_WEIGHT * (serviceMs - queue.serviceMs);
    this.dispatch();
  }

  /** Starts waiting requests while there is room. */
  dispatch(): void {
    while (this.#running < this.#options.limit()) {
      const queue = this.#nextQueue();
      const waiter = queue?.waiters.shift();
      if (queue === undefined || waiter === undefined) {
        return;
      }
      waiter.settle(Result.ok(this.#occupy(queue, waiter.since)));
    }
  }

  /** Foreground work by the time its target is due; background work gets the rest, never nothing. */
  #nextQueue(): ClassQueue | undefined {
    const foreground = this.#earliest(Priority.Foreground);
    const background = this.#earliest(Priority.Background);
    if (background === undefined) {
      return foreground;
    }
    this.#sinceBackground++;
    if (foreground !== undefined && this.#sinceBackground < BACKGROUND_EVERY) {
      return foreground;
    }
    this.#sinceBackground = 0;
    return background;
  }

  #earliest(priority: Priority): ClassQueue | undefined {
    let earliest: ClassQueue | undefined;
    let earliestOrder = Number.POSITIVE_INFINITY;
    for (const queue of this.#queues.values()) {
      const order = queue.priority === priority ? queue.waiters.firstOrder : undefined;
      if (order !== undefined && order < earliestOrder) {
        earliest = queue;
        earliestOrder = order;
      }
    }
    return earliest;
  }
}
