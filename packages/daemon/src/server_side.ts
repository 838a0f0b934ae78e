/**
 * This daemon's side of the backend server beside it: connections, admission, and how much of the server
 * may be used while it is cold.
 */
import type { Subscription } from "rxjs";
import { Admission } from "@bulrushwood/admission";
import { type Announcement, type Announcements, BackendClient } from "@bulrushwood/backend";
import { now } from "@bulrushwood/types";

/** Time over which a server that has just started gets its full share of requests. */
const WARM_UP_MS = 2_000;
/** Share of the slots that a cold server gets at once. */
const COLD_SHARE = 0.25;
/** Connections kept for control calls, beside those for requests. */
const SPARE_CONNECTIONS = 4;

/** The connections to one life of the server. */
interface Life {
  name: string;
  client: BackendClient;
  since: number;
  checksGrants: boolean;
}

/** The backend server beside this daemon, as the daemon uses it. */
export class ServerSide {
  readonly #announcements: Announcements;
  readonly #subscription: Subscription;
  readonly admission: Admission;
  #life: Life | undefined;

  constructor(announcements: Announcements) {
    this.#announcements = announcements;
    this.admission = new Admission({ now, limit: () => this.limit });
    this.#subscription = announcements.neighbour.subscribe((neighbour) => {
      this.#take(neighbour?.announcement);
    });
  }

  /** What the server last said of itself; undefined while there is none. */
  get announcement(): Announcement | undefined {
    return this.#announcements.current?.announcement;
  }

  /** Whether the server, as it last announced itself, checks grants. */
  get checksGrants(): boolean {
    return this.#life?.checksGrants ?? false;
  }

  /** How long the server has not been heard, in milliseconds. */
  get silentMs(): number {
    return this.#announcements.silentMs;
  }

  /** Whether new work may be sent to the server. */
  get takesWork(): boolean {
    return this.announcement !== undefined && !this.announcement.draining;
  }

  /** Requests that may run at once, lower while the server is cold. */
  get limit(): number {
    const announcement = this.announcement;
    if (announcement === undefined || this.#life === undefined) {
      return 0;
    }
    const usable = Math.min(
      announcement.slots,
      announcement.connections - SPARE_CONNECTIONS,
    );
    const warmth = COLD_SHARE +
      (1 - COLD_SHARE) * (now() - this.#life.since) / WARM_UP_MS;
    return Math.max(1, Math.ceil(usable * Math.min(1, warmth)));
  }

  /** Connections to the server's present life. */
  get client(): BackendClient | undefined {
    return this.#life?.client;
  }

  /** A server that fell silent gets no answers any more, so that its keys need not wait for it. */
  #take(announcement: Announcement | undefined): void {
    if (announcement === undefined) {
      this.#life?.client.dropConnections();
      return;
    }
    if (announcement.life === this.#life?.name) {
      this.admission.dispatch();
      return;
    }
    this.#life?.client.close();
    const { life, slots, connections, checksGrants } = announcement;
    const client = new BackendClient(() => this.#announcements.current, {
      connections,
    });
    this.#life = { name: life, client, since: now(), checksGrants };
    client.warm(Math.min(slots, connections));
  }

  /** Closes the connections. */
  close(): void {
    this.#subscription.unsubscribe();
    this.#life?.client.close();
  }
}
