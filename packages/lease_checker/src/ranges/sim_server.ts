/**
 * Simulated backend server. It holds grants until they expire by its own clock, which may be slow, and rejects a grant
 * whose epoch is below one that it holds for the same keys. Orders may be carried out late.
 */
import { type KeySpan, overlaps, without } from "@bulrushwood/ledger_store";

/** True time that passes while a slow clock counts one unit of time. */
export const SLOW_CLOCK_FACTOR = 1.02;

/** Grant that a server holds. */
export interface HeldGrant extends KeySpan {
  epoch: number;
  /** True time at which the grant expires. */
  until: number;
  /** Whether the order was carried out late; its sender cannot prevent that, so it is no violation. */
  isLate: boolean;
  /** Time at which the work for the keys ends, after which they are released; undefined until a response omits them. */
  workEndsAt?: number;
}

/** Backend server of a run. */
export class SimServer {
  grants: HeldGrant[] = [];
  isUp = true;

  /** Accepts a grant; returns false if the server holds any of the keys with a newer epoch. */
  grant(
    order: KeySpan & { epoch: number; durationMs: number },
    options: { arrivedAt: number; isLate: boolean },
  ): boolean {
    const overlapping = this.grants.filter((grant) => overlaps(grant, order));
    if (overlapping.some(({ epoch }) => epoch > order.epoch)) {
      return false;
    }
    const until = options.arrivedAt + order.durationMs * SLOW_CLOCK_FACTOR;
    this.#remove(order);
    const { first, last, epoch } = order;
    this.grants.push({ first, last, epoch, until, isLate: options.isLate });
    return true;
  }

  /** Applies the response to a report: holds the granted keys, and releases all others once their work has ended. */
  applyResponse(
    rows: (KeySpan & { epoch: number })[],
    options: { until: number; now: number; workMs: () => number },
  ): void {
    const { until, now, workMs } = options;
    const kept = this.grants.filter(({ workEndsAt }) => workEndsAt !== undefined);
    for (const held of this.grants.filter(({ workEndsAt }) => workEndsAt === undefined)) {
      const left = without(held, rows);
      kept.push(...left.map((span) => ({ ...held, ...span, workEndsAt: now + workMs() })));
    }
    this.grants = kept;
    for (const { first, last, epoch } of rows) {
      this.grants.push({ first, last, epoch, until, isLate: false });
    }
  }

  /** Removes keys whose work ended after a response left them out; returns those whose grant has not expired. */
  removeReleased(now: number): HeldGrant[] {
    const isDone = ({ workEndsAt }: HeldGrant) => workEndsAt !== undefined && workEndsAt <= now;
    const released = this.grants.filter((held) => isDone(held) && held.until > now);
    this.grants = this.grants.filter((held) => !isDone(held) && held.until > now);
    return released;
  }

  /** Releases keys at once. */
  release(span: KeySpan): void {
    this.#remove(span);
  }

  #remove(span: KeySpan): void {
    this.grants = this.grants.flatMap((grant) =>
      without(grant, [span]).map((rest) => ({ ...grant, ...rest }))
    );
  }

  /** Returns the grants that the server holds at a time; none while it is down. */
  heldAt(time: number): HeldGrant[] {
    return this.isUp ? this.grants.filter(({ until }) => until > time) : [];
  }
}
