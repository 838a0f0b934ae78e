/**
 * The backend servers that announced to one ingress, in their responses, that they leave. The ingress must not send
 * them requests for longer than the drain bound, and cannot rely on their daemons for that: a daemon that restarts
 * without the store does not know what its server announced before.
 */
import type { Address, Clock } from "@bulrushwood/types";

/** Time before the drain bound at which a leaving server stops getting requests, in milliseconds. */
export const LEAVING_MARGIN_MS = 500;

/** Options of `LeavingServers`. */
export interface LeavingServersOptions {
  now: Clock;
  /** Time after an announcement after which no new request may reach the server, in milliseconds. */
  drainMs: number;
}

/** Remembers the last leaving incarnation at each daemon. */
export class LeavingServers {
  readonly #options: LeavingServersOptions;
  readonly #servers = new Map<Address, { incarnation: string; since: number }>();

  constructor(options: LeavingServersOptions) {
    this.#options = options;
  }

  /** Records that an incarnation beside a daemon announced that it leaves; only the first announcement counts. */
  record(daemon: Address, incarnation: string): void {
    if (this.#servers.get(daemon)?.incarnation !== incarnation) {
      this.#servers.set(daemon, { incarnation, since: this.#options.now() });
    }
  }

  /** Returns the incarnation beside a daemon that must not get requests any more; undefined if there is none. */
  excludedAt(daemon: Address): string | undefined {
    const { now, drainMs } = this.#options;
    const leaving = this.#servers.get(daemon);
    return leaving !== undefined && now() >= leaving.since + drainMs - LEAVING_MARGIN_MS
      ? leaving.incarnation
      : undefined;
  }
}
