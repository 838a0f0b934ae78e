import { Buffer } from "node:buffer";
import { createServer, request, type Server } from "node:http";
import { expect } from "chai";
import { Result } from "true-myth";
import {
  type Adapter,
  GrantDelivery,
  type GrantOrder,
  type Manifest,
  type Order,
  type ReleaseOrder,
  RouteKind,
  type ServerReport,
  ServerState,
  type ServerWire,
} from "@bulrushwood/deployment";
import { findFreePort, KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { Router } from "./mod.ts";

const HOST = "127.0.0.1";
const SERVICE = "despacho";
const KEYS = 65_536;
const START_MS_MAX = 15_000;
/** A key is served again within this after its server is lost, so also when it leaves. */
const LEAVE_MS_MAX = 2_000;

/** A backend server that runs requests only for keys that it holds. */
class FakeServer {
  readonly id: string;
  readonly ran: string[] = [];
  port = 0;
  #holdings: (GrantOrder & { until: number })[] = [];
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
      if (incoming.url === "/grant") {
        this.#grant(JSON.parse(body));
        response.end();
      } else if (incoming.url === "/release") {
        this.#release(JSON.parse(body));
        response.writeHead(200, { handover: `from ${this.id}` }).end();
      } else {
        await this.#run(String(incoming.headers.id), Number(incoming.headers.key), response);
      }
    });
    await new Promise<void>((resolve) => this.#server.listen(this.port, HOST, resolve));
  }

  #grant(order: GrantOrder): void {
    this.#release(order);
    this.#holdings.push({ ...order, until: now() + order.durationMs });
  }

  #release({ first, last }: ReleaseOrder): void {
    this.#holdings = this.#holdings.flatMap((holding) =>
      [
        { ...holding, last: Math.min(holding.last, first - 1) },
        { ...holding, first: Math.max(holding.first, last + 1) },
      ].filter((rest) => rest.first <= rest.last)
    );
  }

  holds(key: number): boolean {
    return this.#holdings.some(({ first, last, until }) =>
      first <= key && key <= last && until > now()
    );
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
    await sleep(20);
    response.writeHead(200, { id, mark: this.id }).end(`${key} by ${this.id}`);
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
  readAnswer: (status: number, headers: Record<string, string>) => ({
    id: headers.id,
    isNotRun: headers["not-run"] !== undefined,
    isMisdirected: status === 421,
    isMarked: headers.mark !== undefined,
    load: undefined,
  }),
  grant: (order: GrantOrder) => toOrder("/grant", order),
  release: (order: ReleaseOrder) => toOrder("/release", order),
  readHandover: (headers: Record<string, string>) => headers.handover,
  isOutdated: (status: number) => status === 409,
  readReport: (_method: string, _path: string, body: Buffer) => {
    const report = JSON.parse(body.toString()) as ServerReport;
    return Result.ok({ kind: "report", report });
  },
} as unknown as ServerWire;

function toOrder(path: string, order: object): Order {
  return { method: "POST", path, headers: {}, body: Buffer.from(JSON.stringify(order)) };
}

function createAdapter(store: KeyedStoreService, isReachable: () => boolean): Adapter {
  return {
    settingsPath: () => undefined,
    readSettings: () => Result.err(new Error("not used")),
    openStore: () => store.connect(isReachable),
    manifestPlace: { topic: "manifest", key: "manifest" },
    readManifest: () => Result.ok(MANIFEST),
    callers: {
      readRequest: (headers) => ({
        id: headers.id as string,
        deadlineMs: 2_000,
        key: Number(headers.key),
      }),
      idHeader: "id",
      ownHeaders: new Set(["id", "key"]),
    },
    servers: SERVERS,
  };
}

interface Instance {
  router: Router;
  server: FakeServer;
  callers: number;
  /** Cuts the instance off from the store. */
  cutStore: () => void;
  stopReports: () => void;
}

async function startInstance(index: number, store: KeyedStoreService): Promise<Instance> {
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
      grantDelivery: GrantDelivery.Orders,
      reportEveryMs: 300,
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
  let sequence = 0;
  const report = () => {
    const body = {
      id: server.id,
      bornMs: 1,
      address: "",
      service: SERVICE,
      dataCentre: "",
      slots: 8,
      state: ServerState.Ready,
      sequence: sequence++,
      coldMs: 0,
    };
    const call = request({ ...reports, method: "PUT", path: "/" }, (answer) => answer.resume());
    call.on("error", () => {});
    call.end(JSON.stringify(body));
  };
  report();
  const timer = setInterval(report, 300);
  const cutStore = () => isCut = true;
  const stopReports = () => clearInterval(timer);
  return { router, server, callers: callers.port, cutStore, stopReports };
}

