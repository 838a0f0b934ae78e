/**
 * The ledger: the state that results from applying the log's records in order, the same in every daemon. A
 * record takes effect only if its preconditions still hold at its offset, so late, duplicate and racing
 * appends are harmless.
 */
import { type Observable, Subject } from "rxjs";
import {
  type Address,
  type Group,
  type Incarnation,
  MoveCause,
  type Offset,
} from "@bulrushwood/types";
import { replacementProblems } from "@bulrushwood/settings";
import {
  type ConfigurationPublished,
  type Entry,
  fromRanges,
  type GroupCreated,
  type GroupRetired,
  type GroupsSurrendered,
  type GroupSucceeded,
  type InstanceJoined,
  type InstanceLost,
  type MovesActivated,
  parseEntry,
  type PlannerClaimed,
  RecordKind,
  type ServerChanged,
  type ShardsMoved,
} from "./records.ts";
import { PoolTable } from "./pool_table.ts";
import {
  type ChurnCount,
  type ConfigurationVersion,
  Effect,
  type Instance,
  type LeaseGroup,
  type PendingMove,
  type PlannerClaim,
  Presence,
} from "./state.ts";
import { type LedgerDocument, readDocument, writeDocument } from "./document.ts";

/** One processed record: its offset, its content if it could be parsed, and its effect. */
export interface ProcessedRecord {
  offset: Offset;
  entry: Entry | undefined;
  effect: Effect;
  /** Why the record has no effect; empty if it has one. */
  reason: string;
}

/** Fields of a record that concerns one incarnation of the daemon at an address. */
interface IncarnationChange {
  address: Address;
  incarnation: Incarnation;
}

/** Result of applying a record that takes effect: no reason against it. */
const APPLIED = "";

/** State of the whole system according to the log, up to one offset. */
export class Ledger {
  /** Offset of the last processed record; 0 before the first. */
  appliedOffset: Offset = 0;
  readonly instances = new Map<Address, Instance>();
  readonly groups = new Map<Group, LeaseGroup>();
  readonly pools = new Map<string, PoolTable>();
  /** Moves that are not yet activated, by offset. */
  readonly pending = new Map<Offset, PendingMove>();
  configuration: ConfigurationVersion | undefined;
  claim: PlannerClaim | undefined;
  /** Number of shards that changed their serving daemon, by pool and cause, since the start of the log. */
  readonly churn: ChurnCount[] = [];
  readonly #changes = new Subject<ProcessedRecord>();

  /** Emits each record after it is processed. */
  get changes(): Observable<ProcessedRecord> {
    return this.#changes;
  }

  /** Processes the record at the next offset. A corrupt record is skipped and reported as such. */
  apply(offset: Offset, body: string): ProcessedRecord {
    const parsed = parseEntry(body);
    this.appliedOffset = offset;
    let processed: ProcessedRecord;
    if (parsed.isErr) {
      const reason = parsed.error.message;
      processed = { offset, entry: undefined, effect: Effect.Corrupt, reason };
    } else {
      const entry = parsed.value;
      const reason = this.#applyEntry(offset, entry);
      const effect = reason === APPLIED ? Effect.Applied : Effect.Conflict;
      processed = { offset, entry, effect, reason };
    }
    this.#changes.next(processed);
    return processed;
  }

  /** Returns the incarnation at an address if it is present or leaving. */
  activeInstance(address: Address): Instance | undefined {
    const instance = this.instances.get(address);
    const active = instance?.presence === Presence.Present ||
      instance?.presence === Presence.Leaving;
    return active ? instance : undefined;
  }

  /** Returns whether, by the log, a daemon runs as the given incarnation and is not suspected. */
  isTrusted(address: Address, incarnation: Incarnation): boolean {
    const instance = this.activeInstance(address);
    return instance?.incarnation === incarnation && !instance.isSuspected;
  }

