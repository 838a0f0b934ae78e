/**
 * Maps a key to its shard by xxhash64, with the same result in every daemon.
 */
import xxhash from "xxhash-wasm";

/** Returns the shard of a key; the number of shards is a power of two. */
export type ShardOf = (key: string, shards: number) => number;

/** Loads the WebAssembly hash function. */
export async function createShardOf(): Promise<ShardOf> {
  const { h64 } = await xxhash();
  return (key, shards) => Number(h64(key) & BigInt(shards - 1));
}
