/**
 * Computes the changes of the lease groups and shards of one pool: groups to create and to retire, and
 * moves of shards, each with its cause.
 */
import { type Address, type Group, MoveCause } from "@bulrushwood/types";
import {
  type LeaseGroup,
  type Ledger,
  type Member,
  type PoolTable,
  Presence,
} from "@bulrushwood/ledger";
import { GroupCandidates } from "./group_candidates.ts";

/** Surplus of shards that a holder may have before shards are moved, as a share of the mean. */
const SURPLUS_SHARE = 0.1;
/** Largest number of shards that one plan moves only to balance the load. */
const BALANCE_SHARDS_MAX = 64;
/** Number of new groups after which a plan leaves the remaining holders to the next plan. */
const GROUPS_PER_PLAN = 96;

/** Shards to move from one group to another. */
export interface Move {
  shards: number[];
  from: Group;
  to: Group;
  cause: MoveCause;
}

/** Changes to make in one pool. */
export interface Plan {
  pool: string;
  create: Member[][];
  moves: Move[];
  retire: Group[];
  /** Whether moves are postponed until the newest groups are established. */
  isWaiting: boolean;
}

/**
 * Compares the pool's state with the desired one. Shards are moved only once the holders of all groups have
 * had time to gather votes, which `isEstablished` decides, so that moved shards need not wait for votes.
 */
export function planPool(
  ledger: Ledger,
  table: PoolTable,
  options: { isEstablished?: (group: Group) => boolean } = {},
): Plan {
  const candidates = new GroupCandidates(ledger, table.pool);
  const groups = [...ledger.groups.values()].filter((group) => group.pool === table.pool);
  const healthy = groups.filter((group) => candidates.isHealthy(group)).sort(bySuccessor);
  const create = missingGroups(candidates, healthy);
  const { isEstablished = () => true } = options;
  const areEstablished = healthy.every((group) => isEstablished(group.group));
  const isWaiting = !areEstablished;
  const plan: Plan = { pool: table.pool, create, moves: [], retire: [], isWaiting };
  if (create.length === 0 && healthy.length > 0 && areEstablished) {
    plan.moves = planMoves(ledger, table, candidates, healthy);
    plan.retire = retirableGroups(table, groups, healthy);
  }
  return plan;
}

/** Orders groups by their members, so that the order does not depend on which was created first. */
function bySuccessor(left: LeaseGroup, right: LeaseGroup): number {
  const [leftName, rightName] = [left, right].map((group) =>
    group.members.map((member) => member.address).join(" ")
  );
  return leftName < rightName ? -1 : 1;
}

/** Returns the groups that holders lack; where there are very many, the rest is left to the next plan. */
function missingGroups(candidates: GroupCandidates, healthy: LeaseGroup[]): Member[][] {
  const successorsOf = new Map<Address, Address[]>();
  for (const { members } of healthy) {
    const successors = successorsOf.get(members[0].address) ?? [];
    successors.push(members[1]?.address ?? "");
    successorsOf.set(members[0].address, successors);
  }
  const missing: Member[][] = [];
  for (const holder of candidates.holders) {
    if (missing.length >= GROUPS_PER_PLAN) {
      break;
    }
    const successors = successorsOf.get(holder.address) ?? [];
    const used = new Set(successors);
    for (let count = successors.length; count < candidates.groupsWanted(holder); count++) {
      const members = candidates.chooseMembers(holder, used);
      missing.push(members);
      used.add(members[1]?.address ?? "");
    }
  }
  return missing;
}

function retirableGroups(
  table: PoolTable,
  groups: LeaseGroup[],
  healthy: LeaseGroup[],
): Group[] {
  const healthyIds = new Set(healthy.map((group) => group.group));
  const sealing = table.predecessorGroups();
  const unused = groups.filter((group) => !healthyIds.has(group.group) && group.shards === 0);
  return unused.map((group) => group.group).filter((group) => !sealing.has(group));
}

/** Collects shard moves, and tracks how many shards each group and holder will have after them. */
class ShardMoves {
  readonly #counts = new Map<Group, number>();
  readonly #groupsOf = new Map<Address, Group[]>();
  readonly #holderOf = new Map<Group, Address>();
  readonly #countOf = new Map<Address, number>();
  /** Holders by their number of shards, so that the most and least loaded are found without a scan of all. */
  readonly #holdersWith = new Map<number, Set<Address>>();
  readonly #moves = new Map<string, Move>();
  readonly #planned = new Set<number>();

  constructor(candidates: GroupCandidates, healthy: LeaseGroup[]) {
    for (const { group, shards, members } of healthy) {
      const holder = members[0].address;
      this.#counts.set(group, shards);
      this.#holderOf.set(group, holder);
      this.#countOf.set(holder, (this.#countOf.get(holder) ?? 0) + shards);
      const groups = this.#groupsOf.get(holder) ?? [];
      groups.push(group);
      this.#groupsOf.set(holder, groups);
    }
    for (const { address } of candidates.holders) {
      this.#addToIndex(address);
    }
  }

