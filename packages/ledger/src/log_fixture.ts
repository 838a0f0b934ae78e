/**
 * Test fixture: a log in the test's own process, and readers whose ledgers follow it.
 */
import { request } from "node:http";
import { LogClient } from "@bulrushwood/log_client";
import { findFreePort, type LogControl, LogService } from "@bulrushwood/stand_ins";
import { sleep } from "@bulrushwood/types";
import { Follower } from "./follower.ts";
import { Ledger } from "./ledger.ts";
import { Submitter } from "./submission.ts";

/** Client of a log with a ledger that follows it. */
export interface Reader {
  ledger: Ledger;
  log: LogClient;
  follower: Follower;
  submitter: Submitter;
  close: () => Promise<void>;
}

/** Log whose failures a test controls. */
export class LogFixture {
  readonly #service: LogService;
  readonly url: string;

  private constructor(service: LogService, url: string) {
    this.#service = service;
    this.url = url;
  }

  static async start(): Promise<LogFixture> {
    const port = await findFreePort();
    const service = await LogService.start({ host: "127.0.0.1", port });
    return new LogFixture(service, `http://127.0.0.1:${port}`);
  }

  /** Sets how the log fails. */
  control(settings: LogControl): Promise<void> {
    return new Promise((resolve, reject) => {
      const call = request(`${this.url}/control`, { method: "POST", agent: false });
      call.on("response", (response) => response.resume().on("end", () => resolve()));
      call.on("error", reject);
      call.end(JSON.stringify(settings));
    });
  }

  /** Starts a reader that has read the log to its end. */
  async read(options: { requestTimeoutMs?: number } = {}): Promise<Reader> {
    const ledger = new Ledger();
    const log = new LogClient({ url: this.url, ...options });
    const follower = new Follower({ log, ledger, sleep, pollWaitMs: 500 });
    const submitter = new Submitter({ log, ledger, sleep });
    await follower.start();
    const close = async () => {
      await follower.close();
      log.close();
    };
    return { ledger, log, follower, submitter, close };
  }

  close(): Promise<void> {
    return this.#service.close();
  }
}
