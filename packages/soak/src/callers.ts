/**
 * Callers on a machine: they use their open connections until these close, and open new ones.
 */
import { Agent, type ClientRequest, request as sendRequest } from "node:http";
import { now, type Random, sleep } from "@bulrushwood/types";
import { KEYS } from "./held_keys.ts";
import type { Machine } from "./machine.ts";
import { HOST_NAME, probePath, RoutePrefix } from "./manifests.ts";
import type { Outside } from "./outside.ts";
import { Pipeline } from "./pipeline.ts";
import { pick } from "./random.ts";
import { Ending, type Requests, type RequestStart, type SentRequest } from "./requests.ts";
import { ResponseShape } from "./response_shape.ts";

const DEADLINE_MS = 3_500;
/** Time after its deadline at which a caller gives up, in milliseconds. */
const GIVE_UP_MS = 2_000;
const KEPT_EVERY_MS = 30;
const ONCE_EVERY_MS = 70;
const KEYED_EVERY_MS = 60;
const PROBE_EVERY_MS = 150;
/** Pauses of callers that wait for their response, in milliseconds. */
const SLOW_PAUSE_MS = 50;
const PIPELINE_PAUSE_MS = 20;
const PIPELINES = 2;
const PIPELINED_REQUESTS = 4;
const ONCE_BODY_BYTES = 3_000;
/** A slow body is sent in parts. */
const SLOW_PARTS = 10;
const SLOW_PART_BYTES = 1_000;
const SLOW_PART_EVERY_MS = 60;
/** One of so many requests of a kind uses a new connection. */
const NEW_CONNECTION_EVERY = 7;

/** Options of the callers on one machine. */
export interface CallersOptions {
  machine: Machine;
  outside: Outside;
  requests: Requests;
  random: Random;
  /** Returns the newest version of the manifest. */
  newestVersion: () => number;
  /** Factor by which all pauses are longer. */
  slowness: number;
}

interface SendOptions {
  agent: Agent | false;
  body?: string;
  /** Sends the body of the request. */
  sendBody?: (call: ClientRequest) => Promise<void>;
}

/** Endings of requests by the code of their error; of others the connection closed. */
const ENDINGS: Record<string, Ending> = {
  ECONNREFUSED: Ending.Refused,
  ECONNRESET: Ending.Reset,
  EPIPE: Ending.Reset,
};

function endingOf(error: NodeJS.ErrnoException): Ending {
  // Node.js gives the code of a reset to connections that were closed without one, too.
  const isClosed = error.message === "socket hang up";
  return isClosed ? Ending.Closed : ENDINGS[error.code ?? ""] ?? Ending.Closed;
}

/** Callers on one machine. */
export class Callers {
  readonly #options: CallersOptions;
  readonly #agent = new Agent({ keepAlive: true });
  #isOver = false;
  #count = 0;

  constructor(options: CallersOptions) {
    this.#options = options;
  }

  /** Starts all kinds of callers. */
  start(): void {
    this.#every(KEPT_EVERY_MS, () => this.#sendIdempotent());
    this.#every(ONCE_EVERY_MS, () => this.#sendOnce());
    this.#every(KEYED_EVERY_MS, () => this.#sendKeyed());
    this.#every(PROBE_EVERY_MS, () => this.#sendProbe());
    this.#repeat(SLOW_PAUSE_MS, () => this.#sendSlowly());
    for (let count = 0; count < PIPELINES; count++) {
      this.#runPipeline();
    }
  }

  /** Starts an action at an interval, without waiting for the one before. */
  async #every(ms: number, act: () => void): Promise<void> {
    while (!this.#isOver) {
      act();
      await sleep(ms * this.#options.slowness);
    }
  }

  /** Repeats an action, with a pause after each. */
  async #repeat(ms: number, act: () => Promise<void>): Promise<void> {
    while (!this.#isOver) {
      await act();
      await sleep(ms * this.#options.slowness);
    }
  }

