/**
 * Writes snapshots of the ledger to the log often enough that a starting daemon always finds a whole one
 * whose tail is still kept. Only the daemon with the planner's claim writes; doubles are harmless.
 */
import { type Clock, createStop, type Offset, type Sleep } from "@bulrushwood/types";
import type { LogClient } from "@bulrushwood/log_client";
import type { Ledger } from "./ledger.ts";
import { formatEntry } from "./records.ts";
import { toChunks } from "./snapshot.ts";

const CHECK_EVERY_MS = 500;
const APPEND_TRIES = 5;
const APPEND_RETRY_MS = 200;

/** When to write a snapshot. */
export interface SnapshotWriterOptions {
  log: LogClient;
  ledger: Ledger;
  now: Clock;
  sleep: Sleep;
  newId: () => string;
  /** Whether this daemon is to write. */
  isWriter: () => boolean;
  everyRecords: number;
  everyMs: number;
}

/** Writes snapshots while this daemon is the writer. */
export class SnapshotWriter {
  readonly #options: SnapshotWriterOptions;
  readonly #stop = createStop();
  #task: Promise<void> | undefined;
  #lastThrough: Offset;
  #lastAt: number;
  /** Snapshots written by this daemon. */
  written = 0;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
    this.#lastThrough = 0;
    this.#lastAt = options.now();
  }

  /** Begins to write. */
  start(): void {
    this.#task = this.#run();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#options.sleep(CHECK_EVERY_MS, this.#stop.signal);
      if (this.#options.isWriter() && this.#isDue()) {
        await this.write();
      }
    }
  }

  #isDue(): boolean {
    const { ledger, everyRecords, everyMs, now } = this.#options;
    const records = ledger.folded - this.#lastThrough;
    return records >= everyRecords ||
      (records > 0 && now() - this.#lastAt >= everyMs);
  }

  /** Writes one snapshot; false when the log did not take all of it. */
  async write(): Promise<boolean> {
    const { ledger, newId, now } = this.#options;
    const document = ledger.toDocument();
    for (const chunk of toChunks(document, newId())) {
      if (!(await this.#append(formatEntry(chunk)))) {
        return false;
      }
    }
    this.#lastThrough = document.folded;
    this.#lastAt = now();
    this.written++;
    return true;
  }

  async #append(body: string): Promise<boolean> {
    for (
      let attempt = 0;
      attempt < APPEND_TRIES && !this.#stop.signal.aborted;
      attempt++
    ) {
      if ((await this.#options.log.append(body)).isOk) {
        return true;
      }
      await this.#options.sleep(APPEND_RETRY_MS, this.#stop.signal);
    }
    return false;
  }

  /** Stops writing. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }
}
