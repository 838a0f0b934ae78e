import { Buffer } from "node:buffer";
import { createServer, request, type Server } from "node:http";
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
import { type KeySpan, without } from "@bulrushwood/ledger_store";
import { findFreePort, KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { Router } from "./mod.ts";

const HOST = "127.0.0.1";
const SERVICE = "despacho";
const KEYS = 65_536;
const START_MS_MAX = 15_000;
/** A key is served again within this after its server is lost, so also when it leaves. */
const LEAVE_MS_MAX = 2_000;
const REPORT_EVERY_MS = 300;
/** A planned move leaves a key unserved for a report's period and this at most. */
const MOVE_MARGIN_MS = 100;
/** A server that must say more reports again so soon. */
const REPORT_AGAIN_MS = 100;
/** How long grants in reports run: two reports and what votes and margins take. */
const GRANT_MS = 2 * REPORT_EVERY_MS + 700;
const SERVICE_MS = 20;
/** Time in which daemons notice that the store is out of reach. */
const STORE_LOST_MS = 6_000;
/** A daemon that leaves has 6 s and keeps some of it for its last requests. */
const SERVED_MS = 3_000;

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

/** What is left of a holding without some keys. */
function restOf(holding: Holding, spans: KeySpan[]): Holding[] {
  return without(holding, spans).map((rest) => ({ ...holding, ...rest }));
}

/** A backend server that runs requests only for keys that it holds; it takes grants in both ways. */
class FakeServer {
  readonly id: string;
  readonly ran: string[] = [];
  /** Reports that this life of the server has sent. */
  reports = 0;
  port = 0;
  #bornMs = 1;
  #sequence = 0;
  #holdings: Holding[] = [];
  /** Keys of requests that run. */
  readonly #working: number[] = [];
  /** Keys that are to be let go once no request runs for them. */
  #leaving: Holding[] = [];
  #released: Released[] = [];
  #reportTimer: NodeJS.Timeout | undefined;
  #isSilent = false;
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

  #release(span: ReleaseOrder): void {
    this.#holdings = this.#holdings.flatMap((holding) => restOf(holding, [span]));
  }

  /** Reports to a daemon, regularly and sooner where keys are still to be let go, until `stopReports`. */
  report(endpoint: { host: string; port: number }): void {
    if (this.#isSilent) {
      return;
    }
    clearTimeout(this.#reportTimer);
    this.#letGo();
    const reportMs = this.#leaving.length > 0 ? REPORT_AGAIN_MS : REPORT_EVERY_MS;
    this.#reportTimer = setTimeout(() => this.report(endpoint), reportMs);
    this.reports++;
    const [sentAt, bornMs, released] = [now(), this.#bornMs, this.#released];
    const call = request({ ...endpoint, method: "PUT", path: "/" }, async (answer) => {
      const parts: Buffer[] = [];
      for await (const part of answer) {
        parts.push(part as Buffer);
      }
      const body = Buffer.concat(parts).toString();
      if (answer.statusCode === 200 && bornMs === this.#bornMs) {
        this.#released = this.#released.filter((span) => !released.includes(span));
        this.#takeAnswer(body === "" ? undefined : JSON.parse(body), sentAt);
        if (this.#leaving.length > 0) {
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
      held: [...this.#holdings.filter(({ until }) => until > now()), ...this.#leaving]
        .map(({ first, last, epoch }) => ({ first, last, epoch })),
      released,
    }));
  }

  #takeAnswer(grants: GrantRows | undefined, sentAt: number): void {
    if (grants === undefined) {
      return;
    }
    const held = this.#holdings.filter(({ until }) => until > now());
    this.#leaving.push(...held.flatMap((holding) => restOf(holding, grants.rows)));
    this.#holdings = grants.rows.map((row) => ({ ...row, until: sentAt + grants.durationMs }));
    this.#letGo();
  }

  #letGo(): void {
    const isWorking = ({ first, last }: Holding) =>
      this.#working.some((key) => first <= key && key <= last);
    const free = this.#leaving.filter((holding) => !isWorking(holding));
    this.#leaving = this.#leaving.filter(isWorking);
    this.#released.push(
      ...free.map(({ first, last }) => ({ first, last, handover: `from ${this.id}` })),
    );
  }

  stopReports(): void {
    this.#isSilent = true;
    clearTimeout(this.#reportTimer);
  }

  /** Begins a new life that holds nothing. */
  startAnew(): void {
    this.#bornMs++;
    this.reports = 0;
    [this.#holdings, this.#leaving, this.#released] = [[], [], []];
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
    this.#working.push(key);
    await sleep(SERVICE_MS);
    this.#working.splice(this.#working.indexOf(key), 1);
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
  reportAnswer: (grants: GrantRows | undefined) => Buffer.from(JSON.stringify(grants) ?? ""),
  reportRowsMax: 89,
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

async function startThree(grantDelivery: GrantDelivery): Promise<Instance[]> {
  const store = new KeyedStoreService({ sleep });
  await store.connect().append("manifest", { key: "manifest", value: Buffer.from("1") }, {
    timeoutMs: 100,
  });
  const instances = await Promise.all(
    [0, 1, 2].map((index) => startInstance(index, store, grantDelivery)),
  );
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

for (const grantDelivery of Object.values(GrantDelivery)) {
  describe(`router: three instances, grants in ${grantDelivery}`, () => {
    it("serve each key by the one server that holds it, from any instance", async () => {
      const instances = await startThree(grantDelivery);
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
      const instances = await startThree(grantDelivery);
      const [lost, ...others] = instances;
      lost.stopReports();
      await lost.router.close();
      await untilServed(others, others[0]);
      await closeAll(others);
      lost.server.close();
    });

    it("pass the keys of a daemon on that leaves while it is cut off from the store", async () => {
      const instances = await startThree(grantDelivery);
      const [leaving, ...others] = instances;
      leaving.cutStore();
      const startedAt = now();
      const left = leaving.router.leave();
      await untilServed(others, others[0]);
      expect(now() - startedAt, "as with the store in reach").to.be.below(LEAVE_MS_MAX);
      await left;
      await closeAll(instances);
    });

    it("serve the keys of one that leaves while none reaches the store", async () => {
      const instances = await startThree(grantDelivery);
      const [leaving, ...others] = instances;
      instances.forEach(({ cutStore }) => cutStore());
      await sleep(STORE_LOST_MS);
      const key = SOME_KEYS.find((some) => leaving.server.holds(some))!;
      const left = leaving.router.leave();
      const until = now() + SERVED_MS;
      while (now() < until) {
        expect((await ask(others[0], key)).status).to.equal(200);
      }
      await left;
      await closeAll(instances);
    });

    it("answer every request while one of them leaves, and run none twice", async () => {
      const instances = await startThree(grantDelivery);
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
}

/** The longest time between two answers to requests for a key that come one after the other, until `over`. */
async function longestGap(ingress: Instance, key: number, over: Promise<unknown>): Promise<number> {
  let isOver = false;
  over.then(() => isOver = true);
  let [servedAt, longest] = [now(), 0];
  while (!isOver) {
    if ((await ask(ingress, key)).status === 200) {
      longest = Math.max(longest, now() - servedAt);
      servedAt = now();
    }
  }
  return longest;
}

describe("router: speed of grants in reports", () => {
  it("moves a key with no gap longer than a report's period and a little", async () => {
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

  it("serves a lost server's keys within two seconds and what its grants must outlive", async () => {
    const instances = await startThree(GrantDelivery.Reports);
    const key = SOME_KEYS[0];
    const lost = instances.find(({ server }) => server.holds(key))!;
    const others = instances.filter((instance) => instance !== lost);
    lost.stopReports();
    lost.server.close();
    await lost.router.close();
    const startedAt = now();
    await untilServed(others, others[0]);
    expect(now() - startedAt).to.be.below(2_000 + GRANT_MS);
    await closeAll(others);
  });

  it("gives a server that starts anew its keys at its second report", async () => {
    const instances = await startThree(GrantDelivery.Reports);
    const key = SOME_KEYS[0];
    const { server } = instances.find((instance) => instance.server.holds(key))!;
    server.startAnew();
    while (!server.holds(key)) {
      expect(server.reports).to.be.at.most(2);
      await sleep(5);
    }
    await closeAll(instances);
  });
});