  #addToIndex(holder: Address): void {
    const count = this.countOf(holder);
    const others = this.#holdersWith.get(count) ?? new Set();
    this.#holdersWith.set(count, others.add(holder));
  }

  /** Holder with the fewest shards. */
  get leastLoaded(): Address {
    return this.#firstHolderWith(Math.min(...this.#holdersWith.keys()));
  }

  /** Holder with the most shards. */
  get mostLoaded(): Address {
    return this.#firstHolderWith(Math.max(...this.#holdersWith.keys()));
  }

  #firstHolderWith(count: number): Address {
    return this.#holdersWith.get(count)!.values().next().value!;
  }

  get moves(): Move[] {
    return [...this.#moves.values()];
  }

  /** Returns whether the plan already moves a shard. */
  isPlanned(shard: number): boolean {
    return this.#planned.has(shard);
  }

  /** Returns the number of shards that a holder will have. */
  countOf(holder: Address): number {
    return this.#countOf.get(holder) ?? 0;
  }

  /** Returns the healthy groups of a holder. */
  groupsOf(holder: Address): Group[] {
    return this.#groupsOf.get(holder) ?? [];
  }

  /** Returns the group with the fewest shards of a holder. */
  smallestGroup(holder: Address): Group {
    return this.groupsOf(holder).reduce((chosen, next) =>
      this.#counts.get(next)! < this.#counts.get(chosen)! ? next : chosen
    );
  }

  add(shard: number, move: Omit<Move, "shards">): void {
    const key = `${move.from}-${move.to}-${move.cause}`;
    const existing = this.#moves.get(key) ?? { ...move, shards: [] };
    existing.shards.push(shard);
    this.#moves.set(key, existing);
    this.#planned.add(shard);
    this.#changeCount(move.to, 1);
    this.#changeCount(move.from, -1);
  }

  #removeFromIndex(holder: Address): void {
    const count = this.countOf(holder);
    const others = this.#holdersWith.get(count);
    others?.delete(holder);
    if (others?.size === 0) {
      this.#holdersWith.delete(count);
    }
  }

  #changeCount(group: Group, delta: number): void {
    const holder = this.#holderOf.get(group);
    if (holder !== undefined) {
      this.#counts.set(group, this.#counts.get(group)! + delta);
      this.#removeFromIndex(holder);
      this.#countOf.set(holder, this.countOf(holder) + delta);
      this.#addToIndex(holder);
    }
  }
}

function planMoves(
  ledger: Ledger,
  table: PoolTable,
  candidates: GroupCandidates,
  healthy: LeaseGroup[],
): Move[] {
  const moveList = new ShardMoves(candidates, healthy);
  const healthyGroups = new Set(healthy.map((group) => group.group));
  for (let shard = 0; shard < table.size; shard++) {
    const from = table.groupOf(shard);
    if (!healthyGroups.has(from)) {
      const holder = chooseHolder(ledger.groups.get(from), candidates, moveList);
      moveList.add(shard, {
        from,
        to: moveList.smallestGroup(holder),
        cause: causeOf(ledger, from),
      });
    }
  }
  balance(table, candidates, moveList);
  return moveList.moves;
}

/** Chooses the next holder of shards: the daemon that serves them, otherwise the successor or the least loaded. */
function chooseHolder(
  group: LeaseGroup | undefined,
  candidates: GroupCandidates,
  moveList: ShardMoves,
): string {
  const serving = group?.members[group.step];
  if (
    serving !== undefined && candidates.isCurrent(serving) &&
    candidates.holderAt(serving.address)
  ) {
    return serving.address;
  }
  const successor = group?.members[1];
  if (
    successor !== undefined && candidates.isCurrent(successor) &&
    candidates.holderAt(successor.address)
  ) {
    return successor.address;
  }
  return moveList.leastLoaded;
}

/** Returns why shards leave a group, from the first of its members that is leaving or no longer trusted. */
function causeOf(ledger: Ledger, from: Group): MoveCause {
  const group = ledger.groups.get(from);
  if (group === undefined) {
    return MoveCause.Initial;
  }
  const departed = group.members.find((member) =>
    !ledger.isTrusted(member.address, member.incarnation) ||
    ledger.instances.get(member.address)?.presence === Presence.Leaving
  );
  if (departed === undefined) {
    return MoveCause.Balance;
  }
  const instance = ledger.instances.get(departed.address);
  const isCurrent = instance?.incarnation === departed.incarnation;
  const hasLeft = instance?.presence === Presence.Leaving || instance?.presence === Presence.Left;
  return isCurrent && hasLeft ? MoveCause.Leave : MoveCause.Loss;
}

/** Moves shards from the most to the least loaded holder while their difference exceeds the allowed one. */
function balance(table: PoolTable, candidates: GroupCandidates, moveList: ShardMoves): void {
  const mean = table.size / candidates.holders.length;
  const surplus = Math.max(1, Math.floor(mean * SURPLUS_SHARE));
  for (let moved = 0; moved < BALANCE_SHARDS_MAX; moved++) {
    const to = moveList.leastLoaded;
    const from = moveList.mostLoaded;
    if (moveList.countOf(from) - moveList.countOf(to) <= 2 * surplus) {
      return;
    }
    const shard = findShard(table, from, moveList);
    if (shard === undefined) {
      return;
    }
    const cause = MoveCause.Balance;
    moveList.add(shard, {
      from: table.groupOf(shard),
      to: moveList.smallestGroup(to),
      cause,
    });
  }
}

/** Finds a shard that a holder owns, whose last move is activated, and that the plan does not move. */
function findShard(
  table: PoolTable,
  holder: Address,
  moveList: ShardMoves,
): number | undefined {
  const own = new Set(moveList.groupsOf(holder));
  for (let shard = table.size - 1; shard >= 0; shard--) {
    const isFree = own.has(table.groupOf(shard)) && !moveList.isPlanned(shard);
    if (isFree && table.predecessorsOf(shard).length === 0) {
      return shard;
    }
  }
  return undefined;
}
