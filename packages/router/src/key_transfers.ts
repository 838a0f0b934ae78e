/**
 * Monitors a daemon's backend server, and transfers its keys to other servers when it leaves, is lost or is
 * overloaded, or when the daemon stops. One transfer runs at a time.
 */
import { z } from "zod";
import { type OwnershipTable, rangeOf } from "@bulrushwood/ledger_store";
import type { GrantManager } from "@bulrushwood/lease_ranges";
import { type Candidate, type LoadMeter, spread } from "@bulrushwood/planner_ranges";
import { type Address, createStop, pause, sleep } from "@bulrushwood/types";
import { Event, type EventLog } from "./event_log.ts";
import type { ServerWatch } from "./server_watch.ts";

/** Interval between checks of the backend server, in milliseconds. */
const SERVER_CHECK_INTERVAL_MS = 100;
/** Pause between transfers while a stopping daemon still owns keys, in milliseconds. */
const TRANSFER_RETRY_MS = 50;

/** Range of the random factors on the room that one of several donors sees at a server. */
const SHARE_RANGE = { least: 0.7, most: 1.3 };

/** Schema of a planner's request to transfer keys of the daemon that it calls. */
const movesSchema = z.object({
  service: z.string(),
  moves: z.array(z.object({ first: z.number(), last: z.number(), to: z.string() })),
});
type Moves = z.infer<typeof movesSchema>["moves"];

export interface KeyTransfersOptions {
  self: Address;
  service: string;
  watch: ServerWatch;
  grantManager: GrantManager;
  meter: LoadMeter;
  table: () => OwnershipTable;
  /** Returns the servers that may receive keys. */
  candidates: () => Candidate[];
  /** Checks the health of the server; resolves to the id of the server that responded as healthy. */
  probe: () => Promise<string | undefined>;
  /** Sends the changed state to peers at once. */
  notifyPeers: () => void;
  /** Whether the server must get nothing, as operators ask for its data centre. */
  isEvacuated: () => boolean;
  /** Returns the own part of the load of all servers that are evacuated, from 0 to 1. */
  evacuatedShare: () => number;
  /** Whether the daemon hands all keys over because it stops. */
  isHandingOver: () => boolean;
  /** Whether the store responds, so that released keys can be assigned to other servers. */
  hasStore: () => boolean;
  log: EventLog;
}

/** Transfers the keys of one backend server to other servers. */
export class KeyTransfers {
  readonly #options: KeyTransfersOptions;
  readonly #stop = createStop();
  #isTransferring = false;
  #isReachable = true;

  constructor(options: KeyTransfersOptions) {
    this.#options = options;
  }

  /** Whether a transfer is running. */
  get isTransferring(): boolean {
    return this.#isTransferring;
  }

  /** Starts to check the server periodically. */
  start(): void {
    this.#run();
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#checkServer();
      await pause(SERVER_CHECK_INTERVAL_MS, this.#stop.signal);
    }
  }

  async #checkServer(): Promise<void> {
    const { watch, isHandingOver, isEvacuated, log } = this.#options;
    const { report, leavingSince } = watch;
    if (report === undefined || this.#isTransferring || isHandingOver()) {
      return;
    }
    if (leavingSince !== undefined) {
      await this.#transferAll("the server leaves", { isServerLost: false });
      return;
    }
    if (isEvacuated()) {
      const share = this.#options.evacuatedShare();
      await this.#transferAll("the data centre is evacuated", { isServerLost: false, share });
      return;
    }
    const isReachable = watch.isReachable || await this.#probe(report.id);
    if (isReachable !== this.#isReachable) {
      this.#isReachable = isReachable;
      log(isReachable ? Event.ServerBack : Event.ServerLost, { server: report.id });
    }
    if (!isReachable) {
      await this.#transferAll("the server is lost", { isServerLost: true });
    }
  }

  /** Checks by a health check whether a server without recent reports still responds. */
  async #probe(id: string): Promise<boolean> {
    if (await this.#options.probe() !== id) {
      return false;
    }
    this.#options.watch.recordResponse();
    return true;
  }

  /** Transfers all keys to servers with spare capacity, and leaves the ownership table. */
  async #transferAll(
    cause: string,
    options: { isServerLost: boolean; share?: number },
  ): Promise<void> {
    const { isServerLost, share = 1 } = options;
    const { self, grantManager, meter, candidates, notifyPeers, log } = this.#options;
    const table = this.#options.table();
    if (table.hosts[self] === undefined && grantManager.ownRanges.length === 0) {
      return;
    }
    this.#isTransferring = true;
    notifyPeers();
    const others = candidates().filter(({ address }) =>
      address !== self && table.hosts[address] !== undefined
    ).map((candidate) => takeShare(candidate, share));
    const pieces = meter.cut(grantManager.ownRanges);
    const ownerOf = (key: number) => rangeOf(table, key).owner;
    const assignments = spread(pieces, others, { ownerOf });
    const outcome = await grantManager.transfer(() => assignments, { isServerLost, leave: true });
    log(Event.KeysTransferred, { cause, outcome });
    this.#isTransferring = false;
  }

  /**
   * Transfers keys until none is left, including keys that are assigned here meanwhile. While the store does
   * not respond, the keys are served here as long as the daemon runs, since no other server could get them.
   */
  async transferAllBeforeEnd(): Promise<void> {
    while (this.#options.grantManager.ownRanges.length > 0) {
      if (!this.#isTransferring && this.#options.hasStore()) {
        await this.#transferAll("the daemon stops", { isServerLost: false });
      }
      await sleep(TRANSFER_RETRY_MS);
    }
  }

  /** Handles a planner's request. One for another service was meant for an earlier daemon at this address. */
  handleMoves(payload: unknown): void {
    const { service, moves } = movesSchema.parse(payload);
    if (service === this.#options.service) {
      this.transferMoves(moves);
    }
  }

  /** Transfers some keys to other servers. */
  transferMoves(moves: Moves): void {
    const { grantManager, isHandingOver, log } = this.#options;
    if (this.#isTransferring || isHandingOver()) {
      return;
    }
    this.#isTransferring = true;
    const assignments = moves.map(({ first, last, to }) => ({ first, last, to, handover: null }));
    grantManager.transfer(() => assignments, { leave: false, isServerLost: false })
      .then((outcome) => log(Event.KeysTransferred, { cause: "load", outcome }))
      .catch((error: Error) => log(Event.TaskFailed, { task: "give", reason: error.message }))
      .finally(() => this.#isTransferring = false);
  }

  /** Stops checking the server; does not wait for a running transfer. */
  close(): void {
    this.#stop.abort();
  }
}

/**
 * Returns the part of a server's room that one of several donors takes up. Without it, all servers of a data centre
 * would give their keys to the same few others at the same time. The parts differ at random for the same reason.
 */
function takeShare(candidate: Candidate, share: number): Candidate {
  if (share >= 1) {
    return candidate;
  }
  const { slots, rate, requestsPerSecond } = candidate;
  const part = share * (SHARE_RANGE.least + (SHARE_RANGE.most - SHARE_RANGE.least) * Math.random());
  return {
    ...candidate,
    slots: slots * part,
    rate: rate * part,
    requestsPerSecond: requestsPerSecond === undefined ? undefined : requestsPerSecond * part,
  };
}
