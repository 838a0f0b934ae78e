/**
 * Finds the daemons that may hold a shard, the most likely first. A succession needs no notification: every
 * daemon has the successor from the log, and tries it when the holder rejects a request or is unreachable.
 */
import type { Address, Group, Offset } from "@bulrushwood/types";
import type { Ledger } from "@bulrushwood/ledger";

/** Largest number of hints; the oldest is dropped first. */
const HINTS_MAX = 10_000;

/** The lease group that owns a shard, and the daemons that may hold it. */
export interface Owners {
  group: Group;
  move: Offset;
  candidates: Address[];
}

/** Finds owners in the ledger, with a hint for each group whose last response came from another member. */
export class OwnerFinder {
  readonly #ledger: Ledger;
  readonly #hints = new Map<Group, Address>();

  constructor(ledger: Ledger) {
    this.#ledger = ledger;
  }

  /** Returns the daemons that may hold a shard, or undefined when no group owns it. */
  find(pool: string, shard: number): Owners | undefined {
    const table = this.#ledger.pools.get(pool);
    const group = this.#ledger.groups.get(table?.groupOf(shard) ?? 0);
    if (table === undefined || group === undefined) {
      return undefined;
    }
    const candidates = group.members.slice(0, 2).map((member) => member.address);
    const likeliest = this.#hints.get(group.group) ??
      group.members[group.step].address;
    if (candidates[0] !== likeliest) {
      candidates.reverse();
    }
    return { group: group.group, move: table.moveOf(shard), candidates };
  }

  /** Records which candidate served a request of the group. */
  recordServed(group: Group, by: Address): void {
    const members = this.#ledger.groups.get(group)?.members;
    const isExpected = members?.[0].address === by;
    this.#hints.delete(group);
    if (!isExpected) {
      this.#hints.set(group, by);
    }
    if (this.#hints.size > HINTS_MAX) {
      this.#hints.delete(this.#hints.keys().next().value!);
    }
  }
}
