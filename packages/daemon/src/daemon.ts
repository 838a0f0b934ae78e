/**
 * Runs a daemon as one incarnation after another until it is stopped.
 */
import type { DaemonSettings } from "@bulrushwood/settings";
import { createStop, sleep } from "@bulrushwood/types";
import { EndReason, Incarnation } from "./incarnation.ts";
import { type Log, LogLevel } from "./logger.ts";

const START_RETRY_MS = 500;

/** Settings and log of a daemon. */
export interface DaemonOptions {
  settings: DaemonSettings;
  log: Log;
}

/** Daemon that runs in this process. */
export class Daemon {
  readonly #options: DaemonOptions;
  readonly #stop = createStop();
  #incarnation: Incarnation | undefined;
  /** Resolves once the daemon has stopped. */
  readonly stopped: Promise<void>;

  private constructor(options: DaemonOptions) {
    this.#options = options;
    this.stopped = this.#run();
  }

  /** Starts a daemon in the background; failed starts are retried until it is closed. */
  static start(options: DaemonOptions): Daemon {
    return new Daemon(options);
  }

  async #run(): Promise<void> {
    const { settings, log } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const result = await Incarnation.start({ settings, log, signal });
      if (result.isErr) {
        const fields = { reason: result.error.message };
        log(
          LogLevel.Error,
          "The daemon could not start; trying again",
          fields,
        );
        await sleep(START_RETRY_MS, signal);
        continue;
      }
      if ((await this.#runIncarnation(result.value)) === EndReason.Stopped) {
        return;
      }
    }
  }

  async #runIncarnation(incarnation: Incarnation): Promise<EndReason> {
    this.#incarnation = incarnation;
    if (this.#stop.signal.aborted) {
      incarnation.drain();
    }
    const endReason = await incarnation.ended;
    if (endReason === EndReason.Stopped) {
      await incarnation.leave();
    }
    await incarnation.close();
    return endReason;
  }

  /** Stops the daemon gracefully: it hands its keys over and leaves first. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#incarnation?.drain();
    await this.stopped;
  }
}
