/**
 * Requests that peers forwarded to this daemon: receives their bodies, runs them at the backend server and sends the
 * responses.
 */
import {
  type BodyMemory,
  type LoadShedder,
  type RequestMemory,
  urgencyRank,
} from "@bulrushwood/admission";
import type { EventLoop } from "@bulrushwood/http_server";
import { type IncomingExchange, Reason, type RequestHead } from "@bulrushwood/protocol";
import { notRun } from "@bulrushwood/routing";
import type { Serve } from "./dispatcher.ts";
import { Event, type EventLog } from "./event_log.ts";
import { sendResponse } from "./exchange.ts";
import { LongBodies } from "./long_bodies.ts";
import { type Metrics, RequestOrigin } from "./metrics.ts";
import { RequestStage } from "./request_stage.ts";

/** Shortest delay of a forwarded request in transit that is logged, in milliseconds. */
const SLOW_TRANSIT_MS = 250;

export interface ForwardedRequestsOptions {
  serve: Serve;
  shedder: LoadShedder;
  eventLoop: EventLoop;
  bodyMemory: BodyMemory;
  metrics: Metrics;
  log: EventLog;
}

/** Handles the requests that peers forward. */
export class ForwardedRequests {
  readonly #options: ForwardedRequestsOptions;
  readonly #longBodies = new LongBodies();
  #open = 0;

  constructor(options: ForwardedRequestsOptions) {
    this.#options = options;
  }

  /** Number of requests whose bodies are received or wait for it. */
  get openBodies(): number {
    return this.#longBodies.open;
  }

  /** Number of requests whose responses have not been handed to their links as a whole. */
  get open(): number {
    return this.#open;
  }

  /** Handles one request. */
  handle(exchange: IncomingExchange): void {
    const { metrics, log } = this.#options;
    const { head, signal, transitMs } = exchange;
    metrics.recordTransit(transitMs);
    if (transitMs >= SLOW_TRANSIT_MS) {
      const ms = Math.round(transitMs);
      log(Event.RequestDelayed, { id: head.id, route: head.workClass, ms });
    }
    this.#open++;
    this.#serve(exchange).catch((error: Error) => {
      if (signal.aborted) {
        this.recordCancelled(head, RequestStage.Arrival, 0);
      } else {
        log(Event.TaskFailed, { task: "peer request", id: head.id, reason: error.message });
      }
      exchange.abort();
    }).finally(() => this.#open--);
  }

  /** Records a request whose caller left before its response, and where it waited. */
  recordCancelled({ id, workClass }: RequestHead, stage: RequestStage, ms: number): void {
    const { metrics, log } = this.#options;
    metrics.recordCancelled(stage);
    log(Event.RequestCancelled, { id, route: workClass, stage, ms: Math.round(ms) });
  }

  async #serve(exchange: IncomingExchange): Promise<void> {
    const { shedder, bodyMemory, metrics } = this.#options;
    const { priority = 0 } = exchange.head;
    if (!shedder.mayAccept(priority, { isForwarded: true })) {
      metrics.recordShed(RequestOrigin.Peer, priority);
      const detail = "The daemon of the server lacks processor time";
      await sendResponse(exchange, notRun(Reason.Overloaded, detail, shedder.retryAfterMs));
      return;
    }
    const memory = bodyMemory.open();
    try {
      await this.#receiveAndServe(exchange, memory);
    } finally {
      memory.release();
    }
  }

  async #receiveAndServe(exchange: IncomingExchange, memory: RequestMemory): Promise<void> {
    const { serve, eventLoop } = this.#options;
    const received = await this.#longBodies.receive(exchange, memory);
    if ("rejection" in received) {
      await sendResponse(exchange, received.rejection);
      return;
    }
    const { head, body } = received;
    await eventLoop.nextPoll(urgencyRank(head.priority ?? 0, { isForwarded: true }));
    const { signal } = exchange;
    await sendResponse(exchange, await serve(head, body, { signal, memory }));
  }

  /** Rejects all requests whose bodies have not been requested yet. */
  close(): void {
    this.#longBodies.close();
  }
}
