/**
 * Table of which lease group owns each shard of one keyed pool, and which moves are not activated yet. It
 * has two numbers for each shard in flat arrays, since the planned size has 65,536 shards.
 */
import { Buffer } from "node:buffer";
import type { Group, Offset } from "@bulrushwood/types";
import type { Predecessor } from "./state.ts";

/** Owners of the shards of one keyed pool. */
export class PoolTable {
  readonly pool: string;
  /** Number of shards; a power of two. */
  readonly size: number;
  readonly #groups: Float64Array;
  readonly #moves: Float64Array;
  readonly #predecessors = new Map<number, Predecessor[]>();
  readonly #wasTransferred: Uint8Array;

  constructor(pool: string, size: number) {
    this.pool = pool;
    this.size = size;
    this.#groups = new Float64Array(size);
    this.#moves = new Float64Array(size);
    this.#wasTransferred = new Uint8Array(size);
  }

  /** Returns the group that owns a shard; 0 for none. */
  groupOf(shard: number): Group {
    return this.#groups[shard];
  }

  /** Returns the offset of the move by which the current group got the shard; 0 for none. */
  moveOf(shard: number): Offset {
    return this.#moves[shard];
  }

  /** Returns the earlier owners that must be sealed before the current one serves the shard. */
  predecessorsOf(shard: number): readonly Predecessor[] {
    return this.#predecessors.get(shard) ?? [];
  }

  /** Returns whether the shard has never been transferred from one group to another. */
  hasFirstGroup(shard: number): boolean {
    return this.#wasTransferred[shard] === 0;
  }

  /** Assigns a shard to a group; its current owner, if any, becomes a predecessor. */
  move(shard: number, to: Group, at: Offset): void {
    const from = this.#groups[shard];
    if (from !== 0) {
      this.#wasTransferred[shard] = 1;
      const earlier = this.#predecessors.get(shard) ?? [];
      this.#predecessors.set(shard, [...earlier, { group: from, move: at }]);
    }
    this.#groups[shard] = to;
    this.#moves[shard] = at;
  }

  /** Records that the current owner has sealed all predecessors of a shard. */
  activate(shard: number): void {
    this.#predecessors.delete(shard);
  }

  /** Lists the shards that a group owns. */
  shardsOf(group: Group): number[] {
    const shards: number[] = [];
    for (let shard = 0; shard < this.size; shard++) {
      if (this.#groups[shard] === group) {
        shards.push(shard);
      }
    }
    return shards;
  }

  /** Returns the groups that are still a predecessor of some shard. */
  predecessorGroups(): Set<Group> {
    const groups = new Set<Group>();
    for (const predecessors of this.#predecessors.values()) {
      for (const predecessor of predecessors) {
        groups.add(predecessor.group);
      }
    }
    return groups;
  }

  /** Returns the table as plain data for a snapshot. */
  toDocument(): PoolDocument {
    return {
      pool: this.pool,
      size: this.size,
      groups: encode(this.#groups),
      moves: encode(this.#moves),
      moved: encode(this.#wasTransferred),
      predecessors: [...this.#predecessors].map(([shard, predecessors]) => ({
        shard,
        predecessors,
      })),
    };
  }

  /** Creates a table from a snapshot. */
  static fromDocument(document: PoolDocument): PoolTable {
    const table = new PoolTable(document.pool, document.size);
    decode(document.groups, table.#groups);
    decode(document.moves, table.#moves);
    decode(document.moved, table.#wasTransferred);
    for (const { shard, predecessors } of document.predecessors) {
      table.#predecessors.set(shard, predecessors);
    }
    return table;
  }
}

/** Predecessors of one shard, as stored in a snapshot. */
interface ShardPredecessors {
  shard: number;
  predecessors: Predecessor[];
}

/** Pool table as stored in a snapshot. Its arrays are base64 of their bytes in little-endian order. */
export interface PoolDocument {
  pool: string;
  size: number;
  groups: string;
  moves: string;
  moved: string;
  predecessors: ShardPredecessors[];
}

function encode(values: Float64Array | Uint8Array): string {
  return Buffer.from(values.buffer, values.byteOffset, values.byteLength).toString("base64");
}

function decode(text: string, values: Float64Array | Uint8Array): void {
  const target = new Uint8Array(values.buffer, values.byteOffset, values.byteLength);
  target.set(Buffer.from(text, "base64").subarray(0, target.length));
}
