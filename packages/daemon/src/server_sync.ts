/**
 * Keeps what the log knows of the backend server beside this daemon equal to what the server says, and
 * gives up the daemon's keys when the server drains or is gone.
 */
import type { Detector, Membership } from "@bulrushwood/membership";
import type { Ledger, ServerDescription } from "@bulrushwood/ledger";
import { type Address, sleep } from "@bulrushwood/types";
import { type Log, LogLevel } from "./logger.ts";
import type { ServerSide } from "./server_side.ts";
import type { Vacating } from "./vacating.ts";

const CHANGE_RETRY_MS = 500;
/** How long a daemon that was succeeded keeps quiet before it asks for keys again. */
const PROVE_ALIVE_MS = 1_500;

/** What a sync needs. */
export interface ServerSyncOptions {
  address: Address;
  ledger: Ledger;
  server: ServerSide;
  membership: Membership;
  detector: Detector;
  vacating: Vacating;
  log: Log;
  /** Told when the server is so different that the daemon has to join anew. */
  onOtherServer: () => void;
}

/** What the log should know of a server now; null while it takes no work. */
export function describeServer(server: ServerSide): ServerDescription | null {
  const announcement = server.announcement;
  if (announcement === undefined || announcement.draining) {
    return null;
  }
  const { pool, slots, connections, checksGrants } = announcement;
  return { pool, slots, connections, checksGrants };
}

/** Keeps the log's description of the server up to date. */
export class ServerSync {
  readonly #options: ServerSyncOptions;
  #isUnderWay = false;
  #isProvingAlive = false;
  #isClosed = false;

  constructor(options: ServerSyncOptions) {
    this.#options = options;
  }

  /** Brings the log's description up to date, unless that is under way. */
  async sync(): Promise<void> {
    if (this.#isUnderWay) {
      return;
    }
    this.#isUnderWay = true;
    try {
      await this.#describeUntilEqual();
    } finally {
      this.#isUnderWay = false;
    }
  }

  async #describeUntilEqual(): Promise<void> {
    const { ledger, address, server, vacating } = this.#options;
    while (!this.#isClosed) {
      const wanted = describeServer(server);
      const known = ledger.instances.get(address)?.server ?? null;
      if (JSON.stringify(wanted) === JSON.stringify(known)) {
        return;
      }
      if (isOther(wanted, known)) {
        this.#options.onOtherServer();
        return;
      }
      if (wanted === null) {
        vacating.vacate({ isServerGone: server.announcement === undefined });
      }
      await this.#describe(wanted);
    }
  }

  async #describe(wanted: ServerDescription | null): Promise<void> {
    const described = await this.#options.membership.describeServer(wanted);
    if (described.isErr) {
      const reason = described.error.message;
      const message = "The log did not take the server's description";
      this.#options.log(LogLevel.Warn, message, { reason });
      await sleep(CHANGE_RETRY_MS);
    }
  }

  get #isSuspected(): boolean {
    const { ledger, address } = this.#options;
    return ledger.instances.get(address)?.isSuspected ?? false;
  }

  /** Shows in the log that a suspected daemon runs after all, once it hears its peers again. */
  async proveAlive(): Promise<void> {
    if (this.#isProvingAlive) {
      return;
    }
    this.#isProvingAlive = true;
    while (this.#isSuspected && !this.#isClosed) {
      await sleep(PROVE_ALIVE_MS);
      if (this.#isSuspected && this.#options.detector.receivesHeartbeats && !this.#isClosed) {
        await this.#describe(describeServer(this.#options.server));
      }
    }
    this.#isProvingAlive = false;
  }

  /** Stops telling the log. */
  close(): void {
    this.#isClosed = true;
  }
}

/** A server of another pool, or with another check of grants, needs a new incarnation. */
function isOther(wanted: ServerDescription | null, known: ServerDescription | null): boolean {
  if (wanted === null || known === null) {
    return false;
  }
  return wanted.pool !== known.pool || wanted.checksGrants !== known.checksGrants;
}