  /** Returns whether the log proves that the process of the given incarnation no longer runs. */
  isProvenStopped(address: Address, incarnation: Incarnation): boolean {
    const latest = this.instances.get(address);
    if (latest === undefined || latest.incarnation > incarnation) {
      return true;
    }
    return latest.presence === Presence.Left ||
      latest.presence === Presence.DeclaredLost;
  }

  /** Returns a copy of the state as plain data. */
  toDocument(): LedgerDocument {
    return writeDocument(this);
  }

  /** Replaces the state with that of a snapshot. */
  restore(document: LedgerDocument): void {
    readDocument(this, document);
  }

  /** Applies one record; returns why it has no effect, or the empty string. */
  #applyEntry(offset: Offset, entry: Entry): string {
    switch (entry.kind) {
      case RecordKind.InstanceJoined:
        return this.#applyJoined(offset, entry);
      case RecordKind.ServerChanged:
        return this.#applyServerChanged(entry);
      case RecordKind.InstanceLeaving:
        return this.#applyPresence(entry, Presence.Leaving);
      case RecordKind.InstanceLeft:
        return this.#applyPresence(entry, Presence.Left);
      case RecordKind.InstanceLost:
        return this.#applyLost(entry);
      case RecordKind.GroupCreated:
        return this.#applyGroupCreated(offset, entry);
      case RecordKind.GroupRetired:
        return this.#applyGroupRetired(entry);
      case RecordKind.GroupSucceeded:
        return this.#applyGroupSucceeded(entry);
      case RecordKind.GroupsSurrendered:
        return this.#applyGroupsSurrendered(entry);
      case RecordKind.ShardsMoved:
        return this.#applyShardsMoved(offset, entry);
      case RecordKind.MovesActivated:
        return this.#applyMovesActivated(entry);
      case RecordKind.ConfigurationPublished:
        return this.#applyConfiguration(offset, entry);
      case RecordKind.PlannerClaimed:
        return this.#applyPlannerClaimed(entry);
      case RecordKind.SnapshotChunk:
        return APPLIED;
    }
  }

  #applyJoined(offset: Offset, entry: InstanceJoined): string {
    const latest = this.instances.get(entry.address)?.incarnation ?? 0;
    if (latest !== entry.expects) {
      return `The latest incarnation at ${entry.address} is ${latest}, not ${entry.expects}`;
    }
    const { address, name, dataCentre, region, admin, server } = entry;
    this.instances.set(address, {
      address,
      incarnation: offset,
      name,
      dataCentre,
      region,
      admin,
      presence: Presence.Present,
      isSuspected: false,
      server,
    });
    return APPLIED;
  }

  #findActiveInstance(change: IncarnationChange): Instance | string {
    const instance = this.activeInstance(change.address);
    if (instance === undefined || instance.incarnation !== change.incarnation) {
      return `Incarnation ${change.incarnation} at ${change.address} does not take part`;
    }
    return instance;
  }

  #applyServerChanged(entry: ServerChanged): string {
    const instance = this.#findActiveInstance(entry);
    if (typeof instance === "string") {
      return instance;
    }
    const earlier = instance.server;
    const later = entry.server;
    const isOtherKind = earlier !== null && later !== null &&
      (earlier.pool !== later.pool ||
        earlier.checksGrants !== later.checksGrants);
    if (isOtherKind) {
      return "A backend server of another pool or with another check needs a new incarnation";
    }
    instance.server = later;
    instance.isSuspected = false;
    return APPLIED;
  }

  #applyPresence(entry: IncarnationChange, presence: Presence): string {
    const instance = this.#findActiveInstance(entry);
    if (typeof instance === "string") {
      return instance;
    }
    instance.presence = presence;
    return APPLIED;
  }

  #applyLost(entry: InstanceLost): string {
    const instance = this.instances.get(entry.address);
    if (instance === undefined || instance.incarnation !== entry.incarnation) {
      return `Incarnation ${entry.incarnation} is not the latest at ${entry.address}`;
    }
    const hasStopped = instance.presence === Presence.Left ||
      instance.presence === Presence.DeclaredLost;
    const isRepeated = instance.presence === Presence.Lost && !entry.declared;
    if (hasStopped || isRepeated) {
      return `Incarnation ${entry.incarnation} at ${entry.address} is already ${instance.presence}`;
    }
    instance.presence = entry.declared ? Presence.DeclaredLost : Presence.Lost;
    return APPLIED;
  }

  #checkClaim(claim: number): string {
    const current = this.claim?.claim ?? 0;
    return claim === current ? APPLIED : `The planner's claim is ${current}, not ${claim}`;
  }

  #applyGroupCreated(offset: Offset, entry: GroupCreated): string {
    const claimProblem = this.#checkClaim(entry.claim);
    if (claimProblem !== APPLIED) {
      return claimProblem;
    }
    const checksGrants: boolean[] = [];
    for (const member of entry.members) {
      const instance = this.#findActiveInstance(member);
      if (typeof instance === "string") {
        return instance;
      }
      checksGrants.push(instance.server?.checksGrants ?? true);
    }
    const { pool, members } = entry;
    this.groups.set(offset, {
      group: offset,
      pool,
      members,
      step: 0,
      isSurrendered: false,
      checksGrants,
      shards: 0,
    });
    return APPLIED;
  }

  #applyGroupRetired(entry: GroupRetired): string {
    const stale = this.#checkClaim(entry.claim);
    if (stale !== APPLIED) {
      return stale;
    }
    const group = this.groups.get(entry.group);
    if (group === undefined) {
      return `Group ${entry.group} does not exist`;
    }
    const isPredecessor = this.pools.get(group.pool)?.predecessorGroups().has(
      entry.group,
    );
    if (group.shards > 0 || isPredecessor) {
      return `Group ${entry.group} still owns shards or must still be sealed`;
    }
    this.groups.delete(entry.group);
    return APPLIED;
  }

  #applyGroupSucceeded(entry: GroupSucceeded): string {
    const group = this.groups.get(entry.group);
    if (group === undefined || group.step !== 0) {
      return `Group ${entry.group} does not exist or has already been succeeded`;
    }
    if (group.members[1]?.incarnation !== entry.incarnation) {
      return `Incarnation ${entry.incarnation} is not the successor of group ${entry.group}`;
    }
    group.step = 1;
    if (!group.isSurrendered) {
      this.#markSuspected(group.members[0]);
    }
    this.#countChurn(group.pool, MoveCause.Loss, group.shards);
    return APPLIED;
  }

  /** Marks surrendered groups, so that they are replaced whether or not their successor takes over. */
  #applyGroupsSurrendered(entry: GroupsSurrendered): string {
    const groups = entry.groups.map((group) => this.groups.get(group));
    const own = groups.filter((group) =>
      group?.members.slice(0, 2).some((member) => member.incarnation === entry.incarnation)
    );
    for (const group of own) {
      group!.isSurrendered = true;
    }
    return own.length > 0 ? APPLIED : "None of the groups names the incarnation";
  }

  /** Marks a daemon that was succeeded as suspected: no keys until its next record about its server. */
  #markSuspected(member: IncarnationChange): void {
    const instance = this.instances.get(member.address);
    if (instance?.incarnation === member.incarnation) {
      instance.isSuspected = true;
    }
  }

  #applyShardsMoved(offset: Offset, entry: ShardsMoved): string {
    const stale = this.#checkClaim(entry.claim);
    if (stale !== APPLIED) {
      return stale;
    }
    const table = this.pools.get(entry.pool);
    const to = this.groups.get(entry.to);
    if (table === undefined || to === undefined || to.pool !== entry.pool) {
      return `Pool ${entry.pool} or its group ${entry.to} does not exist`;
    }
    const shards = fromRanges(entry.shards);
    const foreignShard = shards.find((shard) =>
      shard >= table.size || table.groupOf(shard) !== entry.from
    );
    if (foreignShard !== undefined || entry.from === entry.to) {
      return `Shard ${foreignShard} of pool ${entry.pool} does not belong to group ${entry.from}`;
    }
    this.#moveShards(table, shards, offset, entry);
    return APPLIED;
  }

  #moveShards(
    table: PoolTable,
    shards: number[],
    offset: Offset,
    entry: ShardsMoved,
  ): void {
    for (const shard of shards) {
      table.move(shard, entry.to, offset);
    }
    this.groups.get(entry.to)!.shards += shards.length;
    const from = this.groups.get(entry.from);
    if (from === undefined) {
      return;
    }
    from.shards -= shards.length;
    const serving = from.members[from.step].address;
    if (serving !== this.groups.get(entry.to)!.members[0].address) {
      this.#countChurn(entry.pool, entry.cause, shards.length);
    }
    this.#dropSuperseded(table, from.group);
    const { pool, to, cause } = entry;
    this.pending.set(offset, {
      move: offset,
      pool,
      shards,
      from: from.group,
      to,
      cause,
    });
  }

  /** Drops pending moves to a group that no longer owns any of their shards. */
  #dropSuperseded(table: PoolTable, group: Group): void {
    for (const pending of this.pending.values()) {
      const isCurrent = pending.shards.some((shard) => table.moveOf(shard) === pending.move);
      if (pending.to === group && !isCurrent) {
        this.pending.delete(pending.move);
      }
    }
  }

  #applyMovesActivated(entry: MovesActivated): string {
    const moves = entry.moves.filter((move) => this.pending.get(move)?.to === entry.group);
    for (const move of moves) {
      this.#activateMove(this.pending.get(move)!);
    }
    return moves.length > 0 ? APPLIED : "None of the moves is pending for the group";
  }

  #activateMove(pending: PendingMove): void {
    const table = this.pools.get(pending.pool)!;
    for (const shard of pending.shards) {
      if (table.moveOf(shard) === pending.move) {
        table.activate(shard);
      }
    }
    this.pending.delete(pending.move);
  }

  #applyConfiguration(offset: Offset, entry: ConfigurationPublished): string {
    const version = this.configuration?.version ?? 0;
    if (version !== entry.expects) {
      return `The configuration in force is version ${version}, not ${entry.expects}`;
    }
    const problems = this.configurationProblems(entry.configuration);
    if (problems.length > 0) {
      return problems.join("; ");
    }
    const { by, configuration } = entry;
    this.configuration = { version: version + 1, offset, by, configuration };
    for (const [name, pool] of Object.entries(configuration.pools)) {
      if (pool.keyed && !this.pools.has(name)) {
        this.pools.set(name, new PoolTable(name, pool.shards));
      }
    }
    return APPLIED;
  }

  /** Lists the problems that keep a configuration from replacing the current one. */
  configurationProblems(
    configuration: ConfigurationVersion["configuration"],
  ): string[] {
    const problems: string[] = [];
    if (this.configuration !== undefined) {
      problems.push(
        ...replacementProblems(this.configuration.configuration, configuration),
      );
    }
    for (const [name, pool] of Object.entries(configuration.pools)) {
      const table = this.pools.get(name);
      if (table !== undefined && pool.keyed && pool.shards !== table.size) {
        problems.push(`pools.${name}.shards must stay ${table.size}`);
      }
    }
    return [...new Set(problems)];
  }

  #countChurn(pool: string, cause: MoveCause, shards: number): void {
    const existing = this.churn.find((count) => count.pool === pool && count.cause === cause);
    if (existing === undefined) {
      this.churn.push({ pool, cause, amount: shards });
    } else {
      existing.amount += shards;
    }
  }

  #applyPlannerClaimed(entry: PlannerClaimed): string {
    const current = this.claim?.claim ?? 0;
    if (current !== entry.expects) {
      return `The planner's claim is ${current}, not ${entry.expects}`;
    }
    const instance = this.#findActiveInstance(entry);
    if (typeof instance === "string") {
      return instance;
    }
    const { address, incarnation } = entry;
    this.claim = { claim: current + 1, address, incarnation };
    return APPLIED;
  }
}
