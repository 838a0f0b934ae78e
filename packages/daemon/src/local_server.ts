/**
 * The local backend server as the daemon uses it: connections, admission, and the limit of running
 * requests, which is lower while the server is cold.
 */
import type { Subscription } from "rxjs";
import { Admission } from "@bulrushwood/admission";
import { type Announcement, type Announcements, BackendClient } from "@bulrushwood/backend";
import { now } from "@bulrushwood/types";

/** Time in which the limit of a newly started server rises to its full value, in milliseconds. */
const WARM_UP_MS = 2_000;
/** Share of the full limit that a cold server starts with. */
const COLD_SHARE = 0.25;
/** Connections that are reserved for control calls. */
const CONTROL_CONNECTIONS = 4;

/** Connections to one incarnation of the server. */
interface ServerIncarnation {
  name: string;
  client: BackendClient;
  /** When its first announcement was received, on this process's clock in milliseconds. */
  since: number;
  checksGrants: boolean;
}

/** Backend server that this daemon runs beside. */
export class LocalServer {
  readonly #announcements: Announcements;
  readonly #subscription: Subscription;
  readonly admission: Admission;
  #current: ServerIncarnation | undefined;

  constructor(announcements: Announcements) {
    this.#announcements = announcements;
    this.admission = new Admission({ now, limit: () => this.limit });
    this.#subscription = announcements.changes.subscribe((server) => {
      this.#update(server?.announcement);
    });
  }

  /** Last announcement of the server; undefined while the server is unresponsive. */
  get announcement(): Announcement | undefined {
    return this.#announcements.current?.announcement;
  }

  /** Whether the server checks grants; keeps its last value while the server is unresponsive. */
  get checksGrants(): boolean {
    return this.#current?.checksGrants ?? false;
  }

  /** Time since the last announcement, in milliseconds. */
  get silentMs(): number {
    return this.#announcements.silentMs;
  }

  /** Whether the server takes new requests: it announces itself and is not draining. */
  get acceptsRequests(): boolean {
    return this.announcement !== undefined && !this.announcement.draining;
  }

  /** Number of requests that may run at the same time; lower while the server is cold. */
  get limit(): number {
    const announcement = this.announcement;
    if (announcement === undefined || this.#current === undefined) {
      return 0;
    }
    const usable = Math.min(
      announcement.slots,
      announcement.connections - CONTROL_CONNECTIONS,
    );
    const share = COLD_SHARE +
      (1 - COLD_SHARE) * (now() - this.#current.since) / WARM_UP_MS;
    return Math.max(1, Math.ceil(usable * Math.min(1, share)));
  }

  /** Client of the server's current incarnation. */
  get client(): BackendClient | undefined {
    return this.#current?.client;
  }

  /**
   * Applies a new announcement. Drops the connections to an unresponsive server: its running
   * requests then end without a response, and its keys can move without waiting for them.
   */
  #update(announcement: Announcement | undefined): void {
    if (announcement === undefined) {
      this.#current?.client.dropConnections();
      return;
    }
    if (announcement.life === this.#current?.name) {
      this.admission.dispatch();
      return;
    }
    this.#current?.client.close();
    const { life, slots, connections, checksGrants } = announcement;
    const client = new BackendClient(() => this.#announcements.current, {
      connections,
    });
    this.#current = { name: life, client, since: now(), checksGrants };
    client.openConnections(Math.min(slots, connections));
  }

  /** Closes the connections. */
  close(): void {
    this.#subscription.unsubscribe();
    this.#current?.client.close();
  }
}
