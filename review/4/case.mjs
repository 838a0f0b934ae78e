/**
 * The open connections to the store go silent, while new ones work; then the manifest changes.
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
import { SilencingProxy, Store } from "../lib/store.mjs";
import { now, sleep, waitUntil } from "../lib/tools.mjs";
import { Upstream } from "../lib/upstream.mjs";

const MACHINES = [
  { zone: "carapungo", service: "despacho" },
  { zone: "calderon", service: "despacho" },
  { zone: "pomasqui", service: "despacho" },
  { zone: "carapungo", service: "inspeccion" },
  { zone: "calderon", service: "inspeccion" },
];
const SERVICES = ["despacho", "inspeccion"];
/** The change drops /lots/ and adds /drums/. */
const KEPT = { prefix: "/quotes/", service: "despacho" };
const DROPPED = { prefix: "/lots/", service: "inspeccion" };
const ADDED = { prefix: "/drums/", service: "inspeccion" };
const MANIFEST_TOPIC = "keyed.op";
const SYSTEM_TOPIC = "keyed.bulrushwood";
/** Time from the renewal of the daemons' reads until their connections go silent, in milliseconds. */
const SILENT_AFTER_MS = 300;
/** Time from then until the operator's change, in milliseconds. */
const CHANGE_AFTER_MS = 200;
const REQUEST_EVERY_MS = 100;
const WARM_MS = 4_000;
const AFTER_MS = 9_000;

function nextRead(store, topic) {
  return new Promise((resolve) => {
    store.onRead = (read) => read === topic && resolve();
  });
}

await runCase(new URL(".", import.meta.url).pathname, async ({ record, folder, track }) => {
  const store = new Store("127.0.0.1");
  await store.listen();
  track(() => store.close());
  const proxy = new SilencingProxy();
  await proxy.listen("127.0.0.1", { host: "127.0.0.1", port: store.port });
  track(() => proxy.close());
  const write = (version, routes) =>
    store.write(MANIFEST_TOPIC, "config", manifest({ version, routes, services: SERVICES }));
  write(7, [KEPT, DROPPED]);
  const runs = new Map();
  const daemons = await Promise.all(MACHINES.map(async ({ zone, service }, index) => {
    const addresses = await reserveAddresses(`127.0.0.${index + 11}`);
    const { host, app, control } = addresses;
    const daemon = new Daemon({
      name: `side-${zone}-${index + 1}`,
      zone,
      service,
      addresses,
      storeAddress: `127.0.0.1:${proxy.port}`,
      folder,
      record,
    });
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
      onRun: ({ id, service: by }) => runs.set(id, by),
    });
    await upstream.start();
    track(() => upstream.crash());
    return daemon;
  }));
  await waitUntilReady(daemons);
  const clients = daemons.map((daemon) => new Clients(daemon, record));
  track(() => clients.forEach((each) => each.close()));
  await waitUntil(async () => {
    const answers = await Promise.all(
      clients.flatMap((each) => [each.send({ path: "/quotes/1" }), each.send({ path: "/lots/1" })]),
    );
    return answers.every(({ status }) => status === 200);
  }, { timeoutMs: 15_000, what: "both routes are served everywhere" });
  clients.forEach((each) =>
    [KEPT, DROPPED, ADDED].forEach(({ prefix }) =>
      each.run(REQUEST_EVERY_MS, () => ({ path: `${prefix}1` }))
    )
  );
  await sleep(WARM_MS);
  // The daemons renew their reads of the manifest every 10 s and of the system's topic every 4 s.
  await nextRead(store, MANIFEST_TOPIC);
  await nextRead(store, SYSTEM_TOPIC);
  await sleep(SILENT_AFTER_MS);
  const silentAt = now();
  if (HAS_TROUBLE) {
    record.write("open connections to the store go silent", { connections: proxy.silence() });
  }
  await sleep(CHANGE_AFTER_MS);
  const ackAt = write(8, [KEPT, ADDED]);
  record.write("manifest 8 is acknowledged");
  await sleep(AFTER_MS);
  clients.forEach((each) => each.stop());
  await sleep(1_500);
  // In touch again once the stable window has passed since the connections were lost.
  const inTouchAt = HAS_TROUBLE ? silentAt + BOUNDS.stable_window_ms : 0;
  const judgedFrom = Math.max(ackAt + BOUNDS.config_apply_ms, inTouchAt);
  const judged = clients.flatMap((each) => each.requests).filter(({ sentAt }) =>
    sentAt > judgedFrom
  );
  record.write("totals", { judged: judged.length });
  return judged.flatMap(({ id, daemon, path, sentAt, status }) => {
    const isDroppedRun = path.startsWith(DROPPED.prefix) && runs.has(id);
    const isAddedUnknown = path.startsWith(ADDED.prefix) && status === 404;
    if (!isDroppedRun && !isAddedUnknown) {
      return [];
    }
    const what = isDroppedRun ? `run by ${runs.get(id)} on a dropped route` : "refused with 404";
    return [
      `CONFIG: ${path} (request ${id}) sent to ${daemon} ${
        Math.round(sentAt - ackAt)
      } ms after the ` +
      `ack of version 8 and ${Math.round(sentAt - silentAt)} ms after the silence was ${what}`,
    ];
  });
});
