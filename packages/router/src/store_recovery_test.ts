import { Buffer } from "node:buffer";
import { expect } from "chai";
import { KeyedFollower, SYSTEM_TOPIC, TableStore } from "@bulrushwood/ledger_store";
import { KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { StoreRecovery } from "./store_recovery.ts";

const SELF = "10.0.0.1:7000";
const SERVICE = "s";
/** Time in which a daemon recovers a store without latency; the planner does so without delay. */
const RECOVERY_MS = 1_000;
const GRANT_MS_MAX = 10_000;

/** Starts the part of a daemon that follows the system topic and recovers it. */
async function startDaemon(
  service: KeyedStoreService,
  options: { self?: string; requestRecords?: () => Promise<void> } = {},
) {
  const { self = SELF, requestRecords = () => Promise.resolve() } = options;
  const store = service.connect();
  const random = Math.random;
  const read = { store, topic: SYSTEM_TOPIC, now, sleep, waitMs: () => 100 };
  const follower = new KeyedFollower({ ...read, onReachable: () => {} });
  const table = new TableStore({
    store,
    follower,
    now,
    sleep,
    random,
    service: SERVICE,
    onCorrupt: () => {},
  });
  const recovered: number[] = [];
  const recovery = new StoreRecovery({
    self,
    service: SERVICE,
    store,
    follower,
    tables: () => new Map([[SERVICE, table]]),
    peers: () => [],
    requestRecords,
    isPlanner: () => true,
    grantMsMax: GRANT_MS_MAX,
    now,
    sleep,
    random,
    onRecovered: ({ rewritten }) => recovered.push(rewritten),
    log: () => {},
  });
  await follower.start();
  const close = async () => {
    recovery.close();
    table.close();
    await follower.close();
  };
  return { follower, table, recovered, close };
}

async function append(service: KeyedStoreService, key: string, value: string): Promise<void> {
  const item = { key, value: Buffer.from(value) };
  await service.connect().append(SYSTEM_TOPIC, item, { timeoutMs: 100 });
}

async function readStored(service: KeyedStoreService): Promise<Map<string, string>> {
  const page = await service.connect().readNewest(SYSTEM_TOPIC, { timeoutMs: 100 });
  const { items } = page.unwrapOr(undefined!);
  return new Map(items.map(({ key, value }) => [key, value.toString()]));
}

describe("recovery of a store that comes back from an older copy", () => {
  // Guards against leaves that were acknowledged to a server, and ends of servers, that no later daemon knows.
  it("writes again what the copy lacks, also for daemons that are gone", async () => {
    const service = new KeyedStoreService({ sleep });
    await append(service, `left/${SELF}`, "1");
    await append(service, "left/10.0.0.2:7000", "1");
    const daemon = await startDaemon(service);
    const copy = service.copy();
    await append(service, `left/${SELF}`, "2");
    await append(service, "left/10.0.0.2:7000", "2");
    await append(service, "ended/10.0.0.2:7000", "3");
    await sleep(50);
    service.restore(copy);
    await sleep(RECOVERY_MS);
    const stored = await readStored(service);
    const keys = [`left/${SELF}`, "left/10.0.0.2:7000", "ended/10.0.0.2:7000"];
    expect(keys.map((key) => stored.get(key))).to.deep.equal(["2", "2", "3"]);
    expect(daemon.recovered, "the three records and the table").to.deep.equal([4]);
    await daemon.close();
  });

  // Guards against a table that is written again without a change that only a peer has read.
  it("asks peers for their records before it writes a table again", async () => {
    const service = new KeyedStoreService({ sleep });
    let respond = () => {};
    const responded = new Promise<void>((resolve) => respond = resolve);
    const daemon = await startDaemon(service, { requestRecords: () => responded });
    const copy = service.copy();
    await append(service, "member/10.0.0.2:7000", "{}");
    await sleep(50);
    service.restore(copy);
    await sleep(RECOVERY_MS);
    expect(daemon.table.isSettled, "before the peers have responded").to.equal(false);
    respond();
    await sleep(100);
    expect(daemon.table.isSettled).to.equal(true);
    await daemon.close();
  });

  // Guards against keys that a daemon grants as an old copy says, while servers have them from owners that it lacks.
  it("leaves tables to daemons of earlier eras, for as long as grants may last", async () => {
    const service = new KeyedStoreService({ sleep });
    const earlier = await startDaemon(service);
    await earlier.table.change((table) => ({ ...table, epoch: 1 }));
    await earlier.close();
    service.restore(service.copy());
    const later = await startDaemon(service, { self: "10.0.0.2:7000" });
    await sleep(RECOVERY_MS);
    expect(later.table.isSettled).to.equal(false);
    service.restore(service.copy());
    await sleep(RECOVERY_MS);
    expect(later.table.isSettled, "after a second return").to.equal(false);
    await later.close();
  });
});
