/**
 * Appends a record and determines whether it took effect. An append without a response is settled by
 * following the log until the record's own id appears; a record that does not appear is appended again,
 * since duplicates are harmless.
 */
import { filter, firstValueFrom, map, merge, timer } from "rxjs";
import { Result } from "true-myth";
import type { Offset, Sleep } from "@bulrushwood/types";
import { type LogClient, LogErrorKind } from "@bulrushwood/log_client";
import { LedgerError, LedgerErrorKind } from "./errors.ts";
import type { Ledger, ProcessedRecord } from "./ledger.ts";
import { type Entry, formatEntry } from "./records.ts";
import { Effect } from "./state.ts";

const RETRY_MS = 100;
/** Time to follow the log for the record's id before the record is appended again, in milliseconds. */
const FOLLOW_MS = 1_000;

/** Dependencies of a submitter. */
export interface SubmitterOptions {
  log: LogClient;
  ledger: Ledger;
  sleep: Sleep;
}

/** Appends records and returns whether they took effect. */
export class Submitter {
  readonly #options: SubmitterOptions;

  constructor(options: SubmitterOptions) {
    this.#options = options;
  }

  /** Appends a record; returns its offset once it has appeared in the log and taken effect. */
  async submit(
    entry: Entry,
    options: { timeoutMs: number },
  ): Promise<Result<Offset, LedgerError>> {
    const deadline = performance.now() + options.timeoutMs;
    const settled = this.#awaitProcessed(entry.id, options.timeoutMs);
    const isAmbiguous = await this.#appendUntilProcessed(entry, deadline, settled);
    const processed = await settled;
    if (processed !== undefined) {
      return this.#toResult(processed);
    }
    if (isAmbiguous) {
      const message = "The log has not shown yet whether the record takes effect";
      return Result.err(new LedgerError(LedgerErrorKind.Unsettled, message));
    }
    const message = "The log did not accept the record";
    return Result.err(new LedgerError(LedgerErrorKind.NotApplied, message));
  }

  /** Appends until the record is processed or time is up; returns whether any append may take effect. */
  async #appendUntilProcessed(
    entry: Entry,
    deadline: number,
    settled: Promise<ProcessedRecord | undefined>,
  ): Promise<boolean> {
    const { log, sleep } = this.#options;
    const body = formatEntry(entry);
    let isAmbiguous = false;
    while (performance.now() < deadline) {
      const appended = await log.append(body);
      isAmbiguous ||= appended.isOk ||
        appended.error.kind === LogErrorKind.Ambiguous;
      const waitMs = appended.isOk ? deadline - performance.now() : RETRY_MS;
      const followMs = isAmbiguous && appended.isErr ? FOLLOW_MS : waitMs;
      const seen = await Promise.race([settled, sleep(Math.max(0, followMs))]);
      if (seen !== undefined) {
        break;
      }
    }
    return isAmbiguous;
  }

  #awaitProcessed(id: string, timeoutMs: number): Promise<ProcessedRecord | undefined> {
    const processed = this.#options.ledger.changes.pipe(
      filter((change) => change.entry?.id === id),
    );
    const timeout = timer(timeoutMs).pipe(map(() => undefined));
    return firstValueFrom(merge(processed, timeout), { defaultValue: undefined });
  }

  #toResult(processed: ProcessedRecord): Result<Offset, LedgerError> {
    if (processed.effect === Effect.Applied) {
      return Result.ok(processed.offset);
    }
    return Result.err(new LedgerError(LedgerErrorKind.Conflict, processed.reason));
  }
}
