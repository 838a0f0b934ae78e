/**
 * Ownership table of a service that one daemon follows in a keyed store, for tests.
 */
import type { Store } from "@bulrushwood/deployment";
import { KeyedFollower, SYSTEM_TOPIC, TableStore } from "@bulrushwood/ledger_store";
import { now, sleep } from "@bulrushwood/types";
import { KeyedStoreService } from "./keyed_store.ts";

/** Longest time that one read waits for a record, in milliseconds. */
const READ_WAIT_MS = 500;
const SERVICE = "despacho";

/** Ownership table with the store and the follower that it reads from. */
export interface FollowedTable {
  store: Store;
  follower: KeyedFollower;
  table: TableStore;
  close: () => Promise<void>;
}

/** Starts to follow a table, by default in a new and empty store. */
export async function followTable(
  service = new KeyedStoreService({ sleep }),
  options: { paceMs?: number } = {},
): Promise<FollowedTable> {
  const store = service.connect();
  const follower = new KeyedFollower({
    store,
    topic: SYSTEM_TOPIC,
    now,
    sleep,
    waitMs: () => READ_WAIT_MS,
    paceMs: () => options.paceMs ?? 0,
    onReachable: () => {},
  });
  const table = new TableStore({
    store,
    follower,
    now,
    sleep,
    service: SERVICE,
    random: Math.random,
    onCorrupt: () => {},
  });
  await follower.start();
  const close = async () => {
    table.close();
    await follower.close();
  };
  return { store, follower, table, close };
}
