/**
 * Selection of the members of a pool's lease groups: which daemons can be holder, successor or witness, and
 * which existing groups are healthy.
 */
import type { Address } from "@bulrushwood/types";
import {
  type Instance,
  type LeaseGroup,
  type Ledger,
  type Member,
  Presence,
} from "@bulrushwood/ledger";

/**
 * Groups for each holder, each with another successor, so that its keys spread over several daemons when it
 * is lost.
 */
const GROUPS_PER_HOLDER = 4;
const MEMBERS_PER_GROUP_MAX = 3;

/** Daemons that can be members of the lease groups of one pool. */
export class GroupCandidates {
  readonly pool: string;
  /** Daemons with a backend server of the pool that may own keys, in the order of their addresses. */
  readonly holders: Instance[];
  /** All daemons that may vote, in the order of their addresses. */
  readonly voters: Instance[];
  readonly #byAddress = new Map<Address, Instance>();
  readonly #holderByAddress = new Map<Address, Instance>();
  readonly #centres: Set<string>;
  /** Number of holders in each data centre. */
  readonly #holdersIn = new Map<string, number>();

  constructor(ledger: Ledger, pool: string) {
    this.pool = pool;
    const present = [...ledger.instances.values()].filter((instance) =>
      instance.presence === Presence.Present && !instance.isSuspected
    );
    this.voters = present.sort((left, right) => left.address < right.address ? -1 : 1);
    this.holders = this.voters.filter((instance) => instance.server?.pool === pool);
    for (const instance of this.voters) {
      this.#byAddress.set(instance.address, instance);
    }
    for (const holder of this.holders) {
      this.#holderByAddress.set(holder.address, holder);
      this.#holdersIn.set(holder.dataCentre, (this.#holdersIn.get(holder.dataCentre) ?? 0) + 1);
    }
    this.#centres = new Set(this.voters.map((voter) => voter.dataCentre));
  }

  /** Returns whether a member still runs as the incarnation that the group names. */
  isCurrent(member: Member): boolean {
    return this.#byAddress.get(member.address)?.incarnation ===
      member.incarnation;
  }

  /** Returns the daemon at an address, if it may own keys of the pool. */
  holderAt(address: Address): Instance | undefined {
    return this.#holderByAddress.get(address);
  }

  /** Returns the number of groups that a holder should have. */
  groupsWanted(holder: Instance): number {
    const inOtherCentres = this.holders.length - (this.#holdersIn.get(holder.dataCentre) ?? 0);
    const successors = inOtherCentres > 0 ? inOtherCentres : this.holders.length - 1;
    return Math.max(1, Math.min(GROUPS_PER_HOLDER, successors));
  }

  /** Returns the holders that may succeed another: those in other data centres, if there are any. */
  #possibleSuccessors(holder: Instance): Instance[] {
    const others = ringAfter(this.holders, holder);
    const inOtherCentres = others.filter((other) => other.dataCentre !== holder.dataCentre);
    return inOtherCentres.length > 0 ? inOtherCentres : others;
  }

  /** Number of members that a group should have. */
  get groupSize(): number {
    return this.holders.length < 2 ? 1 : Math.min(MEMBERS_PER_GROUP_MAX, this.voters.length);
  }

  /**
   * Returns whether a group needs no replacement: its holder holds it, all its members run, and they span
   * as many data centres as possible.
   */
  isHealthy(group: LeaseGroup): boolean {
    const [holder, successor] = group.members;
    if (group.step !== 0 || group.isSurrendered || group.members.length !== this.groupSize) {
      return false;
    }
    if (!group.members.every((member) => this.isCurrent(member))) {
      return false;
    }
    const canSucceed = successor === undefined ||
      this.holderAt(successor.address) !== undefined;
    const canHold = this.holderAt(holder.address) !== undefined;
    return canHold && canSucceed &&
      this.#spreadOf(group) >= this.#bestSpread(holder.address);
  }

  #spreadOf(group: LeaseGroup): number {
    const instances = group.members.map((member) => this.#byAddress.get(member.address)!);
    return new Set(instances.map((instance) => instance.dataCentre)).size;
  }

  /** Returns the largest number of data centres that a group of this holder could span. */
  #bestSpread(holder: Address): number {
    const own = this.#byAddress.get(holder)!.dataCentre;
    const hasDistantSuccessor = this.#holdersIn.size > 1 || !this.#holdersIn.has(own);
    const centres = this.#centres.size;
    const reachable = hasDistantSuccessor ? centres : Math.min(2, centres);
    return Math.min(this.groupSize, reachable);
  }

  /** Chooses the members of a new group for a holder; prefers successors that it does not have yet. */
  chooseMembers(holder: Instance, usedSuccessors: Set<Address>): Member[] {
    const members = [holder];
    if (this.groupSize > 1) {
      members.push(this.#chooseSuccessor(holder, usedSuccessors));
    }
    if (this.groupSize > 2) {
      members.push(this.#chooseWitness(members[0], members[1]));
    }
    return members.map(({ address, incarnation }) => ({
      address,
      incarnation,
    }));
  }

  /** Chooses the next possible successor in the ring; prefers unused ones, then ones in the same region. */
  #chooseSuccessor(holder: Instance, used: Set<Address>): Instance {
    return firstWithHighestScore(
      this.#possibleSuccessors(holder),
      (other) => (used.has(other.address) ? 0 : 2) + (other.region === holder.region ? 1 : 0),
    );
  }

  /** Chooses a witness: a voter in a third data centre if possible, then one in the holder's region. */
  #chooseWitness(holder: Instance, successor: Instance): Instance {
    const usedCentres = new Set([holder.dataCentre, successor.dataCentre]);
    const others = ringAfter(this.voters, successor).filter((voter) => voter !== holder);
    return firstWithHighestScore(
      others,
      (other) =>
        (usedCentres.has(other.dataCentre) ? 0 : 2) +
        (other.region === holder.region ? 1 : 0),
    );
  }
}

/** Returns the other instances in ring order, starting after the given one. */
function ringAfter(instances: Instance[], start: Instance): Instance[] {
  const startIndex = instances.findIndex((instance) => instance.address >= start.address);
  const rotated = [...instances.slice(startIndex), ...instances.slice(0, startIndex)];
  return rotated.filter((instance) => instance.address !== start.address);
}

/** Returns the first instance with the highest score. */
function firstWithHighestScore(
  instances: Instance[],
  score: (instance: Instance) => number,
): Instance {
  return instances.reduce((chosen, next) => score(next) > score(chosen) ? next : chosen);
}
