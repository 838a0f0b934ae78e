/**
 * A machine is lost for good, and its addresses go to a machine of another service.
 */
import {
  Clients,
  Daemon,
  HAS_TROUBLE,
  manifest,
  reserveAddresses,
  runCase,
  waitUntilReady,
} from "../lib/deployment.mjs";
import { Store } from "../lib/store.mjs";
import { now, sleep, waitUntil } from "../lib/tools.mjs";
import { Upstream } from "../lib/upstream.mjs";

/** Services by machine at first; `inspeccion` and `bodega` have no keys. */
const MACHINES = [
  { name: "side-carapungo-1", zone: "carapungo", service: "inspeccion" },
  { name: "side-calderon-1", zone: "calderon", service: "inspeccion" },
  { name: "side-pomasqui-1", zone: "pomasqui", service: "inspeccion" },
  { name: "side-carapungo-2", zone: "carapungo", service: "inspeccion" },
  { name: "side-calderon-2", zone: "calderon", service: "bodega" },
  { name: "side-pomasqui-2", zone: "pomasqui", service: "bodega" },
];
const ROUTES = [
  { prefix: "/photos/", service: "inspeccion", route_kind: "upload" },
  { prefix: "/stock/", service: "bodega" },
];
const SERVICE_OF = { photos: "inspeccion", stock: "bodega" };
/** The bound `reuse_after_s`, and some time for the new machine to be set up. */
const REUSE_MS = 3_000;
const REQUEST_EVERY_MS = 40;
const WARM_MS = 3_000;
const AFTER_MS = 5_000;
const PHOTO = "p".repeat(4_000);

await runCase(new URL(".", import.meta.url).pathname, async ({ record, folder, track }) => {
  const store = new Store("127.0.0.1");
  await store.listen();
  track(() => store.close());
  store.write(
    "keyed.op",
    "config",
    manifest({ version: 7, routes: ROUTES, services: ["inspeccion", "bodega"] }),
  );
  const runs = [];
  const onRun = (run) => runs.push({ ...run, at: now() });
  const startMachine = async ({ name, zone, service }, addresses, id) => {
    const { host, app, control } = addresses;
    const storeAddress = `127.0.0.1:${store.port}`;
    const daemon = new Daemon({ name, zone, service, addresses, storeAddress, folder, record });
    daemon.start();
    const upstream = new Upstream({
      id,
      service,
      zone,
      host,
      port: app,
      control: `${host}:${control}`,
      record: record.write.bind(record),
      onRun,
    });
    await upstream.start();
    track(() => daemon.stop());
    track(() => upstream.crash());
    return { daemon, upstream };
  };
  const addresses = await Promise.all(
    MACHINES.map((_, index) => reserveAddresses(`127.0.0.${index + 11}`)),
  );
  const machines = await Promise.all(
    MACHINES.map((machine, index) => startMachine(machine, addresses[index], `i-first-${index}`)),
  );
  await waitUntilReady(machines.map(({ daemon }) => daemon));
  await waitUntil(() => machines.every(({ upstream }) => upstream.isAcked), {
    timeoutMs: 10_000,
    what: "all upstreams are registered",
  });
  await sleep(WARM_MS);
  const lost = 1;
  const clients = machines.filter((_, index) => index !== lost)
    .map(({ daemon }) => new Clients(daemon, record));
  track(() => clients.forEach((each) => each.close()));
  clients.forEach((each) => {
    each.run(REQUEST_EVERY_MS, () => ({ path: "/photos/1", method: "POST", body: PHOTO }));
    each.run(4 * REQUEST_EVERY_MS, () => ({ path: "/stock/1" }));
  });
  await sleep(WARM_MS);
  if (HAS_TROUBLE) {
    record.write("machine lost for good", { machine: MACHINES[lost].name });
    machines[lost].daemon.stop();
    machines[lost].upstream.crash();
    await sleep(REUSE_MS);
    record.write("its addresses go to another service", { service: "bodega" });
    const next = { name: "side-calderon-9", zone: "calderon", service: "bodega" };
    await startMachine(next, addresses[lost], "i-second");
  } else {
    await sleep(REUSE_MS);
  }
  await sleep(AFTER_MS);
  clients.forEach((each) => each.stop());
  await sleep(1_500);
  const requests = clients.flatMap((each) => each.requests);
  record.write("totals", { requests: requests.length, runs: runs.length });
  return runs.filter(({ path, service }) => SERVICE_OF[path.split("/")[1]] !== service)
    .map(({ id, path, service, upstream }) => {
      const { status, body } = requests.find((request) => request.id === id) ?? {};
      return `ROUTE: ${path} (request ${id}) ran at ${upstream} of service ${service}; ` +
        `its client got ${status} ${JSON.stringify(body)}`;
    });
});
