/**
 * An ownership table of a service as one daemon follows it in a keyed store, for tests.
 */
import type { Store } from "@bulrushwood/deployment";
import { KeyedFollower, SYSTEM_TOPIC, TableStore } from "@bulrushwood/ledger_store";
import { now, sleep } from "@bulrushwood/types";
import { KeyedStoreService } from "./keyed_store.ts";

/** How long one read waits for a record, in milliseconds. */
const WAIT_MS = 500;
const SERVICE = "despacho";

/** What one daemon has of a table. */
export interface FollowedTable {
  store: Store;
  follower: KeyedFollower;
  table: TableStore;
  close: () => Promise<void>;
}

/** Follows a table in a store, which is a new one unless it is given. */
export async function followTable(
  service = new KeyedStoreService({ sleep }),
): Promise<FollowedTable> {
  const store = service.connect();
  const follower = new KeyedFollower({
    store,
    topic: SYSTEM_TOPIC,
    now,
    sleep,
    waitMs: WAIT_MS,
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
