/**
 * Keeps the grants of running work alive at the backend server while the leases behind them are renewed,
 * and remembers until when each group's work was granted.
 */
import type { Leases } from "@bulrushwood/lease";
import type { Group } from "@bulrushwood/types";
import type { ServerSide } from "./server_side.ts";

/** Silence of the server after which its grants are not extended, in milliseconds. */
const SILENCE_MAX_MS = 300;

/** What an extender needs. Times are in milliseconds. */
export interface GrantExtenderOptions {
  keeper: Leases;
  server: ServerSide;
  everyMs: number;
}

/** Extends grants. */
export class GrantExtender {
  readonly #options: GrantExtenderOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #grantedUntil = new Map<Group, number>();

  constructor(options: GrantExtenderOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#extend(), options.everyMs);
  }

  /** Notes that work of a group was granted until a time on this process's clock. */
  noteGranted(group: Group, until: number): void {
    this.#grantedUntil.set(
      group,
      Math.max(until, this.#grantedUntil.get(group) ?? 0),
    );
  }

  /** Until when work of a group may run at the server, on this process's clock. */
  grantedUntil(group: Group): number {
    return this.#grantedUntil.get(group) ?? 0;
  }

  /** A server that has fallen silent gets no extension, so that its work ends with its grants. */
  #extend(): void {
    const { keeper, server } = this.#options;
    if (server.silentMs > SILENCE_MAX_MS || server.client === undefined) {
      return;
    }
    const busy = keeper.held.filter((tenure) => tenure.inFlight > 0);
    if (busy.length === 0) {
      return;
    }
    const grants = busy.map((tenure) => ({
      group: tenure.id,
      heldUntil: tenure.heldUntil,
    }));
    for (const grant of grants) {
      this.noteGranted(grant.group, grant.heldUntil);
    }
    server.client.extendGrants(grants);
  }

  /** Stops extending. */
  close(): void {
    clearInterval(this.#timer);
  }
}
