/**
 * The daemon of one machine is stopped and started by plan. When it has handed its keys over, the store is away for a
 * moment and comes back from a copy that is three seconds old, from before the handover. Later the same daemon is stopped
 * and started by plan again, a few times.
 */
import process from "node:process";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { inflateRawSync } from "node:zlib";
import { Deployment } from "../lib-2/deployment.mjs";

/** Time from the copy to the signal to stop, and from there until the store goes away. */
const BEFORE_STOP_MS = 1_400;
const DRILL_AFTER_MS = 1_600;
/** Time for which the store is away. */
const AWAY_MS = 800;
const RESTARTS = 6;
/** Time between two restarts. */
const GAP_MS = 5_000;
const hasTrouble = process.env.TROUBLE !== "0";

const folder = dirname(fileURLToPath(import.meta.url));
const deployment = new Deployment({ machines: 4, recordPath: join(folder, "record.txt") });
const { store, machines } = deployment;

/** Returns the highest epoch and the numbers of keys by owner of an ownership table, for the record. */
function describe(key, value) {
  if (!key.startsWith("table/")) {
    return "";
  }
  const { epoch, owners, ranges } = JSON.parse(inflateRawSync(value).toString());
  const counts = new Map();
  ranges.forEach(([first, owner], index) => {
    const size = (ranges[index + 1]?.[0] ?? 65_536) - first;
    const host = owners[owner]?.split(":")[0] ?? "nobody";
    counts.set(host, (counts.get(host) ?? 0) + size);
  });
  const parts = [...counts].map(([host, count]) => `${host} has ${count}`);
  return `epoch ${epoch}, ${parts.join(", ")}`;
}

/** Waits until the daemon that the platform has started again is ready. */
async function awaitReady(machine) {
  const until = performance.now() + 10_000;
  while (!machine.isRunning || !(await machine.isReady())) {
    if (performance.now() > until) {
      deployment.record(`${machine.name}: the daemon is not ready`);
      await deployment.exit(2);
    }
    await sleep(50);
  }
}

await deployment.start();
store.onAppend = (topic, { key, value }, offset) =>
  deployment.record(`store: ${topic} ${offset} is ${key} ${describe(key, value)}`);
const keys = Array.from({ length: 64 }, (_, index) => index * 1_024 + 7);
deployment.sendSteadily({ keys, everyMs: 60 });
await sleep(4_000);

const [, machine] = machines;
const copy = store.copy();
const copiedAt = performance.now();
deployment.record("copy of the store");
await sleep(BEFORE_STOP_MS);
const stopped = machine.stop();
await sleep(DRILL_AFTER_MS);
if (hasTrouble) {
  const seconds = ((performance.now() - copiedAt) / 1_000).toFixed(1);
  const lost = store.topics.get("keyed.bulrushwood").length - copy.get("keyed.bulrushwood").length;
  deployment.record(
    `the store goes away; its copy is ${seconds} s old and lacks ${lost} records of the daemons`,
  );
  store.goAway();
  await sleep(AWAY_MS);
  store.restoreCopy(copy);
  deployment.record(`the store is back, with Store-Era ${store.era}`);
}
await stopped;
await awaitReady(machine);
for (let restart = 0; restart < RESTARTS && deployment.broken.length === 0; restart++) {
  await sleep(GAP_MS);
  await machine.stop();
  await awaitReady(machine);
}
await sleep(GAP_MS);
await deployment.exit(deployment.broken.length > 0 ? 1 : 0);
