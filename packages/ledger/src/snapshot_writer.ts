/**
 * Writes snapshots of the ledger to the log often enough that a starting daemon always finds a complete one
 * and all records after it. Only the daemon with the planner's claim writes; duplicates are harmless.
 */
import { type Clock, createStop, type Offset, type Sleep } from "@bulrushwood/types";
import type { LogClient } from "@bulrushwood/log_client";
import type { Ledger } from "./ledger.ts";
import { formatEntry } from "./records.ts";
import { toChunks } from "./snapshot.ts";

const CHECK_INTERVAL_MS = 500;
const APPEND_ATTEMPTS_MAX = 5;
const APPEND_RETRY_MS = 200;

/** Settings and dependencies of a snapshot writer. Times are in milliseconds. */
export interface SnapshotWriterOptions {
  log: LogClient;
  ledger: Ledger;
  now: Clock;
  sleep: Sleep;
  newId: () => string;
  /** Whether this daemon is the one that writes snapshots. */
  isWriter: () => boolean;
  everyRecords: number;
  everyMs: number;
}

/** Writes snapshots periodically while this daemon is the writer. */
export class SnapshotWriter {
  readonly #options: SnapshotWriterOptions;
  readonly #stop = createStop();
  #task: Promise<void> | undefined;
  #lastOffset: Offset;
  #lastWrittenAt: number;
  /** Number of snapshots written by this daemon. */
  written = 0;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
    this.#lastOffset = 0;
    this.#lastWrittenAt = options.now();
  }

  /** Starts to write snapshots periodically. */
  start(): void {
    this.#task = this.#run();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#options.sleep(CHECK_INTERVAL_MS, this.#stop.signal);
      if (this.#options.isWriter() && this.#isDue()) {
        await this.write();
      }
    }
  }

  #isDue(): boolean {
    const { ledger, everyRecords, everyMs, now } = this.#options;
    const records = ledger.appliedOffset - this.#lastOffset;
    return records >= everyRecords ||
      (records > 0 && now() - this.#lastWrittenAt >= everyMs);
  }

  /** Writes one snapshot; returns false when a chunk could not be appended. */
  async write(): Promise<boolean> {
    const { ledger, newId, now } = this.#options;
    const document = ledger.toDocument();
    for (const chunk of toChunks(document, newId())) {
      if (!(await this.#append(formatEntry(chunk)))) {
        return false;
      }
    }
    this.#lastOffset = document.folded;
    this.#lastWrittenAt = now();
    this.written++;
    return true;
  }

  async #append(body: string): Promise<boolean> {
    for (
      let attempt = 0;
      attempt < APPEND_ATTEMPTS_MAX && !this.#stop.signal.aborted;
      attempt++
    ) {
      if ((await this.#options.log.append(body)).isOk) {
        return true;
      }
      await this.#options.sleep(APPEND_RETRY_MS, this.#stop.signal);
    }
    return false;
  }

  /** Stops writing and waits for the running write. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }
}
