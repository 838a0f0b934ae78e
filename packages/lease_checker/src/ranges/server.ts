/**
 * A simulated backend server: holds grants until they run out by its own clock, which may be slow, and
 * refuses those with an epoch below one that it knows. Orders may be carried out late.
 */
import { type KeySpan, overlaps, without } from "@bulrushwood/ledger_store";

/** Time that a slow clock takes for a second of true time, as a share. */
export const SLOWNESS = 1.02;

/** Keys that a server holds. */
export interface Holding extends KeySpan {
  epoch: number;
  /** When it ends, in true time. */
  until: number;
  /** Whether the order came late, which its sender is not to blame for. */
  isLate: boolean;
  /** Work for released keys ends then; undefined while they are not released. */
  workEndsAt?: number;
}

/** One backend server. */
export class SimServer {
  holdings: Holding[] = [];
  isUp = true;

  /** Takes a grant that arrived at a time; false when a newer epoch is known. */
  grant(
    order: KeySpan & { epoch: number; durationMs: number },
    options: { arrivedAt: number; isLate: boolean },
  ): boolean {
    const overlapping = this.holdings.filter((holding) => overlaps(holding, order));
    if (overlapping.some(({ epoch }) => epoch > order.epoch)) {
      return false;
    }
    const until = options.arrivedAt + order.durationMs * SLOWNESS;
    this.#remove(order);
    const { first, last, epoch } = order;
    this.holdings.push({ first, last, epoch, until, isLate: options.isLate });
    return true;
  }

  /** Takes the answer to a report: holds what it names, and lets go of the rest once its work has ended. */
  takeAnswer(
    rows: (KeySpan & { epoch: number })[],
    options: { until: number; now: number; workMs: () => number },
  ): void {
    const { until, now, workMs } = options;
    const kept = this.holdings.filter(({ workEndsAt }) => workEndsAt !== undefined);
    for (const held of this.holdings.filter(({ workEndsAt }) => workEndsAt === undefined)) {
      const left = without(held, rows);
      kept.push(...left.map((span) => ({ ...held, ...span, workEndsAt: now + workMs() })));
    }
    this.holdings = kept;
    for (const { first, last, epoch } of rows) {
      this.holdings.push({ first, last, epoch, until, isLate: false });
    }
  }

  /** Keys whose work has ended since they were left out; those that ran out are not told. */
  takeReleased(now: number): Holding[] {
    const isDone = ({ workEndsAt }: Holding) => workEndsAt !== undefined && workEndsAt <= now;
    const released = this.holdings.filter((held) => isDone(held) && held.until > now);
    this.holdings = this.holdings.filter((held) => !isDone(held) && held.until > now);
    return released;
  }

  /** Takes keys back. */
  release(span: KeySpan): void {
    this.#remove(span);
  }

  #remove(span: KeySpan): void {
    this.holdings = this.holdings.flatMap((holding) =>
      without(holding, [span]).map((rest) => ({ ...holding, ...rest }))
    );
  }

  /** What it holds at a time. */
  heldAt(time: number): Holding[] {
    return this.isUp ? this.holdings.filter(({ until }) => until > time) : [];
  }
}
