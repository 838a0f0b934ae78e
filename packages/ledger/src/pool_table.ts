/**
 * Which lease group owns each shard of one keyed pool, and which moves are not yet activated.
 * Two numbers for each shard, in flat arrays, since the planned size has 65,536 shards.
 */
import { Buffer } from "node:buffer";
import type { Group, Offset } from "@bulrushwood/types";
import type { Predecessor } from "./state.ts";

/** The shard table of one keyed pool. */
export class PoolTable {
  readonly pool: string;
  /** Number of shards; a power of two. */
  readonly size: number;
  readonly #groups: Float64Array;
  readonly #moves: Float64Array;
  readonly #predecessors = new Map<number, Predecessor[]>();
  readonly #moved: Uint8Array;

  constructor(pool: string, size: number) {
    this.pool = pool;
    this.size = size;
    this.#groups = new Float64Array(size);
    this.#moves = new Float64Array(size);
    this.#moved = new Uint8Array(size);
  }

  /** Group that owns a shard; 0 for none. */
  groupOf(shard: number): Group {
    return this.#groups[shard];
  }

  /** Offset of the move that gave the shard to its group; 0 for none. */
  moveOf(shard: number): Offset {
    return this.#moves[shard];
  }

  /** Earlier owners that must be sealed before the present one serves the shard. */
  predecessorsOf(shard: number): readonly Predecessor[] {
    return this.#predecessors.get(shard) ?? [];
  }

  /** Whether the present group is the first that ever owned the shard. */
  hasFirstGroup(shard: number): boolean {
    return this.#moved[shard] === 0;
  }

  /** Gives a shard to a group; its present owner becomes a predecessor. */
  move(shard: number, to: Group, at: Offset): void {
    const from = this.#groups[shard];
    if (from !== 0) {
      this.#moved[shard] = 1;
      const earlier = this.#predecessors.get(shard) ?? [];
      this.#predecessors.set(shard, [...earlier, { group: from, move: at }]);
    }
    this.#groups[shard] = to;
    this.#moves[shard] = at;
  }

  /** Notes that the present owner has sealed all predecessors. */
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

  /** Groups that some shard still names as predecessor. */
  predecessorGroups(): Set<Group> {
    const groups = new Set<Group>();
    for (const predecessors of this.#predecessors.values()) {
      for (const predecessor of predecessors) {
        groups.add(predecessor.group);
      }
    }
    return groups;
  }

  /** Writes the table as plain data for a snapshot. */
  toDocument(): PoolDocument {
    return {
      pool: this.pool,
      size: this.size,
      groups: encode(this.#groups),
      moves: encode(this.#moves),
      moved: encode(this.#moved),
      predecessors: [...this.#predecessors].map(([shard, predecessors]) => ({
        shard,
        predecessors,
      })),
    };
  }

  /** Reads a table from a snapshot. */
  static fromDocument(document: PoolDocument): PoolTable {
    const table = new PoolTable(document.pool, document.size);
    decode(document.groups, table.#groups);
    decode(document.moves, table.#moves);
    decode(document.moved, table.#moved);
    for (const { shard, predecessors } of document.predecessors) {
      table.#predecessors.set(shard, predecessors);
    }
    return table;
  }
}

/** The predecessors of one shard, as they stand in a snapshot. */
interface ShardPredecessors {
  shard: number;
  predecessors: Predecessor[];
}

/** A pool table as it stands in a snapshot: its arrays as base64 of their bytes, low byte first. */
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

function decode(text: string, into: Float64Array | Uint8Array): void {
  const target = new Uint8Array(into.buffer, into.byteOffset, into.byteLength);
  target.set(Buffer.from(text, "base64").subarray(0, target.length));
}
