import { Buffer } from "node:buffer";
import { createServer, request, type Server } from "node:http";
import { connect } from "node:net";
import process from "node:process";
import { expect } from "chai";
import { Result } from "true-myth";
import {
  type Adapter,
  GrantDelivery,
  type GrantOrder,
  type GrantRows,
  type Manifest,
  type Order,
  type ReleaseOrder,
  RouteKind,
  type ServerReport,
  ServerState,
  type ServerWire,
} from "@bulrushwood/deployment";
import { type KeySpan, SYSTEM_TOPIC, without } from "@bulrushwood/ledger_store";
import { findFreePort, KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { Router } from "./mod.ts";

const HOST = "127.0.0.1";
const SERVICE = "despacho";
const KEYS = 65_536;
const START_MS_MAX = 15_000;
/** Bound for the transfer of a leaving server's keys; the same as after the loss of a server. */
const LEAVE_MS_MAX = 2_000;
const REPORT_EVERY_MS = 300;
/** A planned move may leave a key unserved for one report interval and this margin. */
const MOVE_MARGIN_MS = 100;
/** Time until the next report of a server that has keys to release. */
const REPORT_AGAIN_MS = 100;
/** Duration of grants in reports: two report intervals, the votes and the margins. */
const GRANT_MS = 2 * REPORT_EVERY_MS + 700;
const SERVICE_MS = 20;
/** Time in which daemons detect that the store is unreachable. */
const STORE_LOST_MS = 6_000;
/** Time for which a leaving daemon must serve; it has 6 s, part of which is reserved for its last requests. */
const SERVED_MS = 3_000;

/** Path of requests that end the server that runs them. */
const DEADLY_PATH = "/deadly";
/** Time in which a deadly request is sent again and again; several takeovers of its key. */
const DEADLY_MS = 12_000;
/** Time that a server takes to start again, in milliseconds. */
const RESTART_MS = 400;

/** Least time after a stop signal in which two readiness checks fail, which are a second apart. */
const CHECKS_FAILED_MS = 1_000;

/** Time of a request that ends after a stopping daemon has closed its listener. */
const LINGER_MS_MIN = 2_800;
const LONG_RESPONSE_BYTES = 4_000_000;

interface Holding {
  first: number;
  last: number;
  epoch: number;
  until: number;
}

interface Released {
  first: number;
  last: number;
  handover: string;
}

/** Returns the remaining parts of a holding without some keys. */
function remainderOf(holding: Holding, spans: KeySpan[]): Holding[] {
  return without(holding, spans).map((remainder) => ({ ...holding, ...remainder }));
}

/** A backend server that runs requests only for keys that it holds; it accepts both kinds of grant delivery. */
class FakeServer {
  readonly id: string;
  readonly ran: string[] = [];
  /** Number of times that a request has ended this server. */
  crashes = 0;
  /** Time that each request takes, in milliseconds. */
  serviceMs = SERVICE_MS;
  /** Bytes that are added to each response. */
  paddingBytes = 0;
  /** Number of reports that this incarnation has sent. */
  reports = 0;
  /** Epochs of the grants that this incarnation got. */
  grantedEpochs: number[] = [];
  port = 0;
  #bornMs = 1;
  #sequence = 0;
  #holdings: Holding[] = [];
  /** Keys of running requests. */
  readonly #runningKeys: number[] = [];
  /** Keys to release once no request runs for them. */
  #releasing: Holding[] = [];
  #released: Released[] = [];
  #reportTimer: NodeJS.Timeout | undefined;
  #hasStoppedReports = false;
  #server!: Server;

  constructor(id: string) {
    this.id = id;
  }

  async listen(): Promise<void> {
    this.port = await findFreePort();
    this.#server = createServer(async (incoming, response) => {
      const parts: Buffer[] = [];
      for await (const part of incoming) {
        parts.push(part as Buffer);
      }
      const body = Buffer.concat(parts).toString();
      if (incoming.url === "/health") {
        response.writeHead(200, { server: this.id }).end();
      } else if (incoming.url === "/grant") {
        this.#grant(JSON.parse(body));
        response.end();
      } else if (incoming.url === "/release") {
        this.#release(JSON.parse(body));
        response.writeHead(200, { handover: `from ${this.id}` }).end();
      } else if (incoming.url === DEADLY_PATH && this.holds(Number(incoming.headers.key))) {
        this.#crash();
      } else {
        await this.#run(String(incoming.headers.id), Number(incoming.headers.key), response);
      }
    });
    await new Promise<void>((resolve) => this.#server.listen(this.port, HOST, resolve));
  }

  #grant(order: GrantOrder): void {
    this.grantedEpochs.push(order.epoch);
    this.#release(order);
    this.#holdings.push({ ...order, until: now() + order.durationMs });
  }

  #release(span: ReleaseOrder): void {
    this.#holdings = this.#holdings.flatMap((holding) => remainderOf(holding, [span]));
  }

  /** Sends periodic reports to a daemon until `stopReports`, more often while keys are to be released. */
  report(endpoint: { host: string; port: number }): void {
    if (this.#hasStoppedReports) {
      return;
    }
    clearTimeout(this.#reportTimer);
    this.#releaseIdle();
    const reportMs = this.#releasing.length > 0 ? REPORT_AGAIN_MS : REPORT_EVERY_MS;
    this.#reportTimer = setTimeout(() => this.report(endpoint), reportMs);
    this.reports++;
    const [sentAt, bornMs, released] = [now(), this.#bornMs, this.#released];
    const call = request({ ...endpoint, method: "PUT", path: "/" }, async (response) => {
      const parts: Buffer[] = [];
      for await (const part of response) {
        parts.push(part as Buffer);
      }
      const body = Buffer.concat(parts).toString();
      if (response.statusCode === 200 && bornMs === this.#bornMs) {
        this.#released = this.#released.filter((span) => !released.includes(span));
        this.#applyGrants(body === "" ? undefined : JSON.parse(body), sentAt);
        if (this.#releasing.length > 0) {
          clearTimeout(this.#reportTimer);
          this.#reportTimer = setTimeout(() => this.report(endpoint), REPORT_AGAIN_MS);
        }
      }
    });
    call.on("error", () => {});
    call.end(JSON.stringify({
      id: this.id,
      bornMs,
      address: "",
      service: SERVICE,
      dataCentre: "",
      slots: 8,
      state: ServerState.Ready,
      sequence: this.#sequence++,
      coldMs: 0,
      held: [...this.#holdings.filter(({ until }) => until > now()), ...this.#releasing]
        .map(({ first, last, epoch }) => ({ first, last, epoch })),
      released,
    }));
  }

  #applyGrants(grants: GrantRows | undefined, sentAt: number): void {
    if (grants === undefined) {
      return;
    }
    const held = this.#holdings.filter(({ until }) => until > now());
    this.#releasing.push(...held.flatMap((holding) => remainderOf(holding, grants.rows)));
    this.#holdings = grants.rows.map((row) => ({ ...row, until: sentAt + grants.durationMs }));
    this.#releaseIdle();
  }

  #releaseIdle(): void {
    const isRunning = ({ first, last }: Holding) =>
      this.#runningKeys.some((key) => first <= key && key <= last);
    const free = this.#releasing.filter((holding) => !isRunning(holding));
    this.#releasing = this.#releasing.filter(isRunning);
    this.#released.push(
      ...free.map(({ first, last }) => ({ first, last, handover: `from ${this.id}` })),
    );
  }

  startReports(endpoint: { host: string; port: number }): void {
    this.#hasStoppedReports = false;
    this.report(endpoint);
  }

  stopReports(): void {
    this.#hasStoppedReports = true;
    clearTimeout(this.#reportTimer);
  }

  /** Starts a new incarnation that holds no keys. */
  restart(): void {
    this.#bornMs++;
    this.reports = 0;
    this.grantedEpochs = [];
    [this.#holdings, this.#releasing, this.#released] = [[], [], []];
  }

  /** Ends while requests run, and starts again a moment later. */
  #crash(): void {
    this.crashes++;
    this.crash(RESTART_MS);
  }

  /** Ends, and starts again after some time as a new incarnation with the same id. */
  crash(downMs: number): void {
    this.close();
    this.restart();
    setTimeout(() => this.#server.listen(this.port, HOST), downMs);
  }

  holds(key: number): boolean {
    return this.#grantedUntil(key) > now();
  }

  /** Returns the end of the grant for a key; in the past if there is none. */
  #grantedUntil(key: number): number {
    const ends = this.#holdings.filter(({ first, last }) => first <= key && key <= last)
      .map(({ until }) => until);
    return Math.max(Number.NEGATIVE_INFINITY, ...ends);
  }

  async #run(
    id: string,
    key: number,
    response: import("node:http").ServerResponse,
  ): Promise<void> {
    if (!this.holds(key)) {
      response.writeHead(421, { id, "not-run": "1" }).end();
      return;
    }
    this.ran.push(id);
    this.#runningKeys.push(key);
    // Work ends with the grant under which it began, whether that is renewed or not.
    const leftMs = this.#grantedUntil(key) - now();
    await sleep(Math.min(this.serviceMs, leftMs));
    this.#runningKeys.splice(this.#runningKeys.indexOf(key), 1);
    if (this.serviceMs > leftMs) {
      response.writeHead(500, { id, mark: this.id }).end();
      return;
    }
    response.writeHead(200, { id, mark: this.id }).end(
      `${key} by ${this.id}`.padEnd(this.paddingBytes),
    );
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

const MANIFEST: Manifest = {
  version: 1,
  routes: [{
    name: "book",
    host: "h",
    pathPrefix: "/",
    kind: RouteKind.Once,
    timeoutMs: 2_000,
    targetMs: 1_000,
    priority: 0,
    attemptsMax: 2,
    shares: [{ service: SERVICE, weight: 1 }],
  }, {
    name: "download",
    host: "h",
    pathPrefix: "/download/",
    kind: RouteKind.Once,
    timeoutMs: 4_000,
    targetMs: 1_000,
    priority: 0,
    attemptsMax: 2,
    shares: [{ service: SERVICE, weight: 1 }],
  }],
  services: new Map([[SERVICE, {
    name: SERVICE,
    healthPath: "/health",
    connectionsMax: 10,
    isKeyed: true,
  }]]),
  limits: { headerBytes: 1e4, bodyBytes: 1e6, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
};

const SERVERS = {
  requestHeaders: ({ id, key }: { id: string; key: number }) => ["id", id, "key", String(key)],
  readResponse: (status: number, headers: Record<string, string>) => ({
    id: headers.id,
    isNotRun: headers["not-run"] !== undefined,
    isMisdirected: status === 421,
    hasOriginMarker: headers.mark !== undefined,
    load: undefined,
    notice: { requestsPerSecond: undefined, isLeaving: false },
  }),
  grant: (order: GrantOrder) => toOrder("/grant", order),
  release: (order: ReleaseOrder) => toOrder("/release", order),
  readHandover: (headers: Record<string, string>) => headers.handover,
  readHealth: (headers: Record<string, string>) => headers.server,
  isOutdated: (status: number) => status === 409,
  reportResponse: (grants: GrantRows | undefined) => Buffer.from(JSON.stringify(grants) ?? ""),
  reportRowsMax: 89,
  readReport: (_method: string, _path: string, body: Buffer) => {
    const report = JSON.parse(body.toString()) as ServerReport;
    return Result.ok({ kind: "report", report });
  },
} as Partial<ServerWire> as ServerWire;

function toOrder(path: string, order: object): Order {
  return { method: "POST", path, headers: {}, body: Buffer.from(JSON.stringify(order)) };
}

function createAdapter(store: KeyedStoreService, isReachable: () => boolean): Adapter {
  return {
    settingsPath: () => undefined,
    readSettings: () => Result.err(new Error("not used")),
    openStore: () => store.connect(isReachable),
    manifestLocation: { topic: "manifest", key: "manifest" },
    readManifest: (value) => Result.ok({ ...MANIFEST, version: Number(value.toString()) }),
    callers: {
      readRequest: (headers) => ({
        id: headers.id as string,
        deadlineMs: Number(headers.deadline ?? 2_000),
        key: Number(headers.key),
      }),
      idHeader: "id",
      systemHeaders: new Set(["id", "key"]),
    },
    servers: SERVERS,
  };
}

interface Instance {
  metrics: { host: string; port: number };
  /** Where the server sends its reports. */
  reports: { host: string; port: number };
  router: Router;
  server: FakeServer;
  callers: number;
  /** Cuts the instance off from the store. */
  cutStore: () => void;
  stopReports: () => void;
}

async function startInstance(
  index: number,
  store: KeyedStoreService,
  grantDelivery: GrantDelivery,
): Promise<Instance> {
  const server = new FakeServer(`s${index}`);
  await server.listen();
  const ports = await Promise.all([1, 2, 3, 4, 5].map(() => findFreePort()));
  const [callers, ready, reports, peers, metrics] = ports.map((port) => ({ host: HOST, port }));
  let isCut = false;
  const router = await Router.start({
    adapter: createAdapter(store, () => !isCut),
    log: () => {},
    settings: {
      instance: `i${index}`,
      dataCentre: `dc${index}`,
      service: SERVICE,
      serverAddress: `${HOST}:${server.port}`,
      listen: { callers, ready, reports, peers },
      metrics,
      store: { endpoint: peers, recordBytes: 1e6 },
      memoryBytes: 350e6,
      socketsMax: 3_900,
      grantDelivery,
      reportEveryMs: REPORT_EVERY_MS,
      bounds: {
        drainMs: 2_000,
        shutdownMs: 6_000,
        grantMsMax: 10_000,
        retryShare: 0.2,
        retryExtra: 50,
        retryWindowMs: 10_000,
      },
    },
  });
  server.report(reports);
  const cutStore = () => isCut = true;
  const stopReports = () => server.stopReports();
  return { metrics, reports, router, server, callers: callers.port, cutStore, stopReports };
}

let nextId = 0;

/** Sends a request for a key; resolves to status 0 if there is no response. */
function sendRequest(
  instance: Instance,
  key: number,
  path = "/x",
  options: { deadlineMs?: number } = {},
): Promise<{ id: string; status: number; body: string }> {
  const id = `r${nextId++}`;
  return new Promise((resolve) => {
    const call = request({
      host: HOST,
      port: instance.callers,
      path,
      headers: { host: "h", id, key: String(key), deadline: String(options.deadlineMs ?? 2_000) },
    }, (response) => {
      const parts: Buffer[] = [];
      response.on("data", (part: Buffer) => parts.push(part));
      response.on("end", () => {
        resolve({ id, status: response.statusCode ?? 0, body: Buffer.concat(parts).toString() });
      });
    });
    call.on("error", () => resolve({ id, status: 0, body: "" }));
    call.end();
  });
}

async function startThree(
  grantDelivery: GrantDelivery,
  store = new KeyedStoreService({ sleep }),
): Promise<Instance[]> {
  await store.connect().append("manifest", { key: "manifest", value: Buffer.from("1") }, {
    timeoutMs: 100,
  });
  const instances = await Promise.all(
    [0, 1, 2].map((index) => startInstance(index, store, grantDelivery)),
  );
  await waitUntilServed(instances, instances[0]);
  return instances;
}

const SOME_KEYS = [0, 9_000, 20_000, 33_000, 47_000, KEYS - 1];

/** Waits until all keys are held by one of the servers and requests for them succeed. */
async function waitUntilServed(owners: Instance[], ingress: Instance): Promise<void> {
  const until = now() + START_MS_MAX;
  const isServed = (key: number) => owners.some(({ server }) => server.holds(key));
  while (!SOME_KEYS.every(isServed)) {
    expect(now(), "all keys are served in time").to.be.below(until);
    await sleep(50);
  }
  for (const key of SOME_KEYS) {
    expect((await sendRequest(ingress, key)).status).to.equal(200);
  }
}

async function closeAll(instances: Instance[]): Promise<void> {
  instances.forEach(({ stopReports }) => stopReports());
  await Promise.all(instances.map(({ router }) => router.close()));
  instances.forEach(({ server }) => server.close());
}

for (const grantDelivery of Object.values(GrantDelivery)) {
  describe(`router: three instances, grants in ${grantDelivery}`, () => {
    it("serves each key at the one server that holds it, from any instance", async () => {
      const instances = await startThree(grantDelivery);
      for (const key of SOME_KEYS) {
        const holders = instances.filter(({ server }) => server.holds(key));
        expect(holders).to.have.length(1);
        for (const ingress of instances) {
          const { status, body } = await sendRequest(ingress, key);
          expect([status, body]).to.deep.equal([200, `${key} by ${holders[0].server.id}`]);
        }
      }
      await closeAll(instances);
    });

    it("reassigns the keys of a daemon that stops without notice", async () => {
      const instances = await startThree(grantDelivery);
      const [lost, ...others] = instances;
      lost.stopReports();
      await lost.router.close();
      await waitUntilServed(others, others[0]);
      await closeAll(others);
      lost.server.close();
    });

    it("transfers the keys of a daemon that leaves while it cannot reach the store", async () => {
      const instances = await startThree(grantDelivery);
      const [leaving, ...others] = instances;
      leaving.cutStore();
      const startedAt = now();
      const left = leaving.router.leave();
      await waitUntilServed(others, others[0]);
      expect(now() - startedAt, "as with a reachable store").to.be.below(LEAVE_MS_MAX);
      await left;
      await closeAll(instances);
    });

    it("serves the keys of a leaving daemon while no daemon can reach the store", async () => {
      const instances = await startThree(grantDelivery);
      const [leaving, ...others] = instances;
      instances.forEach(({ cutStore }) => cutStore());
      await sleep(STORE_LOST_MS);
      const key = SOME_KEYS.find((some) => leaving.server.holds(some))!;
      const left = leaving.router.leave();
      const until = now() + SERVED_MS;
      while (now() < until) {
        expect((await sendRequest(others[0], key)).status).to.equal(200);
      }
      await left;
      await closeAll(instances);
    });

    it("responds to every request while a daemon leaves, and runs none twice", async () => {
      const instances = await startThree(grantDelivery);
      const [leaving, ...others] = instances;
      const left = leaving.router.leave();
      const responses: { id: string; status: number }[] = [];
      const until = now() + 2_500;
      while (now() < until) {
        const key = Math.floor(Math.random() * KEYS);
        responses.push(...await Promise.all(others.map((ingress) => sendRequest(ingress, key))));
      }
      await left;
      const ranIds = instances.flatMap(({ server }) => server.ran);
      expect(new Set(ranIds).size).to.equal(ranIds.length);
      for (const { id, status } of responses) {
        expect([200, 503]).to.include(status);
        expect(ranIds.includes(id)).to.equal(status === 200);
      }
      const served = responses.filter(({ status }) => status === 200).length;
      expect(served / responses.length).to.be.above(0.9);
      await closeAll(instances);
    });
  });
}

/** Time within which keys of a lost server are served again, in milliseconds. */
const LOSS_MS_MAX = 2_000;
/** Work that takes longer than the shortest grants, in milliseconds. */
const LONG_WORK_MS = 2_500;
/** Timeout of the route for long work, in milliseconds. */
const LONG_TIMEOUT_MS = 4_000;
/** Number of requests for each key after which a server's work is known. */
const KNOWN_AFTER = 3;

/** Sends a request that takes long to each key at the same moment; returns the statuses. */
async function sendLong(ingress: Instance): Promise<number[]> {
  const options = { deadlineMs: LONG_TIMEOUT_MS };
  const responses = await Promise.all(
    SOME_KEYS.map((key) => sendRequest(ingress, key, "/download/", options)),
  );
  return responses.map(({ status }) => status);
}

/** Sends requests that take long until one succeeds, so that the owner of the key knows how long work takes. */
async function serveLongWork(ingress: Instance, key: number): Promise<void> {
  const until = now() + START_MS_MAX;
  const options = { deadlineMs: LONG_TIMEOUT_MS };
  while ((await sendRequest(ingress, key, "/download/", options)).status !== 200) {
    expect(now(), "long work is served in time").to.be.below(until);
  }
}

for (const grantDelivery of Object.values(GrantDelivery)) {
  describe(`router: work that outlasts the shortest grants, grants in ${grantDelivery}`, () => {
    // Guards against servers that fail long work at the end of the grant under which it began.
    it("ends with the server's response once it is known how long work takes", async () => {
      const instances = await startThree(grantDelivery);
      instances.forEach(({ server }) => server.serviceMs = LONG_WORK_MS);
      for (let round = 0; round < KNOWN_AFTER; round++) {
        await sendLong(instances[0]);
      }
      const statuses: number[] = [];
      for (let round = 0; round < KNOWN_AFTER; round++) {
        statuses.push(...await sendLong(instances[round]));
      }
      expect(statuses.filter((status) => status !== 200)).to.deep.equal([]);
      await closeAll(instances);
    });
  });
}

/** Starts three instances, one of which owns a key and knows that work for it takes long; its server reports no more. */
async function startWithLongWork() {
  const instances = await startThree(GrantDelivery.Orders);
  const key = SOME_KEYS[0];
  const owner = instances.find(({ server }) => server.holds(key))!;
  const others = instances.filter((instance) => instance !== owner);
  owner.server.serviceMs = LONG_WORK_MS;
  await serveLongWork(others[0], key);
  owner.stopReports();
  return { instances, key, owner, others };
}

/** Returns the time until one of the instances holds a key, in milliseconds. */
async function msUntilHeld(instances: Instance[], key: number): Promise<number> {
  const startedAt = now();
  while (!instances.some(({ server }) => server.holds(key)) && now() < startedAt + START_MS_MAX) {
    await sleep(20);
  }
  return now() - startedAt;
}

describe("router: a server that ends while its grants last long", () => {
  // Guards against keys that wait for the end of long grants although their server's process has ended.
  it("leaves its keys to others within two seconds", async () => {
    const { instances, key, owner, others } = await startWithLongWork();
    owner.server.close();
    const lossMs = await msUntilHeld(others, key);
    await closeAll(instances);
    expect(lossMs, "time until another server has the key").to.be.below(LOSS_MS_MAX);
  });
});

describe("router: a daemon that ends without notice beside a server with long work", () => {
  // Guards against keys that wait for the end of long grants which nobody can ask the server to release.
  it("leaves its keys to others within two seconds", async () => {
    const { key, owner, others } = await startWithLongWork();
    await owner.router.close();
    const lossMs = await msUntilHeld(others, key);
    await closeAll(others);
    owner.server.close();
    expect(lossMs, "time until another server has the key").to.be.below(LOSS_MS_MAX);
  });
});

/** Sends requests for a key one by one until `over`; returns the longest time between two successes. */
async function longestGap(ingress: Instance, key: number, over: Promise<unknown>): Promise<number> {
  let isOver = false;
  over.then(() => isOver = true);
  let [servedAt, longest] = [now(), 0];
  while (!isOver) {
    if ((await sendRequest(ingress, key)).status === 200) {
      longest = Math.max(longest, now() - servedAt);
      servedAt = now();
    }
  }
  return longest;
}

/** Opens a connection; the returned function sends a request on it and resolves to the status, 0 for none. */
async function openConnection(instance: Instance, key: number) {
  const socket = connect(instance.callers, HOST);
  await new Promise((resolve) => socket.once("connect", resolve));
  return (id: string) => {
    socket.write(`GET /x HTTP/1.1\r\nhost: h\r\nid: ${id}\r\nkey: ${key}\r\n\r\n`);
    return new Promise<number>((resolve) => {
      socket.once("data", (head) => resolve(Number(head.toString().split(" ")[1])));
      socket.once("error", () => resolve(0));
      socket.once("close", () => resolve(0));
    });
  };
}

describe("router: planned stop", () => {
  /** Stops an ingress and sends it a request at some time after the signal, for a server of another instance. */
  async function requestDuringStop(options: { afterMs: number; serviceMs: number }) {
    const instances = await startThree(GrantDelivery.Orders);
    const key = SOME_KEYS[0];
    const owner = instances.find(({ server }) => server.holds(key))!;
    const ingress = instances.find((instance) => instance !== owner)!;
    owner.server.serviceMs = options.serviceMs;
    await serveLongWork(ingress, key);
    const send = await openConnection(ingress, key);
    // The process exits at the end of a graceful stop.
    const stopped = ingress.router.leave().then(() => ingress.router.close());
    await sleep(options.afterMs);
    const status = await send("late");
    await stopped;
    const hasRun = owner.server.ran.includes("late");
    await closeAll(instances);
    return { status, hasRun };
  }

  it("responds to requests that still run at the servers of other instances", async () => {
    expect(await requestDuringStop({ afterMs: 2_400, serviceMs: 1_800 }))
      .to.deep.equal({ status: 200, hasRun: true });
  });

  // Guards against an exit while the response to a forwarded request is being sent.
  it("sends the long response to a request that another instance forwarded as a whole", async () => {
    const instances = await startThree(GrantDelivery.Orders);
    const key = SOME_KEYS[0];
    const owner = instances.find(({ server }) => server.holds(key))!;
    const ingress = instances.find((instance) => instance !== owner)!;
    owner.server.serviceMs = LINGER_MS_MIN;
    await serveLongWork(ingress, key);
    owner.server.paddingBytes = LONG_RESPONSE_BYTES;
    const headers = { host: "h", id: "long", key: String(key), deadline: "4000" };
    const endpoint = { host: HOST, port: ingress.callers, path: "/download/" };
    const responded = new Promise<number>((resolve) => {
      const call = request({ ...endpoint, headers }, (response) => {
        let bytes = 0;
        response.on("data", (part: Buffer) => bytes += part.length);
        response.on("error", () => {}).on("close", () => resolve(bytes));
      });
      call.on("error", () => resolve(0)).end();
    });
    await sleep(100);
    await owner.router.leave().then(() => owner.router.close());
    expect(await responded).to.equal(LONG_RESPONSE_BYTES);
    await closeAll(instances);
  });

  // Guards against servers that stand idle while their daemons wait for readiness checks to fail.
  it("serves its own keys until readiness checks have failed, and hands them over before it ends", async () => {
    const instances = await startThree(GrantDelivery.Orders);
    const key = SOME_KEYS[0];
    const owner = instances.find(({ server }) => server.holds(key))!;
    const others = instances.filter((instance) => instance !== owner);
    const left = owner.router.leave();
    const until = now() + CHECKS_FAILED_MS;
    while (now() < until) {
      expect((await sendRequest(others[0], key)).status).to.equal(200);
      expect(owner.server.holds(key)).to.equal(true);
      await sleep(20);
    }
    await left;
    expect(others.some(({ server }) => server.holds(key))).to.equal(true);
    await closeAll(instances);
  });

  it("rejects at once a request whose deadline is after the end", async () => {
    expect(await requestDuringStop({ afterMs: 3_600, serviceMs: 1_900 }))
      .to.deep.equal({ status: 503, hasRun: false });
  });
});

describe("router: speed of grants in reports", () => {
  it("moves a key with a gap of at most one report interval and a margin", async () => {
    const instances = await startThree(GrantDelivery.Reports);
    const key = SOME_KEYS[0];
    const owner = instances.find(({ server }) => server.holds(key))!;
    const [ingress] = instances.filter((instance) => instance !== owner);
    const left = owner.router.leave();
    const gap = await longestGap(ingress, key, Promise.race([left, sleep(2_500)]));
    expect(instances.some(({ server }) => server !== owner.server && server.holds(key))).to.equal(
      true,
    );
    expect(gap - SERVICE_MS).to.be.below(REPORT_EVERY_MS + MOVE_MARGIN_MS);
    await left;
    await closeAll(instances);
  });

  it("serves a lost server's keys within two seconds after its grants have expired", async () => {
    const instances = await startThree(GrantDelivery.Reports);
    const key = SOME_KEYS[0];
    const lost = instances.find(({ server }) => server.holds(key))!;
    const others = instances.filter((instance) => instance !== lost);
    lost.stopReports();
    lost.server.close();
    await lost.router.close();
    const startedAt = now();
    await waitUntilServed(others, others[0]);
    expect(now() - startedAt).to.be.below(2_000 + GRANT_MS);
    await closeAll(others);
  });

  it("grants a restarted server its keys by its second report", async () => {
    const instances = await startThree(GrantDelivery.Reports);
    const key = SOME_KEYS[0];
    const { server } = instances.find((instance) => instance.server.holds(key))!;
    server.restart();
    while (!server.holds(key)) {
      expect(server.reports).to.be.at.most(2);
      await sleep(5);
    }
    await closeAll(instances);
  });
});

describe("router: a request that ends each server that runs it", () => {
  it("ends no more than three servers, however often it comes under new ids", async () => {
    const instances = await startThree(GrantDelivery.Orders);
    const until = now() + DEADLY_MS;
    const statuses: number[] = [];
    for (let sent = 0; now() < until; sent++) {
      const ingress = instances[sent % instances.length];
      statuses.push((await sendRequest(ingress, SOME_KEYS[0], DEADLY_PATH)).status);
      await sleep(50);
    }
    await waitUntilServed(instances, instances[0]);
    const crashes = instances.reduce((sum, { server }) => sum + server.crashes, 0);
    expect(crashes).to.be.within(1, 3);
    expect(statuses.at(-1)).to.equal(503);
    await closeAll(instances);
  });
});

describe("router: records that another writer left in the store", () => {
  const member = {
    address: "10.0.0.9:7000",
    incarnation: "i",
    service: SERVICE,
    dataCentre: "a",
    instance: "x",
  };
  const nested = "[".repeat(100_000) + "]".repeat(100_000);
  const records: [string, string][] = [
    ["member/port", JSON.stringify({ ...member, address: "10.0.0.9:99999" })],
    ["member/empty", JSON.stringify({ ...member, address: "" })],
    ["member/nested", nested],
    ["member/number", JSON.stringify(member).replace('"i"', "1e999")],
    [`table/${SERVICE}`, nested],
    ["table/other", ""],
    ["left/10.0.0.9:7000", nested],
    ["unknown", "1"],
  ];

  it("end no daemon, and keys are served, whether they are read at the start or later", async () => {
    const rejections: unknown[] = [];
    const recordRejection = (reason: unknown) => rejections.push(reason);
    process.on("unhandledRejection", recordRejection);
    const store = new KeyedStoreService({ sleep });
    const append = async () => {
      for (const [key, text] of records) {
        const item = { key, value: Buffer.from(text) };
        await store.connect().append(SYSTEM_TOPIC, item, { timeoutMs: 100 });
      }
    };
    await append();
    const instances = await startThree(GrantDelivery.Orders, store);
    await append();
    // The heartbeats to all members that were read begin within this time.
    await sleep(1_000);
    for (const key of SOME_KEYS) {
      expect((await sendRequest(instances[0], key)).status).to.equal(200);
    }
    await closeAll(instances);
    process.off("unhandledRejection", recordRejection);
    expect(rejections).to.deep.equal([]);
  });
});

/** Time after the start until nothing is written to the store any more. */
const QUIET_AFTER_MS = 7_000;
/** Longest wait of a read of the store; the time in question is twice as long. */
const READ_WAIT_MS = 4_000;
/** The same at the daemons that notice soon when they have no response. */
const READER_WAIT_MS = 1_500;

async function readMetric({ metrics }: Instance, name: string): Promise<number> {
  const page = await fetch(`http://${metrics.host}:${metrics.port}/metrics`);
  const line = (await page.text()).split("\n").find((text) => text.startsWith(`${name} `));
  return Number(line?.split(" ")[1]);
}

describe("router: quiet deployment", () => {
  it("does not take a store for lost, and stop planning, when nothing is written for some seconds", async () => {
    const instances = await startThree(GrantDelivery.Orders);
    await sleep(QUIET_AFTER_MS);
    const until = now() + 2 * READ_WAIT_MS;
    const reachable: number[] = [];
    while (now() < until) {
      reachable.push(await readMetric(instances[0], "bulrushwood_store_reachable"));
      await sleep(200);
    }
    expect(reachable.filter((value) => value !== 1), "samples without the store").to.deep.equal([]);
    await closeAll(instances);
  });
});

/** Time in which reads of a quiet store are counted, in milliseconds. */
const COUNTED_MS = 9_000;
const READS_METRIC = 'bulrushwood_store_calls_total{call="read"}';

describe("router: reads of a quiet store", () => {
  // Guards against calls to the store that grow with the number of daemons while nothing changes.
  it("are few but at the two daemons that notice soon when they have no response", async () => {
    const instances = await startThree(GrantDelivery.Orders);
    await sleep(QUIET_AFTER_MS);
    const countReads = () =>
      Promise.all(instances.map((instance) => readMetric(instance, READS_METRIC)));
    const before = await countReads();
    await sleep(COUNTED_MS);
    const after = await countReads();
    const reads = after.map((count, index) => count - before[index]).sort((one, other) =>
      one - other
    );
    // Each daemon reads two topics.
    expect(reads[0]).to.be.at.most(2 * (COUNTED_MS / READ_WAIT_MS + 1));
    expect(reads[1]).to.be.at.least(2 * (COUNTED_MS / READER_WAIT_MS - 1));
    await closeAll(instances);
  });
});

/** Time for which a crashed server is down, in milliseconds; shorter than the time between two reports. */
const CRASHED_MS = 40;
/** Time until the next incarnation reports, in milliseconds; the server does not count as lost by then. */
const LATE_REPORT_MS = 400;

describe("router: a server that starts again at its address", () => {
  // Guards against grants for a crashed server that the next one at its address takes with the same epochs.
  it("gets no grant with an epoch that an earlier incarnation had", async () => {
    const instances = await startThree(GrantDelivery.Orders);
    const [{ server, reports }] = instances;
    for (let crash = 0; crash < 5; crash++) {
      const before = Math.max(...server.grantedEpochs);
      server.stopReports();
      server.crash(CRASHED_MS);
      await sleep(LATE_REPORT_MS);
      expect(server.grantedEpochs, "grants before the first report").to.deep.equal([]);
      server.startReports(reports);
      const until = now() + START_MS_MAX;
      while (server.grantedEpochs.length === 0) {
        expect(now(), "the new incarnation gets keys").to.be.below(until);
        await sleep(20);
      }
      expect(Math.min(...server.grantedEpochs)).to.be.above(before);
      await sleep(500);
    }
    await closeAll(instances);
  });
});

/** Time in which a changed manifest must be in force, in milliseconds. */
const APPLY_MS_MAX = 2_000;
/** Time after a disruption of connections from which on bounds hold again, in milliseconds. */
const STABLE_MS = 3_000;

describe("router: connections to the store that go silent", () => {
  // Guards against instances that act on an old manifest until the time-outs of their reads have passed.
  it("do not delay a manifest beyond the time for connections to be replaced", async () => {
    const store = new KeyedStoreService({ sleep });
    const instances = await startThree(GrantDelivery.Orders, store);
    const applied = async (version: number) => {
      const versions = await Promise.all(
        instances.map((instance) => readMetric(instance, "bulrushwood_manifest_version")),
      );
      return versions.every((value) => value === version);
    };
    // The silence begins at different moments of the reads.
    for (const [index, quietMs] of [600, 1_100, 1_700].entries()) {
      await sleep(quietMs);
      store.silence();
      const silentAt = now();
      await sleep(200);
      const item = { key: "manifest", value: Buffer.from(String(index + 2)) };
      await store.connect().append("manifest", item, { timeoutMs: 100 });
      const inForceBy = Math.max(now() + APPLY_MS_MAX, silentAt + STABLE_MS);
      while (!(await applied(index + 2))) {
        expect(now(), "time until the manifest is in force").to.be.below(inForceBy);
        await sleep(50);
      }
    }
    await closeAll(instances);
  });
});

/** Time in which daemons write to the store again what it lost, and enter the ownership table; a restart takes longer. */
const RECOVERY_MS = 2_500;

describe("router: a store that comes back from an older copy", () => {
  // Guards against owners of before a hand-over that become owners again: their keys would be held by two servers, or
  // later hand-overs fail and leave keys without an owner.
  it("leaves the owners of keys as they are, and later hand-overs working", async () => {
    const store = new KeyedStoreService({ sleep });
    const [first, second, third] = await startThree(GrantDelivery.Orders, store);
    const copy = store.copy();
    first.stopReports();
    await first.router.leave();
    await first.router.close();
    const owners = [second, third];
    await waitUntilServed(owners, second);
    store.isDown = true;
    await sleep(300);
    store.restore(copy, { rewritten: ["manifest"] });
    store.isDown = false;
    const until = now() + RECOVERY_MS;
    while (now() < until) {
      for (const key of SOME_KEYS) {
        expect(owners.filter(({ server }) => server.holds(key)), "holders").to.have.length(1);
      }
      await sleep(20);
    }
    const started = await startInstance(3, store, GrantDelivery.Orders);
    await sleep(RECOVERY_MS);
    second.stopReports();
    await second.router.leave();
    await waitUntilServed([third, started], third);
    expect(await readMetric(third, "bulrushwood_store_eras_total")).to.equal(1);
    await closeAll([second, third, started]);
    first.server.close();
  });
});
