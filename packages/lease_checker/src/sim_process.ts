/**
 * Simulated process: the daemon's own ledger and lease code on a virtual clock that drifts, pauses and restarts.
 */
import { Result } from "true-myth";
import { Leases, type Permit, type Rules, ServeState } from "@bulrushwood/lease";
import { type Entry, formatEntry, Ledger, RecordKind } from "@bulrushwood/ledger";
import type { Random } from "@bulrushwood/types";
import type { FakeLog } from "./fake_log.ts";
import type { FakeNetwork } from "./fake_network.ts";
import type { Scheduler } from "./scheduler.ts";

/** Length of a lease in a run, in milliseconds. */
export const LEASE_MS = 1_000;
const DRIFT_MARGIN_MS = 50;
const CLOCK_OFFSET_MAX_MS = 100_000;

export interface SimProcessOptions {
  address: string;
  scheduler: Scheduler;
  network: FakeNetwork;
  log: FakeLog;
  random: Random;
  /** Rate of the process's clock relative to true time. */
  rate: number;
  rules: Rules;
  checksGrants: boolean;
  newId: () => string;
}

/** Daemon process of a run; a restart replaces its ledger and leases. */
export class SimProcess {
  readonly #options: SimProcessOptions;
  readonly #clockOffset: number;
  /** Increases when the process ends or restarts, which drops the callbacks that were scheduled before. */
  #generation = 0;
  #pausedUntil = 0;
  #ledger = new Ledger();
  #leases: Leases | undefined;
  #joinRecordId = "";
  #isEnded = false;
  #incarnation = 0;

  constructor(options: SimProcessOptions) {
    this.#options = options;
    this.#clockOffset = options.random() * CLOCK_OFFSET_MAX_MS;
    options.log.follow((end) => this.runInProcess(() => this.#applyTo(end)));
  }

  get address(): string {
    return this.#options.address;
  }

  /** Whether the process's backend server checks grants. */
  get checksGrants(): boolean {
    return this.#options.checksGrants;
  }

  /** Ledger with the records that this process has applied. */
  get ledger(): Ledger {
    return this.#ledger;
  }

  get isPaused(): boolean {
    return this.#options.scheduler.now < this.#pausedUntil;
  }

  /** Time on the process's own clock, in milliseconds. */
  now(): number {
    return this.#clockOffset + this.#options.scheduler.now * this.#options.rate;
  }

  /** Converts a time on the process's own clock to true time. */
  toTrueTime(time: number): number {
    return (time - this.#clockOffset) / this.#options.rate;
  }

  /** Runs a callback once the process is not paused; drops it if the process ends or restarts before. */
  runInProcess(run: () => void): void {
    if (this.#isEnded) {
      return;
    }
    this.#runInGeneration(this.#generation, run);
  }

  #runInGeneration(generation: number, run: () => void): void {
    if (generation !== this.#generation) {
      return;
    }
    if (this.isPaused) {
      this.#options.scheduler.at(this.#pausedUntil, () => this.#runInGeneration(generation, run));
      return;
    }
    run();
  }

  /** Waits on the process's own clock; never resolves if the process ends or restarts before. */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    const generation = this.#generation;
    const { scheduler, rate } = this.#options;
    return new Promise((resolve) => {
      signal?.addEventListener("abort", () => resolve(), { once: true });
      if (signal?.aborted) {
        resolve();
        return;
      }
      scheduler.at(scheduler.now + ms / rate, () => this.#runInGeneration(generation, resolve));
    });
  }

  /** Starts the process at the beginning of the run; its record of joining is in the log already. */
  startWithIncarnation(incarnation: number): void {
    this.#applyTo(this.#options.log.end);
    this.#createLeases(incarnation);
  }

  /** Pauses the process; callbacks that are due during the pause run after it. */
  pause(ms: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, this.#options.scheduler.now + ms);
  }

  /** Ends the process permanently. */
  end(): void {
    this.#generation++;
    this.#leases = undefined;
    this.#isEnded = true;
  }

  /** Current incarnation, which is the offset of the record of joining; 0 before the first. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Ends the process and starts it as a new incarnation after a while. */
  restart(afterMs: number): void {
    if (this.#isEnded) {
      return;
    }
    this.#generation++;
    this.#pausedUntil = 0;
    this.#leases = undefined;
    this.#ledger = new Ledger();
    this.sleep(afterMs).then(() => this.#join());
  }

  async #join(): Promise<void> {
    const { log, newId, address } = this.#options;
    while (!log.isAvailable) {
      await this.sleep(LEASE_MS / 10);
    }
    this.#applyTo(log.end);
    this.#joinRecordId = newId();
    const expects = this.#ledger.instances.get(address)?.incarnation ?? 0;
    log.append(formatEntry(joinedEntry(this.#joinRecordId, address, expects, this.checksGrants)));
  }

  #applyTo(end: number): void {
    while (this.#ledger.appliedOffset < end) {
      const offset = this.#ledger.appliedOffset + 1;
      const applied = this.#ledger.apply(offset, this.#options.log.recordAt(offset));
      const isOwnJoin = applied.entry?.id === this.#joinRecordId && applied.effect === "applied";
      if (isOwnJoin && this.#leases === undefined && this.#joinRecordId !== "") {
        this.#createLeases(offset);
      }
    }
  }

  #createLeases(incarnation: number): void {
    const { network, log, rules, newId, address } = this.#options;
    this.#incarnation = incarnation;
    this.#leases = new Leases({
      ledger: this.#ledger,
      address,
      incarnation,
      now: () => this.now(),
      sleep: (ms, signal) => this.sleep(ms, signal),
      call: (peer, method, payload, options) =>
        Promise.race([
          network.call(this.#createEndpoint(), peer, { method, payload }),
          this.sleep(options.timeoutMs).then(() =>
            Result.err<unknown, Error>(new Error("call timed out"))
          ),
        ]),
      append: (entry) => log.append(formatEntry(entry)),
      newId,
      durationMs: LEASE_MS,
      driftMarginMs: DRIFT_MARGIN_MS,
      rules,
    });
  }

  #createEndpoint(): {
    address: string;
    runInProcess: (run: () => void) => void;
    handleCall: () => undefined;
  } {
    const generation = this.#generation;
    return {
      address: this.address,
      runInProcess: (run) => this.#runInGeneration(generation, run),
      handleCall: () => undefined,
    };
  }

  /** Handles a call from another process; undefined while it has no leases, or if the method is unknown. */
  handleCall(method: string, payload: unknown): Promise<unknown> | undefined {
    return this.#leases?.handleCall(method, payload);
  }

  /** Whether the process would serve a shard now. */
  isReady(pool: string, shard: number): boolean {
    return this.#leases?.stateOf(pool, shard) === ServeState.Ready;
  }

  /** Begins a request for a shard; undefined if the process may not serve it. */
  begin(pool: string, shard: number): Permit | undefined {
    return this.#leases?.begin(pool, shard);
  }

  /** Surrenders all lease groups. */
  surrender(): void {
    this.#leases?.surrenderAll();
  }
}

/** Creates the record with which a process joins. */
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
