/**
 * What should change about the lease groups and shards of one pool: groups to create and to retire, and
 * moves of shards, each with its cause.
 */
import { type Group, MoveCause } from "@bulrushwood/types";
import {
  type LeaseGroup,
  type Ledger,
  type Member,
  type PoolTable,
  Presence,
} from "@bulrushwood/ledger";
import { Cast } from "./cast.ts";

/** Surplus of shards that one holder may keep, as a share of the mean, before shards are moved. */
const SURPLUS_SHARE = 0.1;
/** Shards that may be moved only to even the load, in one plan. */
const BALANCE_SHARDS_MAX = 64;

/** Shards to move from one group to another. */
export interface Move {
  shards: number[];
  from: Group;
  to: Group;
  cause: MoveCause;
}

/** What should change about one pool. */
export interface Plan {
  pool: string;
  create: Member[][];
  moves: Move[];
  retire: Group[];
}

/**
 * Compares the pool's state with what it should be. Shards are moved only once the holders of all groups
 * have had time to gather support, which `isEstablished` tells, so that moved shards do not wait for it.
 */
export function planPool(
  ledger: Ledger,
  table: PoolTable,
  options: { isEstablished?: (group: Group) => boolean } = {},
): Plan {
  const cast = new Cast(ledger, table.pool);
  const groups = [...ledger.groups.values()].filter((group) => group.pool === table.pool);
  const sound = groups.filter((group) => cast.isSound(group)).sort(bySuccessor);
  const create = missingGroups(cast, sound);
  const plan: Plan = { pool: table.pool, create, moves: [], retire: [] };
  const { isEstablished = () => true } = options;
  const areEstablished = sound.every((group) => isEstablished(group.group));
  if (create.length === 0 && sound.length > 0 && areEstablished) {
    plan.moves = planMoves(ledger, table, cast, sound);
    plan.retire = retirable(table, groups, sound);
  }
  return plan;
}

/** An order that does not depend on which group was created first. */
function bySuccessor(left: LeaseGroup, right: LeaseGroup): number {
  const [leftName, rightName] = [left, right].map((group) =>
    group.members.map((member) => member.address).join(" ")
  );
  return leftName < rightName ? -1 : 1;
}

function missingGroups(cast: Cast, sound: LeaseGroup[]): Member[][] {
  const missing: Member[][] = [];
  for (const holder of cast.holders) {
    const own = sound.filter((group) => group.members[0].address === holder.address);
    const used = new Set(
      own.flatMap((group) => group.members.slice(1, 2)).map((m) => m.address),
    );
    for (let count = own.length; count < cast.groupsWanted(holder); count++) {
      const members = cast.chooseMembers(holder, used);
      missing.push(members);
      if (members.length > 1) {
        used.add(members[1].address);
      }
    }
  }
  return missing;
}

function retirable(
  table: PoolTable,
  groups: LeaseGroup[],
  sound: LeaseGroup[],
): Group[] {
  const keep = new Set(sound.map((group) => group.group));
  const sealing = table.predecessorGroups();
  const unneeded = groups.filter((group) => !keep.has(group.group) && group.shards === 0);
  return unneeded.map((group) => group.group).filter((group) => !sealing.has(group));
}

/** Collects shard moves while it keeps count of how many shards each group will have. */
class MoveList {
  readonly #sound: LeaseGroup[];
  readonly #counts = new Map<Group, number>();
  readonly #moves = new Map<string, Move>();

  constructor(sound: LeaseGroup[]) {
    this.#sound = sound;
    for (const group of sound) {
      this.#counts.set(group.group, group.shards);
    }
  }

  get moves(): Move[] {
    return [...this.#moves.values()];
  }

  countOf(holder: string): number {
    return this.#groupsOf(holder).reduce(
      (sum, group) => sum + this.#counts.get(group.group)!,
      0,
    );
  }

  #groupsOf(holder: string): LeaseGroup[] {
    return this.#sound.filter((group) => group.members[0].address === holder);
  }

  /** The group with the fewest shards of one holder, or of the holder with the fewest shards. */
  emptiest(holder: string): Group {
    const groups = this.#groupsOf(holder);
    const least = groups.reduce((chosen, next) =>
      this.#counts.get(next.group)! < this.#counts.get(chosen.group)! ? next : chosen
    );
    return least.group;
  }

  add(shard: number, move: Omit<Move, "shards">): void {
    const key = `${move.from}-${move.to}-${move.cause}`;
    const known = this.#moves.get(key) ?? { ...move, shards: [] };
    known.shards.push(shard);
    this.#moves.set(key, known);
    this.#counts.set(move.to, (this.#counts.get(move.to) ?? 0) + 1);
    if (this.#counts.has(move.from)) {
      this.#counts.set(move.from, this.#counts.get(move.from)! - 1);
    }
  }
}

