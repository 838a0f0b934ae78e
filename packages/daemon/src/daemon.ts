/**
 * A daemon: incarnation after incarnation, until it is asked to stop.
 */
import type { DaemonSettings } from "@bulrushwood/settings";
import { createStop, sleep } from "@bulrushwood/types";
import { Ending, Incarnation } from "./incarnation.ts";
import { type Log, LogLevel } from "./logger.ts";

const START_RETRY_MS = 500;

/** How to run a daemon. */
export interface DaemonOptions {
  settings: DaemonSettings;
  log: Log;
}

/** A daemon that runs in this process. */
export class Daemon {
  readonly #options: DaemonOptions;
  readonly #stop = createStop();
  #current: Incarnation | undefined;
  /** Resolves once the daemon has stopped. */
  readonly stopped: Promise<void>;

  private constructor(options: DaemonOptions) {
    this.#options = options;
    this.stopped = this.#run();
  }

  /** Starts a daemon. */
  static start(options: DaemonOptions): Daemon {
    return new Daemon(options);
  }

  async #run(): Promise<void> {
    const { settings, log } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const started = await Incarnation.start({ settings, log, signal });
      if (started.isErr) {
        const fields = { reason: started.error.message };
        log(
          LogLevel.Error,
          "The daemon could not start; it tries again",
          fields,
        );
        await sleep(START_RETRY_MS, signal);
        continue;
      }
      if ((await this.#runIncarnation(started.value)) === Ending.Stopped) {
        return;
      }
    }
  }

  async #runIncarnation(incarnation: Incarnation): Promise<Ending> {
    this.#current = incarnation;
    if (this.#stop.signal.aborted) {
      incarnation.drain();
    }
    const ending = await incarnation.ended;
    if (ending === Ending.Stopped) {
      await incarnation.leave();
    }
    await incarnation.close();
    return ending;
  }

  /** Stops the daemon gracefully. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#current?.drain();
    await this.stopped;
  }
}
