/**
 * Upstreams leave, and the daemons that acknowledged it are killed right after the ack.
 */
import {
  BOUNDS,
  Clients,
  Daemon,
  HAS_TROUBLE,
  manifest,
  reserveAddresses,
  runCase,
  waitUntilReady,
} from "../lib/deployment.mjs";
import { Store } from "../lib/store.mjs";
import { now, sleep } from "../lib/tools.mjs";
import { Upstream } from "../lib/upstream.mjs";

const ZONES = ["carapungo", "calderon", "pomasqui"];
const MACHINES = 10;
/** Upstreams that leave, one after the other. */
const LEAVING = 4;
const BETWEEN_MS = 4_000;
/** Time for which the last report of a leaving upstream is held up, in milliseconds. */
const LATE_MS = 1_500;
/** Time for which a leaving upstream goes on serving, in milliseconds. */
const SERVES_MS = 9_000;
const SERVICE = "inspeccion";
const ROUTES = [{ prefix: "/photos/", service: SERVICE, route_kind: "upload" }];
const REQUEST_EVERY_MS = 50;
const WARM_MS = 6_000;

await runCase(new URL(".", import.meta.url).pathname, async ({ record, folder, track }) => {
  const store = new Store("127.0.0.1");
  await store.listen();
  track(() => store.close());
  store.write("keyed.op", "config", manifest({ version: 7, routes: ROUTES, services: [SERVICE] }));
  store.onAppend = (_topic, key) => record.write("store appends", { key });
  const runs = [];
  const machines = await Promise.all(Array.from({ length: MACHINES }, async (_, index) => {
    const zone = ZONES[index % ZONES.length];
    const addresses = await reserveAddresses(`127.0.0.${index + 11}`);
    const { host, app, control } = addresses;
    const storeAddress = `127.0.0.1:${store.port}`;
    const name = `side-${zone}-${index + 1}`;
    const service = SERVICE;
    const daemon = new Daemon({ name, zone, service, addresses, storeAddress, folder, record });
    daemon.start();
    track(() => daemon.stop());
    const upstream = new Upstream({
      id: `i-${index}`,
      service,
      zone,
      host,
      port: app,
      control: `${host}:${control}`,
      record: record.write.bind(record),
      onRun: (run) => runs.push({ ...run, at: now() }),
    });
    await upstream.start();
    track(() => upstream.crash());
    return { daemon, upstream };
  }));
  const daemons = machines.map(({ daemon }) => daemon);
  await waitUntilReady(daemons);
  // Only the machines whose upstreams stay have clients, so that all requests are taken by machines in touch.
  const clients = daemons.slice(LEAVING).map((daemon) => new Clients(daemon, record));
  track(() => clients.forEach((each) => each.close()));
  await sleep(WARM_MS / 2);
  clients.forEach((each) =>
    each.run(REQUEST_EVERY_MS, () => ({ path: "/photos/1", method: "POST", body: "photo" }))
  );
  await sleep(WARM_MS / 2);
  const acks = new Map();
  for (const { daemon, upstream } of machines.slice(0, LEAVING)) {
    await upstream.leave({ lateMs: LATE_MS });
    if (HAS_TROUBLE) {
      daemon.signal("SIGKILL");
    }
    acks.set(upstream.id, now());
    record.write("leave is acknowledged", { upstream: upstream.id, by: daemon.name });
    setTimeout(() => upstream.crash(), SERVES_MS);
    await sleep(BETWEEN_MS);
  }
  await sleep(SERVES_MS);
  clients.forEach((each) => each.stop());
  await sleep(1_500);
  return runs.flatMap(({ id, upstream, at }) => {
    const ackAt = acks.get(upstream);
    const machine = machines.find((candidate) => candidate.upstream.id === upstream);
    // The daemon beside the upstream is in touch once it has run for the stable window.
    const inTouchAt = Math.max(0, ...machine.daemon.starts) + BOUNDS.stable_window_ms;
    const isLate = ackAt !== undefined && at > ackAt + BOUNDS.drain_ms && at > inTouchAt;
    return isLate
      ? [
        `DRAIN: request ${id} reached ${upstream} ${
          Math.round(at - ackAt)
        } ms after the ack of its ` +
        `leaving and ${Math.round(at - inTouchAt)} ms after its daemon was in touch again`,
      ]
      : [];
  });
});
