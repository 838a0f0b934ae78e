/**
 * Fake log with delayed and duplicated appends, delayed reads and outages.
 */
import type { Random } from "@bulrushwood/types";
import type { Scheduler } from "./scheduler.ts";

const APPEND_DELAY_MAX_MS = 30;
const READ_DELAY_MAX_MS = 60;
/** Time between attempts to append during an outage, in milliseconds. */
const RETRY_MS = 150;
/** Share of appends that take effect a second time, up to `DUPLICATE_DELAY_MAX_MS` later. */
const DUPLICATE_SHARE = 0.1;
const DUPLICATE_DELAY_MAX_MS = 700;

export interface FakeLogOptions {
  scheduler: Scheduler;
  random: Random;
}

/** Log shared by all processes of a run. */
export class FakeLog {
  readonly #options: FakeLogOptions;
  readonly #records: string[] = [];
  readonly #readers: ((end: number) => void)[] = [];
  #unavailableUntil = 0;

  constructor(options: FakeLogOptions) {
    this.#options = options;
  }

  /** Offset of the last record. */
  get end(): number {
    return this.#records.length;
  }

  /** Whether the log has no outage now. */
  get isAvailable(): boolean {
    return this.#options.scheduler.now >= this.#unavailableUntil;
  }

  recordAt(offset: number): string {
    return this.#records[offset - 1];
  }

  /** Starts an outage until a true time, or extends the current one. */
  failUntil(time: number): void {
    this.#unavailableUntil = Math.max(this.#unavailableUntil, time);
  }

  /** Adds a record before the run begins and returns its offset. */
  preload(body: string): number {
    this.#records.push(body);
    return this.#records.length;
  }

  /** Appends a record after a delay, sometimes twice; an append during an outage is retried until the outage ends. */
  append(body: string, delayMs = 0): void {
    const { scheduler, random } = this.#options;
    const at = scheduler.now + delayMs + random() * APPEND_DELAY_MAX_MS;
    const isDuplicated = random() < DUPLICATE_SHARE;
    scheduler.at(at, () => this.#write(body));
    if (isDuplicated) {
      scheduler.at(at + random() * DUPLICATE_DELAY_MAX_MS, () => this.#write(body));
    }
  }

  #write(body: string): void {
    const { scheduler, random } = this.#options;
    if (!this.isAvailable) {
      scheduler.at(scheduler.now + RETRY_MS, () => this.#write(body));
      return;
    }
    this.#records.push(body);
    const end = this.#records.length;
    for (const reader of this.#readers) {
      scheduler.at(scheduler.now + random() * READ_DELAY_MAX_MS, () => reader(end));
    }
  }

  /** Registers a reader, which is called with the offset of each new record; calls may be late and out of order. */
  follow(reader: (end: number) => void): void {
    this.#readers.push(reader);
  }
}
