/**
 * Which daemons may hold a shard, the likeliest first. Nobody has to be told of a succession: every
 * daemon knows the successor from the log and tries it when the holder refuses or cannot be reached.
 */
import type { Address, Group, Offset } from "@bulrushwood/types";
import type { Ledger } from "@bulrushwood/ledger";

/** Hints are dropped beyond this number, oldest first. */
const HINTS_MAX = 10_000;

/** The daemons that may hold a shard. */
export interface Owners {
  group: Group;
  move: Offset;
  candidates: Address[];
}

/** Finds owners in a ledger, remembering which candidate of a group answered last. */
export class OwnerFinder {
  readonly #ledger: Ledger;
  readonly #hints = new Map<Group, Address>();

  constructor(ledger: Ledger) {
    this.#ledger = ledger;
  }

  /** Finds the daemons that may hold a shard; undefined when the shard has no group. */
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

  /** Notes that a candidate served a request of the group. */
  noteServed(group: Group, by: Address): void {
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