let nextId = 0;

/** Sends a request for a key; gives status and body. */
function ask(
  instance: Instance,
  key: number,
): Promise<{ id: string; status: number; body: string }> {
  const id = `r${nextId++}`;
  return new Promise((resolve) => {
    const call = request({
      host: HOST,
      port: instance.callers,
      path: "/x",
      headers: { host: "h", id, key: String(key) },
    }, (answer) => {
      const parts: Buffer[] = [];
      answer.on("data", (part: Buffer) => parts.push(part));
      answer.on("end", () => {
        resolve({ id, status: answer.statusCode ?? 0, body: Buffer.concat(parts).toString() });
      });
    });
    call.on("error", () => resolve({ id, status: 0, body: "" }));
    call.end();
  });
}

async function startThree(): Promise<Instance[]> {
  const store = new KeyedStoreService({ sleep });
  await store.connect().append("manifest", { key: "manifest", value: Buffer.from("1") }, {
    timeoutMs: 100,
  });
  const instances = await Promise.all([0, 1, 2].map((index) => startInstance(index, store)));
  await untilServed(instances, instances[0]);
  return instances;
}

const SOME_KEYS = [0, 9_000, 20_000, 33_000, 47_000, KEYS - 1];

/** Waits until all keys are served by one of some instances. */
async function untilServed(owners: Instance[], ingress: Instance): Promise<void> {
  const until = now() + START_MS_MAX;
  const isServed = (key: number) => owners.some(({ server }) => server.holds(key));
  while (!SOME_KEYS.every(isServed)) {
    expect(now(), "all keys are served in time").to.be.below(until);
    await sleep(50);
  }
  for (const key of SOME_KEYS) {
    expect((await ask(ingress, key)).status).to.equal(200);
  }
}

async function closeAll(instances: Instance[]): Promise<void> {
  instances.forEach(({ stopReports }) => stopReports());
  await Promise.all(instances.map(({ router }) => router.close()));
  instances.forEach(({ server }) => server.close());
}

describe("router: three instances", () => {
  it("serve each key by the one server that holds it, from any instance", async () => {
    const instances = await startThree();
    for (const key of SOME_KEYS) {
      const holders = instances.filter(({ server }) => server.holds(key));
      expect(holders).to.have.length(1);
      for (const ingress of instances) {
        const { status, body } = await ask(ingress, key);
        expect([status, body]).to.deep.equal([200, `${key} by ${holders[0].server.id}`]);
      }
    }
    await closeAll(instances);
  });

  it("pass the keys of a daemon on that ends without a word", async () => {
    const instances = await startThree();
    const [lost, ...others] = instances;
    lost.stopReports();
    await lost.router.close();
    await untilServed(others, others[0]);
    await closeAll(others);
    lost.server.close();
  });

  it("pass the keys of a daemon on that leaves while it is cut off from the store", async () => {
    const instances = await startThree();
    const [leaving, ...others] = instances;
    leaving.cutStore();
    const startedAt = now();
    const left = leaving.router.leave();
    await untilServed(others, others[0]);
    expect(now() - startedAt, "as with the store in reach").to.be.below(LEAVE_MS_MAX);
    await left;
    await closeAll(instances);
  });

  it("answer every request while one of them leaves, and run none twice", async () => {
    const instances = await startThree();
    const [leaving, ...others] = instances;
    const left = leaving.router.leave();
    const answers: { id: string; status: number }[] = [];
    const until = now() + 2_500;
    while (now() < until) {
      const key = Math.floor(Math.random() * KEYS);
      answers.push(...await Promise.all(others.map((ingress) => ask(ingress, key))));
    }
    await left;
    const ran = instances.flatMap(({ server }) => server.ran);
    expect(new Set(ran).size).to.equal(ran.length);
    for (const { id, status } of answers) {
      expect([200, 503]).to.include(status);
      expect(ran.includes(id)).to.equal(status === 200);
    }
    const served = answers.filter(({ status }) => status === 200).length;
    expect(served / answers.length).to.be.above(0.9);
    await closeAll(instances);
  });
});
