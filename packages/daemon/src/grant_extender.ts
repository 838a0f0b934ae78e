/**
 * Extends the grants of running requests at the backend server while their leases are renewed, and
 * tracks when the grants of each group expire.
 */
import type { Leases } from "@bulrushwood/lease";
import type { Group } from "@bulrushwood/types";
import type { LocalServer } from "./local_server.ts";

/** Time without an announcement after which a server's grants are not extended, in milliseconds. */
const SILENCE_TIMEOUT_MS = 300;

/** Dependencies and settings of a `GrantExtender`. */
export interface GrantExtenderOptions {
  leases: Leases;
  server: LocalServer;
  /** Time between extensions, in milliseconds. */
  intervalMs: number;
}

/** Extends the grants of all groups with requests in flight, at a fixed interval. */
export class GrantExtender {
  readonly #options: GrantExtenderOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #grantedUntil = new Map<Group, number>();

  constructor(options: GrantExtenderOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#extend(), options.intervalMs);
  }

  /**
   * Records that a group is granted until a time on this process's clock, in milliseconds. An earlier
   * time than the recorded one has no effect.
   */
  recordGrant(group: Group, until: number): void {
    this.#grantedUntil.set(
      group,
      Math.max(until, this.#grantedUntil.get(group) ?? 0),
    );
  }

  /**
   * Returns the time until which requests of a group may run at the server, on this process's clock in
   * milliseconds.
   */
  grantedUntil(group: Group): number {
    return this.#grantedUntil.get(group) ?? 0;
  }

  /**
   * Extends all grants in use, except at an unresponsive server, whose requests end when their
   * grants expire.
   */
  #extend(): void {
    const { leases, server } = this.#options;
    if (server.silentMs > SILENCE_TIMEOUT_MS || server.client === undefined) {
      return;
    }
    const active = leases.held.filter((tenure) => tenure.inFlight > 0);
    if (active.length === 0) {
      return;
    }
    const grants = active.map((tenure) => ({
      group: tenure.id,
      heldUntil: tenure.heldUntil,
    }));
    for (const grant of grants) {
      this.recordGrant(grant.group, grant.heldUntil);
    }
    server.client.extendGrants(grants);
  }

  /** Stops the extensions; current grants expire on their own. */
  close(): void {
    clearInterval(this.#timer);
  }
}
