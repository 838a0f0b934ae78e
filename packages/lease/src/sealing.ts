/**
 * Seals the earlier owners of shards that were moved to this daemon's groups. Once a majority of an
 * earlier group's voters has sealed a move, no holder of that group can serve the moved shards again.
 */
import type { Address, Group, Offset } from "@bulrushwood/types";
import {
  type LeaseGroup,
  type Ledger,
  type Predecessor,
  Presence,
  RecordKind,
} from "@bulrushwood/ledger";
import { LeaseMethod, sealReplySchema } from "./messages.ts";
import type { LeasesOptions } from "./leases.ts";
import type { Tenure } from "./tenure.ts";

/** Time to collect activated moves before they are reported, as a share of the lease. */
const REPORT_DELAY_SHARE = 0.1;

/** Settings and dependencies of sealing, in addition to those of the leases. */
export interface SealingOptions extends LeasesOptions {
  signal: AbortSignal;
  /** Seals a move as this daemon's own voter. */
  sealLocally: (group: Group, move: Offset) => boolean;
  onSealed: (move: Offset) => void;
}

/** Requests seals from voters, and tracks which moves are sealed. */
export class Sealing {
  readonly #options: SealingOptions;
  readonly #sealed = new Set<string>();
  readonly #tasks = new Map<string, Promise<void>>();
  readonly #held = new Set<Group>();
  /** When the log first showed that a voter has left or is declared lost, on this daemon's clock. */
  readonly #stoppedSince = new Map<Address, number>();
  #reportTask: Promise<void> | undefined;

  constructor(options: SealingOptions) {
    this.#options = options;
  }

  /** Returns whether all earlier owners of a shard are sealed. */
  isSealed(predecessors: readonly Predecessor[]): boolean {
    return predecessors.every((predecessor) => this.#sealed.has(keyOf(predecessor)));
  }

  /** Starts to seal the pending moves to a group that this daemon has acquired. */
  start(tenure: Tenure): void {
    this.#held.add(tenure.id);
    for (const pending of this.#options.ledger.pending.values()) {
      if (pending.to === tenure.id) {
        this.startMove(pending.move, tenure.id);
      }
    }
  }

  /** Starts to seal a move to a group, if this daemon holds the group. */
  startMove(move: Offset, to: Group): void {
    const pending = this.#options.ledger.pending.get(move);
    if (pending === undefined || !this.#held.has(to)) {
      return;
    }
    const table = this.#options.ledger.pools.get(pending.pool)!;
    for (const shard of pending.shards) {
      for (const predecessor of table.predecessorsOf(shard)) {
        this.#startTask(predecessor);
      }
    }
  }

  #startTask(predecessor: Predecessor): void {
    const key = keyOf(predecessor);
    if (!this.#tasks.has(key)) {
      this.#tasks.set(key, this.#sealPredecessor(predecessor));
    }
  }

  async #sealPredecessor(predecessor: Predecessor): Promise<void> {
    const group = this.#options.ledger.groups.get(predecessor.group);
    if (
      group !== undefined && !(await this.#collectSeals(group, predecessor.move))
    ) {
      return;
    }
    this.#sealed.add(keyOf(predecessor));
    this.#reportTask ??= this.#reportActivations();
    this.#options.onSealed(predecessor.move);
  }

