/**
 * Load from several callers: each sends one request after another and retries those that were not run.
 */
import { Buffer } from "node:buffer";
import { sleep } from "@bulrushwood/types";
import { type CallerOutcome, CallerOutcomeKind } from "./caller.ts";
import type { Session, SessionRequest } from "./session.ts";

/** Time before a retry, in milliseconds. */
const RETRY_AFTER_MS = 50;
/** Maximum number of attempts of one request. */
const ATTEMPTS_MAX = 60;

/** Kind of request that callers send. */
export interface TrafficKind {
  name: string;
  method: string;
  /** Builds the path for a key. */
  path: (key: string) => string;
  idempotent: boolean;
  bodyBytes: number;
  /** Relative frequency of the kind. */
  weight: number;
}

/** Options of the load. */
export interface TrafficOptions {
  session: Session;
  kinds: TrafficKind[];
  keys: string[];
  /** Names of the instances that receive the callers' requests. */
  via: string[];
  callers: number;
  tenant: string;
  /** Returns a random number from 0 to below 1. */
  random: () => number;
}

/** Callers that send requests until they are closed. */
export class Traffic {
  readonly #options: TrafficOptions;
  readonly #tasks: Promise<void>[];
  #isClosed = false;
  #nextLabel = 1;
  /** Number of retries of requests that were not run. */
  retries = 0;

  constructor(options: TrafficOptions) {
    this.#options = options;
    this.#tasks = Array.from({ length: options.callers }, () => this.#runCaller());
  }

  async #runCaller(): Promise<void> {
    while (!this.#isClosed) {
      await this.#sendWithRetries();
    }
  }

  async #sendWithRetries(): Promise<void> {
    const kind = this.#chooseKind();
    const key = this.#pick(this.#options.keys);
    for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt++) {
      const outcome = await this.#options.session.send(this.#createRequest(kind, key));
      if (!isSafeToRetry(outcome)) {
        return;
      }
      this.retries++;
      await sleep(RETRY_AFTER_MS);
    }
  }

  #createRequest(kind: TrafficKind, key: string): SessionRequest {
    const { via, tenant } = this.#options;
    const { method, idempotent, bodyBytes } = kind;
    return {
      label: `${kind.name}-${this.#nextLabel++}`,
      via: this.#pick(via),
      method,
      path: kind.path(key),
      headers: { "x-tenant": tenant },
      body: bodyBytes === 0 ? undefined : Buffer.alloc(bodyBytes, "x"),
      idempotent,
    };
  }

  #pick<Item>(items: Item[]): Item {
    return items[Math.floor(this.#options.random() * items.length)];
  }

  #chooseKind(): TrafficKind {
    const { kinds, random } = this.#options;
    let remaining = random() * kinds.reduce((sum, kind) => sum + kind.weight, 0);
    for (const kind of kinds) {
      remaining -= kind.weight;
      if (remaining < 0) {
        return kind;
      }
    }
    return kinds[0];
  }

  /** Stops the callers once each has finished its current request. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await Promise.all(this.#tasks);
  }
}

/** Whether a request of any kind may be retried: it was not run, or never reached a daemon. */
function isSafeToRetry(outcome: CallerOutcome): boolean {
  return outcome.kind === CallerOutcomeKind.NotRun || outcome.kind === CallerOutcomeKind.Refused;
}