function planMoves(
  ledger: Ledger,
  table: PoolTable,
  cast: Cast,
  sound: LeaseGroup[],
): Move[] {
  const list = new MoveList(sound);
  const soundGroups = new Set(sound.map((group) => group.group));
  for (let shard = 0; shard < table.size; shard++) {
    const from = table.groupOf(shard);
    if (!soundGroups.has(from)) {
      const holder = nextHolder(ledger.groups.get(from), cast, list);
      list.add(shard, {
        from,
        to: list.emptiest(holder),
        cause: causeOf(ledger, from),
      });
    }
  }
  balance(table, cast, soundGroups, list);
  return list.moves;
}

/** The server that serves the shards already, else the one with the fewest shards. */
function nextHolder(
  group: LeaseGroup | undefined,
  cast: Cast,
  list: MoveList,
): string {
  const serving = group?.members[group.step];
  if (
    serving !== undefined && cast.isCurrent(serving) &&
    cast.holderAt(serving.address)
  ) {
    return serving.address;
  }
  const successor = group?.members[1];
  if (
    successor !== undefined && cast.isCurrent(successor) &&
    cast.holderAt(successor.address)
  ) {
    return successor.address;
  }
  return leastLoaded(cast, list);
}

function leastLoaded(cast: Cast, list: MoveList): string {
  const holders = cast.holders.map((holder) => holder.address);
  return holders.reduce((chosen, next) =>
    list.countOf(next) < list.countOf(chosen) ? next : chosen
  );
}

/** Why shards have to leave a group: the first of its members that does not take part as it should. */
function causeOf(ledger: Ledger, from: Group): MoveCause {
  const group = ledger.groups.get(from);
  if (group === undefined) {
    return MoveCause.Initial;
  }
  const gone = group.members.find((member) =>
    !ledger.isTrusted(member.address, member.incarnation) ||
    ledger.instances.get(member.address)?.presence === Presence.Leaving
  );
  if (gone === undefined) {
    return MoveCause.Balance;
  }
  const instance = ledger.instances.get(gone.address);
  const isCurrent = instance?.incarnation === gone.incarnation;
  const hasLeft = instance?.presence === Presence.Leaving || instance?.presence === Presence.Left;
  return isCurrent && hasLeft ? MoveCause.Leave : MoveCause.Loss;
}

/** Moves shards from the holder with the most to the one with the fewest, while that evens them. */
function balance(
  table: PoolTable,
  cast: Cast,
  sound: Set<Group>,
  list: MoveList,
): void {
  const mean = table.size / cast.holders.length;
  const surplus = Math.max(1, Math.floor(mean * SURPLUS_SHARE));
  for (let moved = 0; moved < BALANCE_SHARDS_MAX; moved++) {
    const to = leastLoaded(cast, list);
    const from = mostLoaded(cast, list);
    if (list.countOf(from) - list.countOf(to) <= 2 * surplus) {
      return;
    }
    const shard = findShard(table, cast, from, sound, list);
    if (shard === undefined) {
      return;
    }
    const cause = MoveCause.Balance;
    list.add(shard, {
      from: table.groupOf(shard),
      to: list.emptiest(to),
      cause,
    });
  }
}

function mostLoaded(cast: Cast, list: MoveList): string {
  const holders = cast.holders.map((holder) => holder.address);
  return holders.reduce((chosen, next) =>
    list.countOf(next) > list.countOf(chosen) ? next : chosen
  );
}

/** A shard that a holder owns, that is not on the move, and that the plan leaves where it is. */
function findShard(
  table: PoolTable,
  cast: Cast,
  holder: string,
  sound: Set<Group>,
  list: MoveList,
): number | undefined {
  const planned = new Set(list.moves.flatMap((move) => move.shards));
  const own = cast.groupsOf(holder).filter((group) => sound.has(group));
  for (let shard = table.size - 1; shard >= 0; shard--) {
    const isFree = own.includes(table.groupOf(shard)) && !planned.has(shard);
    if (isFree && table.predecessorsOf(shard).length === 0) {
      return shard;
    }
  }
  return undefined;
}
