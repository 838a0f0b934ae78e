/**
 * From a key to its shard, by xxhash64, the same in every daemon.
 */
import xxhash from "xxhash-wasm";

/** Finds the shard of a key among a number of shards that is a power of two. */
export type ShardOf = (key: string, shards: number) => number;

/** Loads the hash function. */
export async function createShardOf(): Promise<ShardOf> {
  const { h64 } = await xxhash();
  return (key, shards) => Number(h64(key) & BigInt(shards - 1));
}
