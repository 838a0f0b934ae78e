/**
 * Looks after the server beside a daemon, and gives its keys to others when it leaves, is lost, has too
 * much to do, or when the daemon ends. One of these is under way at a time.
 */
import type { OwnershipTable } from "@bulrushwood/ledger_store";
import type { Granting } from "@bulrushwood/lease_ranges";
import { type Candidate, type LoadMeter, spread } from "@bulrushwood/planner_ranges";
import { type Address, createStop, sleep } from "@bulrushwood/types";
import { Event, type EventLog } from "./event_log.ts";
import type { ServerWatch } from "./server_watch.ts";

/** How often the server beside the daemon is looked after, in milliseconds. */
const SERVER_LOOK_MS = 120;
/** Pause before keys are given away again, in milliseconds. */
const GIVE_AGAIN_MS = 50;

/** What a giver of keys needs. */
export interface KeyGiverOptions {
  self: Address;
  watch: ServerWatch;
  granting: Granting;
  meter: LoadMeter;
  table: () => OwnershipTable;
  /** Servers that may get keys. */
  candidates: () => Candidate[];
  /** Asks the server itself; gives the id of the one that answered that it is well. */
  probe: () => Promise<string | undefined>;
  /** Tells peers at once of what changed here. */
  tellPeers: () => void;
  isEnding: () => boolean;
  /** Whether the store answers, so that what is let go can pass on. */
  hasStore: () => boolean;
  log: EventLog;
}

/** Gives the keys of one server away. */
export class KeyGiver {
  readonly #options: KeyGiverOptions;
  readonly #stop = createStop();
  #isGiving = false;
  #isReachable = true;

  constructor(options: KeyGiverOptions) {
    this.#options = options;
  }

  /** Whether keys are being given away. */
  get isGiving(): boolean {
    return this.#isGiving;
  }

  /** Starts to look after the server. */
  start(): void {
    this.#run();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#checkServer();
      await sleep(SERVER_LOOK_MS, this.#stop.signal);
    }
  }

  async #checkServer(): Promise<void> {
    const { watch, isEnding, log } = this.#options;
    const { report, leavingSince } = watch;
    if (report === undefined || this.#isGiving || isEnding()) {
      return;
    }
    if (leavingSince !== undefined) {
      await this.#giveAll("the server leaves", { isServerGone: false });
      return;
    }
    const isReachable = watch.isReachable || await this.#probe(report.id);
    if (isReachable !== this.#isReachable) {
      this.#isReachable = isReachable;
      log(isReachable ? Event.ServerBack : Event.ServerLost, { server: report.id });
    }
    if (!isReachable) {
      await this.#giveAll("the server is lost", { isServerGone: true });
    }
  }

  /** A server whose reports stay away may still answer. */
  async #probe(id: string): Promise<boolean> {
    if (await this.#options.probe() !== id) {
      return false;
    }
    this.#options.watch.noteAnswer();
    return true;
  }

  /** Gives all keys to others, each to one with room, and leaves the ownership table. */
  async #giveAll(cause: string, options: { isServerGone: boolean }): Promise<void> {
    const { self, granting, meter, candidates, tellPeers, log } = this.#options;
    const table = this.#options.table();
    if (table.hosts[self] === undefined && granting.own.length === 0) {
      return;
    }
    this.#isGiving = true;
    tellPeers();
    const others = candidates().filter(({ address }) =>
      address !== self && table.hosts[address] !== undefined
    );
    const pieces = meter.cut(granting.own);
    const outcome = await granting.give(() => spread(pieces, others), { ...options, leave: true });
    log(Event.KeysGiven, { cause, outcome });
    this.#isGiving = false;
  }

  /**
   * Gives keys away until none is left, also those that came while others were given. While the store does not
   * answer they are served here as long as the daemon runs, since nobody else could get them.
   */
  async giveAllBeforeEnd(): Promise<void> {
    while (this.#options.granting.own.length > 0) {
      if (!this.#isGiving && this.#options.hasStore()) {
        await this.#giveAll("the daemon stops", { isServerGone: false });
      }
      await sleep(GIVE_AGAIN_MS);
    }
  }

  /** Gives some keys away, as a planner asked. */
  giveMoves(moves: { first: number; last: number; to: Address }[]): void {
    const { granting, isEnding, log } = this.#options;
    if (this.#isGiving || isEnding()) {
      return;
    }
    this.#isGiving = true;
    const assignments = moves.map(({ first, last, to }) => ({ first, last, to, handover: null }));
    granting.give(() => assignments, { leave: false, isServerGone: false })
      .then((outcome) => log(Event.KeysGiven, { cause: "load", outcome }))
      .catch((error: Error) => log(Event.TaskFailed, { task: "give", reason: error.message }))
      .finally(() => this.#isGiving = false);
  }

  /** Stops looking after the server; what is being given away is not waited for. */
  close(): void {
    this.#stop.abort();
  }
}
