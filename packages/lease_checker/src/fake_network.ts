/**
 * Fake network between the processes of a run, with delays, losses and cuts.
 */
import { Result } from "true-myth";
import type { Random } from "@bulrushwood/types";
import type { Scheduler } from "./scheduler.ts";

const DELIVERY_DELAY_MAX_MS = 20;
/** Share of messages with a delay of up to `LATE_DELAY_MAX_MS`. */
const LATE_SHARE = 0.03;
const LATE_DELAY_MAX_MS = 1_500;

/** Process as seen by the network. */
export interface Endpoint {
  address: string;
  /** Runs a callback in the process once it is not paused; drops it if the process has ended. */
  runInProcess: (run: () => void) => void;
  handleCall: (method: string, payload: unknown) => Promise<unknown> | undefined;
}

export interface FakeNetworkOptions {
  scheduler: Scheduler;
  random: Random;
  lossShare: number;
  findEndpoint: (address: string) => Endpoint | undefined;
}

/** Delivers calls and their replies between processes. */
export class FakeNetwork {
  readonly #options: FakeNetworkOptions;
  /** True time at which the cut between a sender and a receiver ends, by `sender receiver`. */
  readonly #cutEnds = new Map<string, number>();

  constructor(options: FakeNetworkOptions) {
    this.#options = options;
  }

  /** Cuts the connection between two processes, in both directions, until a true time. */
  cut(left: string, right: string, until: number): void {
    this.#cutEnds.set(`${left} ${right}`, until);
    this.#cutEnds.set(`${right} ${left}`, until);
  }

  /** Delivers a message after a random delay, unless it is lost or the connection is cut when it arrives. */
  #transmit(from: string, to: string, deliver: () => void): void {
    const { scheduler, random, lossShare } = this.#options;
    const isLate = random() < LATE_SHARE;
    const delayMs = random() * (isLate ? LATE_DELAY_MAX_MS : DELIVERY_DELAY_MAX_MS);
    const isLost = random() < lossShare;
    scheduler.at(scheduler.now + delayMs, () => {
      const cutUntil = this.#cutEnds.get(`${from} ${to}`) ?? 0;
      if (!isLost && cutUntil <= scheduler.now) {
        deliver();
      }
    });
  }

  /** Calls a method of another process; never resolves if the call or its reply is lost. */
  call(
    from: Endpoint,
    to: string,
    options: { method: string; payload: unknown },
  ): Promise<Result<unknown, Error>> {
    const { method, payload } = structuredClone(options);
    return new Promise((resolve) => {
      this.#transmit(from.address, to, () => {
        const target = this.#options.findEndpoint(to);
        target?.runInProcess(() => {
          target.handleCall(method, payload)?.then(
            (reply) =>
              this.#sendReply(target, from, () => resolve(Result.ok(structuredClone(reply)))),
            () => {},
          );
        });
      });
    });
  }

  #sendReply(from: Endpoint, to: Endpoint, deliver: () => void): void {
    this.#transmit(from.address, to.address, () => to.runInProcess(deliver));
  }
}
