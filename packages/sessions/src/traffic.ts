/**
 * Callers at work: each sends one request after another, and sends again what was not run.
 */
import { Buffer } from "node:buffer";
import { sleep } from "@bulrushwood/types";
import { type Told, ToldKind } from "./caller.ts";
import type { Session, SessionRequest } from "./session.ts";

const RETRY_AFTER_MS = 50;
const TRIES_MAX = 60;

/** One kind of request that callers make. */
export interface TrafficKind {
  name: string;
  method: string;
  /** Path for a key. */
  path: (key: string) => string;
  idempotent: boolean;
  bodyBytes: number;
  /** How often the kind is chosen, relative to the others. */
  weight: number;
}

/** How callers work. */
export interface TrafficOptions {
  session: Session;
  kinds: TrafficKind[];
  keys: string[];
  /** Instances that take the callers' requests. */
  via: string[];
  callers: number;
  tenant: string;
  /** A random number from 0 to 1. */
  random: () => number;
}

/** Callers that work until they are told to stop. */
export class Traffic {
  readonly #options: TrafficOptions;
  readonly #tasks: Promise<void>[];
  #isOver = false;
  #nextLabel = 1;
  /** Requests that were sent again since they were not run. */
  repeated = 0;

  constructor(options: TrafficOptions) {
    this.#options = options;
    this.#tasks = Array.from({ length: options.callers }, () => this.#work());
  }

  async #work(): Promise<void> {
    while (!this.#isOver) {
      await this.#sendOne();
    }
  }

  async #sendOne(): Promise<void> {
    const kind = this.#chooseKind();
    const key = this.#pick(this.#options.keys);
    for (let attempt = 0; attempt < TRIES_MAX; attempt++) {
      const told = await this.#options.session.send(this.#request(kind, key));
      if (!isSafeToRepeat(told)) {
        return;
      }
      this.repeated++;
      await sleep(RETRY_AFTER_MS);
    }
  }

  #request(kind: TrafficKind, key: string): SessionRequest {
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
    let left = random() * kinds.reduce((sum, kind) => sum + kind.weight, 0);
    for (const kind of kinds) {
      left -= kind.weight;
      if (left < 0) {
        return kind;
      }
    }
    return kinds[0];
  }

  /** Lets every caller finish its request. */
  async close(): Promise<void> {
    this.#isOver = true;
    await Promise.all(this.#tasks);
  }
}

/** What was not run, or never reached a daemon, may be sent again whatever it is. */
function isSafeToRepeat(told: Told): boolean {
  return told.kind === ToldKind.NotRun || told.kind === ToldKind.Refused;
}
