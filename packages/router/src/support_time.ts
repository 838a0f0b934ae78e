/**
 * Chooses how long the votes for this daemon's tenure last. A server ends work with the grant under which it began,
 * whether that is renewed or not, so votes must last long enough for grants to cover the work. They should not last
 * longer: nobody else can serve the keys of a daemon that is lost until they have run out.
 */
import { GrantDelivery } from "@bulrushwood/deployment";
import { GRANT_MARGIN_MS, reportSupportMs } from "@bulrushwood/lease_ranges";
import { DRIFT_MARGIN_MS, SUPPORT_MS } from "@bulrushwood/lease_votes";
import { HEARTBEAT_MS, LONG_HEARTBEAT_MS } from "@bulrushwood/membership_beats";

/** Time from a heartbeat until the server has confirmed the grants that it extends, in milliseconds. */
const RENEWAL_MS = 50;
/**
 * Work from which on votes in a large deployment last so long that fewer heartbeats suffice, in milliseconds: two of them
 * may be lost.
 */
const LONG_WORK_MS = 1_200;

/** Options of `SupportTime`; times are in milliseconds. */
export interface SupportTimeOptions {
  grantDelivery: GrantDelivery;
  reportEveryMs: number;
  /** Longest grant that servers accept. */
  grantMsMax: number;
  /** Returns the time within which nearly all work of the server ends; undefined while it is unknown. */
  workMs: () => number | undefined;
  /** Returns the longest timeout of the routes to the service: no caller waits for longer work. */
  timeoutMsMax: () => number;
  /** Whether the deployment is large; by default it is not. */
  isLarge?: () => boolean;
}

/** Duration of the votes for one daemon's tenure. */
export class SupportTime {
  readonly #options: SupportTimeOptions;
  /** Shortest time of votes. */
  readonly msMin: number;
  /** Time from a heartbeat until the server has confirmed the grants that it extends, in milliseconds. */
  readonly #renewalMs: number;

  constructor(options: SupportTimeOptions) {
    this.#options = options;
    const { grantDelivery, reportEveryMs } = options;
    const isOrdered = grantDelivery === GrantDelivery.Orders;
    this.msMin = isOrdered ? SUPPORT_MS : reportSupportMs(reportEveryMs);
    this.#renewalMs = isOrdered ? RENEWAL_MS : reportEveryMs;
  }

  /** Time between heartbeats to voters, in milliseconds. */
  get heartbeatMs(): number {
    const { workMs, isLarge } = this.#options;
    return isLarge?.() && (workMs() ?? 0) >= LONG_WORK_MS ? LONG_HEARTBEAT_MS : HEARTBEAT_MS;
  }

  /** Time by which the shortest remainder of a grant that is renewed in time is shorter than a vote, in milliseconds. */
  #lagMs(heartbeatMs: number): number {
    return DRIFT_MARGIN_MS + GRANT_MARGIN_MS + heartbeatMs + this.#renewalMs;
  }

  /** Time for which votes should last now, in milliseconds. */
  get ms(): number {
    return Math.min(this.#coverMs(this.#options.workMs() ?? 0, this.heartbeatMs), this.msMax);
  }

  /** Longest time for which votes may have to last, in milliseconds. */
  get msMax(): number {
    const heartbeatMs = this.#options.isLarge?.() ? LONG_HEARTBEAT_MS : HEARTBEAT_MS;
    return this.#coverMs(this.#options.timeoutMsMax(), heartbeatMs);
  }

  /** Returns the time that a grant must have left for work to begin, in milliseconds, while votes last `supportMs`. */
  grantLeftMs(supportMs: number): number {
    return Math.max(
      0,
      Math.min(this.#options.workMs() ?? 0, supportMs - this.#lagMs(this.heartbeatMs)),
    );
  }

  /** Returns how long votes must last for grants to cover some work. */
  #coverMs(workMs: number, heartbeatMs: number): number {
    const { grantMsMax } = this.#options;
    return Math.max(this.msMin, Math.min(grantMsMax, workMs + this.#lagMs(heartbeatMs)));
  }
}