  /**
   * Collects seals until there are enough; false when the daemon closes first. A record in the log about an
   * unresponsive member can complete them too, so every record triggers the check as well.
   */
  async #collectSeals(group: LeaseGroup, move: Offset): Promise<boolean> {
    const { signal, ledger } = this.#options;
    const sealedBy = new Set<Address>();
    const finished = new AbortController();
    return await new Promise<boolean>((resolve) => {
      const finish = (isSealed: boolean) => {
        subscription.unsubscribe();
        finished.abort();
        resolve(isSealed);
      };
      const check = () => {
        if (this.#hasEnoughSeals(group, sealedBy)) {
          finish(true);
        }
      };
      const subscription = ledger.changes.subscribe(check);
      signal.addEventListener("abort", () => finish(false), { once: true });
      const recordSeal = (member: Address) => {
        sealedBy.add(member);
        check();
      };
      for (const { address } of group.members) {
        this.#requestUntilSealed(address, group.group, move, finished.signal).then(
          (sealed) => {
            if (sealed) {
              recordSeal(address);
            }
          },
        );
      }
    });
  }

  /**
   * Whether the seals suffice: those of a majority, which must include every possible holder whose backend
   * server does not check grants, unless the log proves that it no longer runs.
   */
  #hasEnoughSeals(group: LeaseGroup, sealedBy: Set<Address>): boolean {
    const quorum = Math.floor(group.members.length / 2) + 1;
    if (sealedBy.size < quorum) {
      return false;
    }
    const candidates = group.members.slice(0, 2);
    return candidates.every((member, index) =>
      group.checksGrants[index] || sealedBy.has(member.address) ||
      this.#options.ledger.isProvenStopped(member.address, member.incarnation)
    );
  }

  async #requestUntilSealed(
    member: Address,
    group: Group,
    move: Offset,
    finished: AbortSignal,
  ): Promise<boolean> {
    const { sleep, signal, durationMs } = this.#options;
    while (!signal.aborted && !finished.aborted) {
      if (await this.#requestSeal(member, group, move) || this.#hasVoteExpired(member)) {
        return true;
      }
      await sleep(durationMs / 50, signal);
    }
    return false;
  }

  /**
   * Whether a voter counts as sealed because it has left or is declared lost for longer than a lease: its
   * last vote has expired then.
   */
  #hasVoteExpired(member: Address): boolean {
    const { ledger, now, durationMs, driftMarginMs } = this.#options;
    const presence = ledger.instances.get(member)?.presence;
    if (presence !== Presence.Left && presence !== Presence.DeclaredLost) {
      this.#stoppedSince.delete(member);
      return false;
    }
    const since = this.#stoppedSince.get(member) ?? now();
    this.#stoppedSince.set(member, since);
    return now() - since > durationMs + driftMarginMs;
  }

  async #requestSeal(member: Address, group: Group, move: Offset): Promise<boolean> {
    const { address, call, sealLocally, durationMs } = this.#options;
    if (member === address) {
      return sealLocally(group, move);
    }
    const timeoutMs = durationMs;
    const called = await call(member, LeaseMethod.Seal, { group, move }, {
      timeoutMs,
    });
    const reply = sealReplySchema.safeParse(
      called.isOk ? called.value : undefined,
    );
    return reply.success && reply.data.granted;
  }

  /**
   * Appends records of the moves that later holders need not seal again, several moves in one record. One
   * seal may complete moves to several groups, so all groups held here are checked.
   */
  async #reportActivations(): Promise<void> {
    const { sleep, durationMs, signal } = this.#options;
    await sleep(durationMs * REPORT_DELAY_SHARE, signal);
    this.#reportTask = undefined;
    if (signal.aborted) {
      return;
    }
    for (const [group, moves] of this.#completeMoves()) {
      const { append, newId } = this.#options;
      append({ id: newId(), kind: RecordKind.MovesActivated, group, moves });
    }
  }

  /** Returns the pending moves whose earlier owners are all sealed, by the group that they go to. */
  #completeMoves(): Map<Group, Offset[]> {
    const { ledger } = this.#options;
    const complete = new Map<Group, Offset[]>();
    for (const { to, move } of ledger.pending.values()) {
      if (this.#held.has(to) && this.#isComplete(ledger, move)) {
        complete.set(to, [...complete.get(to) ?? [], move]);
      }
    }
    return complete;
  }

  #isComplete(ledger: Ledger, move: Offset): boolean {
    const pending = ledger.pending.get(move)!;
    const table = ledger.pools.get(pending.pool)!;
    const currentShards = pending.shards.filter((shard) => table.moveOf(shard) === move);
    return currentShards.every((shard) => this.isSealed(table.predecessorsOf(shard)));
  }

  /** Waits for the tasks to end; the signal must be aborted before. */
  async close(): Promise<void> {
    await Promise.all(this.#tasks.values());
    await this.#reportTask;
  }
}

function keyOf(predecessor: Predecessor): string {
  return `${predecessor.group}@${predecessor.move}`;
}
