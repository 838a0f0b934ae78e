/**
 * Records of single daemons in the system topic, beside the ownership tables: their values are JSON, and a daemon
 * writes its own until the store accepts it.
 */
import type { Buffer } from "node:buffer";
import { Result } from "true-myth";
import type { z } from "zod";
import type { KeyedValue, Store } from "@bulrushwood/deployment";
import type { Sleep } from "@bulrushwood/types";
import type { KeyedFollower } from "./keyed_follower.ts";

/** Topic of all ownership tables, and of the records of all daemons. */
export const SYSTEM_TOPIC = "keyed.bulrushwood";
const APPEND_TIMEOUT_MS = 1_000;
/** Pause before a failed append is retried, in milliseconds. */
const RETRY_MS = 300;

/** Parses the value of a record; fails when it is corrupt or of another format. */
export function parseRecord<T>(value: Buffer, schema: z.ZodType<T>): Result<T, Error> {
  try {
    return Result.ok(schema.parse(JSON.parse(value.toString("utf8"))));
  } catch (error) {
    return Result.err(error as Error);
  }
}

/**
 * Appends a record to the system topic, and retries until the store accepts it. `nextItem` returns what is to be
 * written at each try; undefined ends the tries. The follower gets the record at once.
 */
export async function appendUntilAccepted(
  store: Store,
  nextItem: () => KeyedValue | undefined,
  options: { follower: KeyedFollower; sleep: Sleep; signal: AbortSignal },
): Promise<void> {
  const { follower, sleep, signal } = options;
  while (!signal.aborted) {
    const item = nextItem();
    if (item === undefined) {
      return;
    }
    const appended = await store.append(SYSTEM_TOPIC, item, { timeoutMs: APPEND_TIMEOUT_MS });
    if (appended.isOk) {
      follower.applyAppended(item, appended.value);
      return;
    }
    await sleep(RETRY_MS, signal);
  }
}
