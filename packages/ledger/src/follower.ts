/**
 * Follows the log: starts from a complete snapshot if older records have expired, then applies the records
 * after it for as long as it runs. Records may also come from a peer while the log is unreachable; both
 * sources feed the same ledger.
 */
import { Result } from "true-myth";
import { createStop, type Offset, type Sleep } from "@bulrushwood/types";
import {
  type Batch,
  type LogClient,
  type LogError,
  LogErrorKind,
  type LogRecord,
} from "@bulrushwood/log_client";
import { LedgerError, LedgerErrorKind } from "./errors.ts";
import type { Ledger, ProcessedRecord } from "./ledger.ts";
import { SnapshotAssembly } from "./snapshot.ts";

const RETRY_MIN_MS = 50;
const RETRY_MAX_MS = 1_000;
/** Number of recent records to keep for peers that are cut off from the log; up to twice as many at times. */
const RECENT_RECORDS_MAX = 5_000;

/** Settings and dependencies of a follower. Times are in milliseconds. */
export interface FollowerOptions {
  log: LogClient;
  ledger: Ledger;
  sleep: Sleep;
  pollWaitMs: number;
  /** Called for each record that has no effect because it is corrupt or of an unknown kind. */
  onCorrupt?: (record: ProcessedRecord) => void;
  /** Called after each failed attempt to start, with the reason. */
  onStartFailed?: (reason: string) => void;
}

/** Keeps a ledger up to date with the log. */
export class Follower {
  readonly #options: FollowerOptions;
  readonly #stop = createStop();
  #isReachable = false;
  readonly #recentRecords: LogRecord[] = [];
  #assembly = new SnapshotAssembly();
  #task: Promise<Result<void, LedgerError>> | undefined;

  constructor(options: FollowerOptions) {
    this.#options = options;
  }

  /** Whether the last read of the log succeeded. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Reads the log to its end as of now; retries until that succeeds or the follower is closed. */
  async start(): Promise<Result<Offset, LedgerError>> {
    while (!this.#stop.signal.aborted) {
      const started = await this.#catchUp();
      if (started.isOk) {
        this.#task = this.#follow();
        return Result.ok(started.value);
      }
      this.#isReachable = false;
      this.#options.onStartFailed?.(started.error.message);
      await this.#options.sleep(RETRY_MAX_MS / 4, this.#stop.signal);
    }
    return Result.err(
      new LedgerError(LedgerErrorKind.Unsettled, "The follower was closed"),
    );
  }

  /** Resolves when the follower stops; with an error when records that this process needs have expired. */
  ended(): Promise<Result<void, LedgerError>> {
    return this.#task ?? Promise.resolve(Result.ok(undefined));
  }

  async #catchUp(): Promise<Result<Offset, LogError | LedgerError>> {
    const { log } = this.#options;
    let from = 1;
    let end: Offset | undefined;
    while (!this.#stop.signal.aborted) {
      const read = await log.read(from, { signal: this.#stop.signal });
      if (read.isErr && read.error.kind === LogErrorKind.Expired) {
        from = read.error.first ?? from;
        continue;
      }
      if (read.isErr) {
        return Result.err(read.error);
      }
      const batch = read.value;
      end ??= batch.end - 1;
      this.#processBatch(batch);
      from = (batch.records.at(-1)?.offset ?? from - 1) + 1;
      if (from > end) {
        return this.#checkComplete(batch, end);
      }
    }
    return Result.err(
      new LedgerError(LedgerErrorKind.Unsettled, "The follower was closed"),
    );
  }

  /** Returns an error if expired records are not covered by a snapshot. */
  #checkComplete(batch: Batch, end: Offset): Result<Offset, LedgerError> {
    const { ledger } = this.#options;
    if (ledger.appliedOffset >= end || end === 0) {
      this.#isReachable = true;
      return Result.ok(end);
    }
    const message = `The log starts at ${batch.first} and holds no whole snapshot`;
    return Result.err(new LedgerError(LedgerErrorKind.Expired, message));
  }

  async #follow(): Promise<Result<void, LedgerError>> {
    const { log, ledger, sleep, pollWaitMs } = this.#options;
    let retryMs = RETRY_MIN_MS;
    while (!this.#stop.signal.aborted) {
      const from = ledger.appliedOffset + 1;
      const read = await log.read(from, {
        waitMs: pollWaitMs,
        signal: this.#stop.signal,
      });
      if (read.isOk) {
        this.#isReachable = true;
        this.#processBatch(read.value);
        retryMs = RETRY_MIN_MS;
        continue;
      }
      if (
        read.error.kind === LogErrorKind.Expired &&
        ledger.appliedOffset + 1 < (read.error.first ?? 0)
      ) {
        return Result.err(
          new LedgerError(LedgerErrorKind.Expired, read.error.message),
        );
      }
      this.#isReachable = false;
      await sleep(retryMs, this.#stop.signal);
      retryMs = Math.min(retryMs * 2, RETRY_MAX_MS);
    }
    return Result.ok(undefined);
  }

  #processBatch(batch: Batch): void {
    for (const record of batch.records) {
      this.#processRecord(record);
    }
  }

  /** Applies the next record; if records before it are missing, looks for a snapshot instead. */
  #processRecord(record: LogRecord): void {
    const { ledger } = this.#options;
    if (record.offset === ledger.appliedOffset + 1) {
      this.#apply(record);
      return;
    }
    if (record.offset <= ledger.appliedOffset) {
      return;
    }
    const document = this.#assembly.add(record);
    if (document === undefined) {
      return;
    }
    ledger.restore(document);
    for (const remaining of this.#assembly.recordsAfter(document.folded)) {
      this.#apply(remaining);
    }
    this.#assembly = new SnapshotAssembly();
  }

  #apply(record: LogRecord): void {
    const processed = this.#options.ledger.apply(record.offset, record.body);
    this.#recentRecords.push(record);
    if (this.#recentRecords.length > RECENT_RECORDS_MAX * 2) {
      this.#recentRecords.splice(0, RECENT_RECORDS_MAX);
    }
    if (processed.entry === undefined) {
      this.#options.onCorrupt?.(processed);
    }
  }

  /** Returns records from an offset on, for a peer; none if the first is no longer in memory. */
  recentRecordsFrom(from: Offset, limit: number): LogRecord[] {
    const first = this.#recentRecords[0]?.offset;
    if (first === undefined || from < first) {
      return [];
    }
    const start = from - first;
    return this.#recentRecords.slice(start, start + limit);
  }

  /** Applies records that a peer relayed; ignores those that are not the next one. */
  applyRelayed(records: LogRecord[]): void {
    for (const record of records) {
      if (record.offset === this.#options.ledger.appliedOffset + 1) {
        this.#apply(record);
      }
    }
  }

  /** Stops following the log. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }
}
