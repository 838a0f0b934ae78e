/**
 * Decides which queued request the backend server beside this daemon runs next, and rejects early the
 * requests that would miss their deadline. Each class has its own queue, ordered by target time.
 */
import { Result } from "true-myth";
import { Priority } from "@bulrushwood/types";
import type { Clock } from "@bulrushwood/types";
import { DeadlineQueue } from "./deadline_queue.ts";
import { AdmissionError, AdmissionErrorKind } from "./errors.ts";

/** Weight of the newest service time in the moving mean. */
const SERVICE_WEIGHT = 0.1;
/** While background work is queued, one of this many requests that start is background work. */
const BACKGROUND_INTERVAL = 10;
/** Largest queue of one class, per slot of the backend server. */
const QUEUE_MAX_PER_SLOT = 100;

/** Class of work, with the properties that decide the order of its requests. */
export interface WorkTarget {
  name: string;
  priority: Priority;
  /** Target time from arrival to response, set by the operators, in milliseconds. */
  withinMs: number;
}

/** A request for a slot of the backend server. */
export interface AdmissionRequest {
  workClass: WorkTarget;
  /** When the request entered the system, on this process's clock in milliseconds. */
  arrivedAt: number;
  /** When the caller stops waiting for the response, on this process's clock in milliseconds. */
  deadline: number;
  signal: AbortSignal;
}

/** A slot of the backend server, which must be released when the request ends. */
export interface Slot {
  /** Time that the request was queued, in milliseconds. */
  waitedMs: number;
  /** `isAnswered` says whether the server answered the request, by default true. */
  release: (result?: { isAnswered?: boolean }) => void;
}

/** Options of `Admission`. */
export interface AdmissionOptions {
  now: Clock;
  /** Returns the number of requests that the backend server may run at once. */
  limit: () => number;
}

interface QueuedRequest {
  request: AdmissionRequest;
  since: number;
  settle: (result: Result<Slot, AdmissionError>) => void;
}

interface ClassQueue {
  priority: Priority;
  queued: DeadlineQueue<QueuedRequest>;
  /** Moving mean of the time for which a request holds its slot, in milliseconds. */
  serviceMs: number;
}

/** Admission control of one backend server, with a queue for each class. */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #queues = new Map<string, ClassQueue>();
  #running = 0;
  #sinceBackground = 0;

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Number of running requests. */
  get running(): number {
    return this.#running;
  }

  /** Number of queued requests. */
  get waiting(): number {
    let waiting = 0;
    for (const queue of this.#queues.values()) {
      waiting += queue.queued.size;
    }
    return waiting;
  }

  /** Waits for a slot; rejects a request at once when it would miss its deadline or its queue is full. */
  admit(request: AdmissionRequest): Promise<Result<Slot, AdmissionError>> {
    const queue = this.#queueOf(request.workClass);
    if (this.#running < this.#options.limit() && this.waiting === 0) {
      return Promise.resolve(
        Result.ok(this.#takeSlot(queue, this.#options.now())),
      );
    }
    const rejection = this.#rejectEarly(request, queue);
    if (rejection !== undefined) {
      return Promise.resolve(Result.err(rejection));
    }
    return this.#enqueue(request, queue);
  }

  #queueOf(workClass: WorkTarget): ClassQueue {
    const existing = this.#queues.get(workClass.name);
    if (existing !== undefined) {
      existing.priority = workClass.priority;
      return existing;
    }
    const queue = {
      priority: workClass.priority,
      queued: new DeadlineQueue<QueuedRequest>(),
      serviceMs: 0,
    };
    this.#queues.set(workClass.name, queue);
    return queue;
  }

  #rejectEarly(
    request: AdmissionRequest,
    queue: ClassQueue,
  ): AdmissionError | undefined {
    const { now, limit } = this.#options;
    const waitMs = this.#expectedWaitMs(request.workClass.priority);
    const isFull = queue.queued.size >= QUEUE_MAX_PER_SLOT * Math.max(1, limit());
    const isLate = now() + waitMs + queue.serviceMs > request.deadline;
    if (!isFull && !isLate) {
      return undefined;
    }
    const message = isFull
      ? `Class ${request.workClass.name} has too many waiting requests`
      : `The request would wait ${Math.ceil(waitMs)} ms, longer than its deadline`;
    const kind = AdmissionErrorKind.Overloaded;
    return new AdmissionError(kind, message, { retryAfterMs: waitMs });
  }

  /** Expected time for which the queued requests ahead of a new one keep the slots busy, in milliseconds. */
  #expectedWaitMs(priority: Priority): number {
    let workMs = 0;
    for (const queue of this.#queues.values()) {
      const isAhead = priority === Priority.Background ||
        queue.priority === Priority.Foreground;
      workMs += isAhead ? queue.queued.size * queue.serviceMs : 0;
    }
    return workMs / Math.max(1, this.#options.limit());
  }

  #enqueue(
    request: AdmissionRequest,
    queue: ClassQueue,
  ): Promise<Result<Slot, AdmissionError>> {
    return new Promise((resolve) => {
      const { now } = this.#options;
      const since = now();
      const entry: QueuedRequest = {
        request,
        since,
        settle: (result) => {
          clearTimeout(timer);
          request.signal.removeEventListener("abort", cancel);
          resolve(result);
        },
      };
      const withdraw = (kind: AdmissionErrorKind, message: string) => {
        if (queue.queued.withdraw(entry)) {
          entry.settle(Result.err(new AdmissionError(kind, message)));
        }
      };
      const cancel = () => withdraw(AdmissionErrorKind.Cancelled, "The caller cancelled");
      const expire = () =>
        withdraw(
          AdmissionErrorKind.DeadlinePassed,
          "The deadline passed while waiting",
        );
      const timer = setTimeout(expire, request.deadline - since);
      request.signal.addEventListener("abort", cancel, { once: true });
      queue.queued.add(
        entry,
        request.arrivedAt + request.workClass.withinMs,
      );
    });
  }

  #takeSlot(queue: ClassQueue, since: number): Slot {
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

  /** Starts queued requests while slots are free. */
  dispatch(): void {
    while (this.#running < this.#options.limit()) {
      const queue = this.#nextQueue();
      const entry = queue?.queued.shift();
      if (queue === undefined || entry === undefined) {
        return;
      }
      entry.settle(Result.ok(this.#takeSlot(queue, entry.since)));
    }
  }

  /**
   * Returns the queue whose first request runs next. Foreground work goes first, by target time; background
   * work gets a fixed share of the starts, so that it is never starved.
   */
  #nextQueue(): ClassQueue | undefined {
    const foreground = this.#earliest(Priority.Foreground);
    const background = this.#earliest(Priority.Background);
    if (background === undefined) {
      return foreground;
    }
    this.#sinceBackground++;
    if (foreground !== undefined && this.#sinceBackground < BACKGROUND_INTERVAL) {
      return foreground;
    }
    this.#sinceBackground = 0;
    return background;
  }

  #earliest(priority: Priority): ClassQueue | undefined {
    let earliest: ClassQueue | undefined;
    let earliestOrder = Number.POSITIVE_INFINITY;
    for (const queue of this.#queues.values()) {
      const order = queue.priority === priority ? queue.queued.firstOrder : undefined;
      if (order !== undefined && order < earliestOrder) {
        earliest = queue;
        earliestOrder = order;
      }
    }
    return earliest;
  }
}