  #start(start: Pick<RequestStart, "kind" | "path" | "key">, isOnce: boolean): SentRequest {
    const { machine, requests } = this.#options;
    return requests.start({ ...start, isOnce, machine: machine.name, deadlineMs: DEADLINE_MS });
  }

  /** Returns a new connection for one request in several. */
  #chooseAgent(): Agent | false {
    return this.#count++ % NEW_CONNECTION_EVERY === 0 ? false : this.#agent;
  }

  #sendIdempotent(): void {
    const { random } = this.#options;
    const shapes = Object.values(ResponseShape);
    const shape = pick(shapes, random);
    const prefix = random() < 1 / 3 ? RoutePrefix.Tariffs : RoutePrefix.Quotes;
    const request = this.#start({ kind: shape, path: `${prefix}${shape}` }, false);
    this.#send(request, { agent: this.#chooseAgent() });
  }

  #sendOnce(): void {
    const request = this.#start({ kind: "once", path: `${RoutePrefix.Orders}sized` }, true);
    this.#send(request, { agent: this.#chooseAgent(), body: "x".repeat(ONCE_BODY_BYTES) });
  }

  #sendKeyed(): void {
    const key = Math.floor(this.#options.random() * KEYS);
    const request = this.#start({ kind: "keyed", path: `${RoutePrefix.Bookings}sized`, key }, true);
    this.#send(request, { agent: this.#chooseAgent(), body: "x" });
  }

  /** Asks for the route that only the newest version has, or the one before it. */
  #sendProbe(): void {
    const { random, newestVersion } = this.#options;
    const version = newestVersion() - (random() < 0.5 ? 0 : 1);
    const request = this.#start({ kind: "probe", path: `${probePath(version)}sized` }, false);
    this.#send(request, { agent: this.#chooseAgent() });
  }

  async #sendSlowly(): Promise<void> {
    const request = this.#start({ kind: "slow body", path: `${RoutePrefix.Orders}sized` }, true);
    await this.#send(request, {
      agent: false,
      sendBody: async (call) => {
        for (let part = 0; part < SLOW_PARTS && !call.destroyed; part++) {
          call.write("y".repeat(SLOW_PART_BYTES));
          await sleep(SLOW_PART_EVERY_MS);
        }
      },
    });
  }

  /** Sends a request, and resolves when it has ended. */
  #send(request: SentRequest, { agent, body, sendBody }: SendOptions): Promise<void> {
    const { machine, outside, requests } = this.#options;
    return new Promise((resolve) => {
      const end = (ending: Ending, result: Partial<SentRequest> = {}) => {
        clearTimeout(timer);
        requests.end(request, ending, result);
        resolve();
      };
      const call = sendRequest({
        ...machine.settings.listen.callers,
        agent,
        method: request.isOnce ? "POST" : "GET",
        path: request.path,
        headers: { host: HOST_NAME, ...outside.callerHeaders(request) },
      });
      const timer = setTimeout(() => {
        end(Ending.GivenUp);
        call.destroy();
      }, DEADLINE_MS + GIVE_UP_MS);
      call.on("response", (response) => {
        let text = "";
        const status = response.statusCode ?? 0;
        const { id: answerId, hasOriginMarker } = outside.readAnswer(response.headers);
        response.setEncoding("utf8");
        response.on("data", (part: string) => text += part);
        response.on(
          "error",
          (error) => end(Ending.Closed, { detail: `in a response: ${error.message}` }),
        );
        response.on(
          "end",
          () =>
            response.complete
              ? end(Ending.Answered, { status, answerId, hasOriginMarker, body: text })
              : end(Ending.Closed, { detail: "in a response" }),
        );
      });
      call.on(
        "error",
        (error: NodeJS.ErrnoException) =>
          end(endingOf(error), {
            detail: `${error.message} on a ${call.reusedSocket ? "kept" : "new"} connection`,
          }),
      );
      call.on("finish", () => request.wholeAt = now());
      if (sendBody === undefined) {
        call.end(body);
      } else {
        sendBody(call).then(() => call.end());
      }
    });
  }

  /** Sends several requests at once, again and again, on a connection that is kept. */
  async #runPipeline(): Promise<void> {
    const { machine, outside, requests } = this.#options;
    const { callers } = machine.settings.listen;
    let pipeline = new Pipeline({ endpoint: callers, outside, requests });
    await this.#repeat(PIPELINE_PAUSE_MS, async () => {
      if (pipeline.isOver) {
        pipeline = new Pipeline({ endpoint: callers, outside, requests });
      }
      const path = `${RoutePrefix.Quotes}sized`;
      const batch = Array.from(
        { length: PIPELINED_REQUESTS },
        () => this.#start({ kind: "pipelined", path }, false),
      );
      await pipeline.send(batch, DEADLINE_MS + GIVE_UP_MS);
    });
    pipeline.close();
  }

  /** Sends no more requests; those that were sent go on. */
  stop(): void {
    this.#isOver = true;
  }

  close(): void {
    this.#isOver = true;
    this.#agent.destroy();
  }
}
