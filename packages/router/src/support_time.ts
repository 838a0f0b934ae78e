/**
 * Chooses how long the votes for this daemon's tenure last. A server ends work with the grant under which it began,
 * whether that is renewed or not, so votes must last long enough for grants to cover the work. They should not last
 * longer: nobody else can serve the keys of a daemon that is lost until they have run out.
 */
import { GrantDelivery } from "@bulrushwood/deployment";
import { GRANT_MARGIN_MS, reportSupportMs } from "@bulrushwood/lease_ranges";
import { DRIFT_MARGIN_MS, SUPPORT_MS } from "@bulrushwood/lease_votes";
import { HEARTBEAT_MS } from "@bulrushwood/membership_beats";

/** Time from a heartbeat until the server has confirmed the grants that it extends, in milliseconds. */
const RENEWAL_MS = 50;

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
}

/** Duration of the votes for one daemon's tenure. */
export class SupportTime {
  readonly #options: SupportTimeOptions;
  /** Shortest time of votes. */
  readonly msMin: number;
  /** Time by which the shortest remainder of a grant that is renewed in time is shorter than a vote. */
  readonly #lagMs: number;

  constructor(options: SupportTimeOptions) {
    this.#options = options;
    const { grantDelivery, reportEveryMs } = options;
    const isOrdered = grantDelivery === GrantDelivery.Orders;
    this.msMin = isOrdered ? SUPPORT_MS : reportSupportMs(reportEveryMs);
    const renewalMs = isOrdered ? RENEWAL_MS : reportEveryMs;
    this.#lagMs = DRIFT_MARGIN_MS + GRANT_MARGIN_MS + HEARTBEAT_MS + renewalMs;
  }

  /** Time for which votes should last now, in milliseconds. */
  get ms(): number {
    return Math.min(this.#coverMs(this.#options.workMs() ?? 0), this.msMax);
  }

  /** Longest time for which votes may have to last, in milliseconds. */
  get msMax(): number {
    return this.#coverMs(this.#options.timeoutMsMax());
  }

  /** Returns the time that a grant must have left for work to begin, in milliseconds, while votes last `supportMs`. */
  grantLeftMs(supportMs: number): number {
    return Math.max(0, Math.min(this.#options.workMs() ?? 0, supportMs - this.#lagMs));
  }

  /** Returns how long votes must last for grants to cover some work. */
  #coverMs(workMs: number): number {
    const { grantMsMax } = this.#options;
    return Math.max(this.msMin, Math.min(grantMsMax, workMs + this.#lagMs));
  }
}
