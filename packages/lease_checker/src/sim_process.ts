/**
 * One process of a run, with the daemon's own ledger and leases, and clocks and pauses of its own.
 */
import { Result } from "true-myth";
import { Leases, type Permit, type Rules, ServeState } from "@bulrushwood/lease";
import { type Entry, formatEntry, Ledger, RecordKind } from "@bulrushwood/ledger";
import type { Random } from "@bulrushwood/types";
import type { FakeLog } from "./fake_log.ts";
import type { FakeNetwork } from "./network.ts";
import type { Scheduler } from "./scheduler.ts";

/** Length of a lease in a run, in milliseconds. */
export const LEASE_MS = 1_000;
const DRIFT_MARGIN_MS = 50;
const CLOCK_OFFSET_MAX_MS = 100_000;

/** What a process needs. */
export interface SimProcessOptions {
  address: string;
  scheduler: Scheduler;
  network: FakeNetwork;
  log: FakeLog;
  random: Random;
  /** Rate of the process's clock against true time. */
  rate: number;
  rules: Rules;
  checksGrants: boolean;
  newId: () => string;
}

/** A process of a run. */
export class SimProcess {
  readonly #options: SimProcessOptions;
  readonly #clockOffset: number;
  #generation = 0;
  #pausedUntil = 0;
  #ledger = new Ledger();
  #keeper: Leases | undefined;
  #joinId = "";
  #isEnded = false;
  #incarnation = 0;

  constructor(options: SimProcessOptions) {
    this.#options = options;
    this.#clockOffset = options.random() * CLOCK_OFFSET_MAX_MS;
    options.log.follow((end) => this.enter(() => this.#foldTo(end)));
  }

  get address(): string {
    return this.#options.address;
  }

  /** Whether the backend server beside this process checks grants. */
  get checksGrants(): boolean {
    return this.#options.checksGrants;
  }

  /** The ledger as this process sees it. */
  get ledger(): Ledger {
    return this.#ledger;
  }

  /** Whether the process does nothing now. */
  get isPaused(): boolean {
    return this.#options.scheduler.now < this.#pausedUntil;
  }

  /** The process's own clock, in milliseconds. */
  now(): number {
    return this.#clockOffset + this.#options.scheduler.now * this.#options.rate;
  }

  /** True time of a time on the process's own clock. */
  toTrue(time: number): number {
    return (time - this.#clockOffset) / this.#options.rate;
  }

  /** Runs something in this life of the process, once it is not paused. */
  enter(run: () => void): void {
    if (this.#isEnded) {
      return;
    }
    this.#enterLife(this.#generation, run);
  }

  #enterLife(generation: number, run: () => void): void {
    if (generation !== this.#generation) {
      return;
    }
    if (this.isPaused) {
      this.#options.scheduler.at(this.#pausedUntil, () => this.#enterLife(generation, run));
      return;
    }
    run();
  }

  /** Waits on the process's own clock; never returns once the process has ended. */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    const generation = this.#generation;
    const { scheduler, rate } = this.#options;
    return new Promise((resolve) => {
      signal?.addEventListener("abort", () => resolve(), { once: true });
      if (signal?.aborted) {
        resolve();
        return;
      }
      scheduler.at(scheduler.now + ms / rate, () => this.#enterLife(generation, resolve));
    });
  }

  /** Takes part from the beginning of the run, with a record that is in the log already. */
  startAs(incarnation: number): void {
    this.#foldTo(this.#options.log.end);
    this.#createKeeper(incarnation);
  }

  /** Stops for a while and then goes on. */
  pause(ms: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, this.#options.scheduler.now + ms);
  }

  /** Ends for good. */
  end(): void {
    this.#generation++;
    this.#keeper = undefined;
    this.#isEnded = true;
  }

  /** Incarnation of the process; 0 while it has none. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Ends, and starts again as a new incarnation after a while. */
  restart(afterMs: number): void {
    if (this.#isEnded) {
      return;
    }
    this.#generation++;
    this.#pausedUntil = 0;
    this.#keeper = undefined;
    this.#ledger = new Ledger();
    this.sleep(afterMs).then(() => this.#join());
  }

  async #join(): Promise<void> {
    const { log, newId, address } = this.#options;
    while (!log.isUp) {
      await this.sleep(LEASE_MS / 10);
    }
    this.#foldTo(log.end);
    this.#joinId = newId();
    const expects = this.#ledger.instances.get(address)?.incarnation ?? 0;
    log.append(formatEntry(joinedEntry(this.#joinId, address, expects, this.checksGrants)));
  }

  #foldTo(end: number): void {
    while (this.#ledger.appliedOffset < end) {
      const offset = this.#ledger.appliedOffset + 1;
      const folded = this.#ledger.apply(offset, this.#options.log.recordAt(offset));
      const isOwnJoin = folded.entry?.id === this.#joinId && folded.effect === "applied";
      if (isOwnJoin && this.#keeper === undefined && this.#joinId !== "") {
        this.#createKeeper(offset);
      }
    }
  }

  #createKeeper(incarnation: number): void {
    const { network, log, rules, newId, address } = this.#options;
    this.#incarnation = incarnation;
    this.#keeper = new Leases({
      ledger: this.#ledger,
      address,
      incarnation,
      now: () => this.now(),
      sleep: (ms, signal) => this.sleep(ms, signal),
      call: (peer, method, payload, options) =>
        Promise.race([
          network.call(this.#endpoint(), peer, { method, payload }),
          this.sleep(options.timeoutMs).then(() => Result.err<unknown, Error>(new Error("late"))),
        ]),
      append: (entry) => log.append(formatEntry(entry)),
      newId,
      durationMs: LEASE_MS,
      driftMarginMs: DRIFT_MARGIN_MS,
      rules,
    });
  }

  #endpoint(): { address: string; enter: (run: () => void) => void; answer: () => undefined } {
    const generation = this.#generation;
    return {
      address: this.address,
      enter: (run) => this.#enterLife(generation, run),
      answer: () => undefined,
    };
  }

  /** Answers another process. */
  answer(method: string, payload: unknown): Promise<unknown> | undefined {
    return this.#keeper?.handleCall(method, payload);
  }

  /** Whether this process would serve a shard now. */
  isReady(pool: string, shard: number): boolean {
    return this.#keeper?.stateOf(pool, shard) === ServeState.Ready;
  }

  /** Begins a request for a shard. */
  begin(pool: string, shard: number): Permit | undefined {
    return this.#keeper?.begin(pool, shard);
  }

  /** Gives up all groups. */
  surrender(): void {
    this.#keeper?.surrenderAll();
  }
}

/** The record with which a process of a run joins. */
export function joinedEntry(
  id: string,
  address: string,
  expects: number,
  checksGrants: boolean,
): Entry {
  return {
    id,
    kind: RecordKind.InstanceJoined,
    address,
    expects,
    name: address,
    dataCentre: "dc",
    region: "r",
    admin: address,
    server: { pool: "pool", slots: 1, connections: 1, checksGrants },
  };
}
