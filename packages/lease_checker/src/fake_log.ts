/**
 * A fake log: keeps records, brings them to readers late, and has outages.
 */
import type { Random } from "@bulrushwood/types";
import type { Scheduler } from "./scheduler.ts";

const APPEND_MAX_MS = 30;
const READ_MAX_MS = 60;
const RETRY_MS = 150;
/** Share of the appends that take effect twice, the second time late. */
const DOUBLE_SHARE = 0.1;
const DOUBLE_AFTER_MS = 700;

/** What a fake log needs. */
export interface FakeLogOptions {
  scheduler: Scheduler;
  random: Random;
}

/** The log of a run. */
export class FakeLog {
  readonly #options: FakeLogOptions;
  readonly #records: string[] = [];
  readonly #readers: ((end: number) => void)[] = [];
  #downUntil = 0;

  constructor(options: FakeLogOptions) {
    this.#options = options;
  }

  /** Offset of the last record. */
  get end(): number {
    return this.#records.length;
  }

  /** Whether the log answers. */
  get isUp(): boolean {
    return this.#options.scheduler.now >= this.#downUntil;
  }

  /** The record at an offset. */
  recordAt(offset: number): string {
    return this.#records[offset - 1];
  }

  /** Lets the log take and give nothing until a true time. */
  stopUntil(time: number): void {
    this.#downUntil = Math.max(this.#downUntil, time);
  }

  /** Adds a record before the run begins. */
  preload(body: string): number {
    this.#records.push(body);
    return this.#records.length;
  }

  /** Appends a record, perhaps late, perhaps twice; waits out an outage. */
  append(body: string, delayMs = 0): void {
    const { scheduler, random } = this.#options;
    const at = scheduler.now + delayMs + random() * APPEND_MAX_MS;
    const isDoubled = random() < DOUBLE_SHARE;
    scheduler.at(at, () => this.#store(body));
    if (isDoubled) {
      scheduler.at(at + random() * DOUBLE_AFTER_MS, () => this.#store(body));
    }
  }

  #store(body: string): void {
    const { scheduler, random } = this.#options;
    if (!this.isUp) {
      scheduler.at(scheduler.now + RETRY_MS, () => this.#store(body));
      return;
    }
    this.#records.push(body);
    const end = this.#records.length;
    for (const reader of this.#readers) {
      scheduler.at(scheduler.now + random() * READ_MAX_MS, () => reader(end));
    }
  }

  /** Tells a reader of new records; a reader may hear of them late and out of order. */
  follow(reader: (end: number) => void): void {
    this.#readers.push(reader);
  }
}
