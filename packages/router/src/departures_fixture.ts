/**
 * The part of a daemon that tracks its server and stores departures, for tests.
 */
import { KeyedFollower, SYSTEM_TOPIC } from "@bulrushwood/ledger_store";
import type { KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { Departures } from "./departures.ts";
import { ServerWatch } from "./server_watch.ts";

/** Starts it on a store; `reportEveryMs` is the interval between the reports of the server. */
export async function startDepartures(
  service: KeyedStoreService,
  { reportEveryMs }: { reportEveryMs: number },
) {
  const store = service.connect();
  const options = { store, topic: SYSTEM_TOPIC, now, sleep, waitMs: () => 300 };
  const follower = new KeyedFollower({ ...options, onReachable: () => {} });
  const watch = new ServerWatch({ service: "s", now, reportEveryMs });
  const departures = new Departures({
    self: "10.0.0.1:7000",
    store,
    follower,
    watch,
    now,
    sleep,
    onCorrupt: () => {},
  });
  await follower.start();
  const close = async () => {
    departures.close();
    await follower.close();
  };
  return { watch, departures, close };
}
