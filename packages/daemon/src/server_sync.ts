/**
 * Keeps the description of the local backend server in the log equal to what the server announces,
 * and moves all keys away from the daemon when the server drains or no longer announces itself.
 */
import type { Detector, Membership } from "@bulrushwood/membership";
import type { Ledger, ServerDescription } from "@bulrushwood/ledger";
import { type Address, sleep } from "@bulrushwood/types";
import { type Log, LogLevel } from "./logger.ts";
import type { LocalServer } from "./local_server.ts";
import type { KeyDrain } from "./key_drain.ts";

const RECORD_RETRY_MS = 500;
/**
 * Time between attempts to clear the suspicion of this daemon, in milliseconds. A daemon whose
 * lease group went over to a successor gets no keys for at least this long.
 */
const SUSPICION_CHECK_INTERVAL_MS = 1_500;

/** Dependencies of a `ServerSync`. */
export interface ServerSyncOptions {
  address: Address;
  ledger: Ledger;
  server: LocalServer;
  membership: Membership;
  detector: Detector;
  keyDrain: KeyDrain;
  log: Log;
  /** Called when the server differs so much that the daemon has to join as a new incarnation. */
  onIncompatibleServer: () => void;
}

/** Returns the description of the server for the log; null while the server accepts no requests. */
export function describeServer(server: LocalServer): ServerDescription | null {
  const announcement = server.announcement;
  if (announcement === undefined || announcement.draining) {
    return null;
  }
  const { pool, slots, connections, checksGrants } = announcement;
  return { pool, slots, connections, checksGrants };
}

/** Records changes of the server in the log. */
export class ServerSync {
  readonly #options: ServerSyncOptions;
  #isSyncing = false;
  #isClearingSuspicion = false;
  #isClosed = false;

  constructor(options: ServerSyncOptions) {
    this.#options = options;
  }

  /**
   * Records the server's description until the log has the current one, unless a call is already
   * doing so.
   */
  async sync(): Promise<void> {
    if (this.#isSyncing) {
      return;
    }
    this.#isSyncing = true;
    try {
      await this.#syncUntilEqual();
    } finally {
      this.#isSyncing = false;
    }
  }

  async #syncUntilEqual(): Promise<void> {
    const { ledger, address, server, keyDrain } = this.#options;
    while (!this.#isClosed) {
      const current = describeServer(server);
      const recorded = ledger.instances.get(address)?.server ?? null;
      if (JSON.stringify(current) === JSON.stringify(recorded)) {
        return;
      }
      if (isIncompatible(current, recorded)) {
        this.#options.onIncompatibleServer();
        return;
      }
      if (current === null) {
        keyDrain.drainKeys({ isServerUnresponsive: server.announcement === undefined });
      }
      await this.#recordServer(current);
    }
  }

  async #recordServer(current: ServerDescription | null): Promise<void> {
    const result = await this.#options.membership.describeServer(current);
    if (result.isErr) {
      const reason = result.error.message;
      const message = "The server's description could not be recorded in the log; trying again";
      this.#options.log(LogLevel.Warn, message, { reason });
      await sleep(RECORD_RETRY_MS);
    }
  }

  get #isSuspected(): boolean {
    const { ledger, address } = this.#options;
    return ledger.instances.get(address)?.isSuspected ?? false;
  }

  /**
   * Records the server's description again while this daemon is suspected and receives heartbeats
   * from its peers, which shows in the log that it runs.
   */
  async clearSuspicion(): Promise<void> {
    if (this.#isClearingSuspicion) {
      return;
    }
    this.#isClearingSuspicion = true;
    while (this.#isSuspected && !this.#isClosed) {
      await sleep(SUSPICION_CHECK_INTERVAL_MS);
      if (this.#isSuspected && this.#options.detector.receivesHeartbeats && !this.#isClosed) {
        await this.#recordServer(describeServer(this.#options.server));
      }
    }
    this.#isClearingSuspicion = false;
  }

  /** Stops recording. */
  close(): void {
    this.#isClosed = true;
  }
}

/**
 * Whether the server is in another pool or checks grants differently, which takes a new
 * incarnation.
 */
function isIncompatible(
  current: ServerDescription | null,
  recorded: ServerDescription | null,
): boolean {
  if (current === null || recorded === null) {
    return false;
  }
  return current.pool !== recorded.pool || current.checksGrants !== recorded.checksGrants;
}
