/**
 * A fake network between the processes of a run: delays, losses and cuts.
 */
import { Result } from "true-myth";
import type { Random } from "@bulrushwood/types";
import type { Scheduler } from "./scheduler.ts";

const DELAY_MAX_MS = 20;
/** Share of the messages that are much later than the others. */
const LATE_SHARE = 0.03;
const LATE_MAX_MS = 1_500;

/** A process as the network sees it. */
export interface Endpoint {
  address: string;
  /** Runs something in the process when it is not paused; drops it when the process has ended. */
  enter: (run: () => void) => void;
  answer: (method: string, payload: unknown) => Promise<unknown> | undefined;
}

/** What a network needs. */
export interface FakeNetworkOptions {
  scheduler: Scheduler;
  random: Random;
  lossShare: number;
  find: (address: string) => Endpoint | undefined;
}

/** Carries calls between processes. */
export class FakeNetwork {
  readonly #options: FakeNetworkOptions;
  readonly #cuts = new Map<string, number>();

  constructor(options: FakeNetworkOptions) {
    this.#options = options;
  }

  /** Cuts two processes off from each other until a true time. */
  cut(left: string, right: string, until: number): void {
    this.#cuts.set(`${left} ${right}`, until);
    this.#cuts.set(`${right} ${left}`, until);
  }

  /** Brings a message over, unless it is lost. */
  #carry(from: string, to: string, deliver: () => void): void {
    const { scheduler, random, lossShare } = this.#options;
    const isLate = random() < LATE_SHARE;
    const delayMs = random() * (isLate ? LATE_MAX_MS : DELAY_MAX_MS);
    const isLost = random() < lossShare;
    scheduler.at(scheduler.now + delayMs, () => {
      const cutUntil = this.#cuts.get(`${from} ${to}`) ?? 0;
      if (!isLost && cutUntil <= scheduler.now) {
        deliver();
      }
    });
  }

  /** Calls a method of another process; never resolves when a message is lost. */
  call(
    from: Endpoint,
    to: string,
    options: { method: string; payload: unknown },
  ): Promise<Result<unknown, Error>> {
    const { method, payload } = structuredClone(options);
    return new Promise((resolve) => {
      this.#carry(from.address, to, () => {
        const target = this.#options.find(to);
        target?.enter(() => {
          target.answer(method, payload)?.then(
            (reply) => this.#reply(target, from, () => resolve(Result.ok(structuredClone(reply)))),
            () => {},
          );
        });
      });
    });
  }

  #reply(from: Endpoint, to: Endpoint, deliver: () => void): void {
    this.#carry(from.address, to.address, () => to.enter(deliver));
  }
}
