/**
 * A deployment on loopback: the log stand-in, and for each instance a daemon and a backend server stand-in,
 * each a process of its own with an IP number of its own.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { AdminClient, type SystemStatus } from "@bulrushwood/admin";
import {
  type BackendControl,
  type LogControl,
  Network,
  type Work,
  WorkEnd,
} from "@bulrushwood/stand_ins";
import { sleep } from "@bulrushwood/types";
import { Process } from "./process.ts";

const STAND_IN = "dist/stand_in.cjs";
/** The daemons' program; another one is tried by `npm run prove`. */
const DEFAULT_PROGRAM = process.env.BULRUSHWOOD_PROGRAM ?? "dist/bulrushwood.cjs";
const READY_TIMEOUT_MS = 20_000;
const POLL_EVERY_MS = 20;

/** Ports that every instance uses, each on its own IP number. */
enum Port {
  Log = 5000,
  LogSeen = 5100,
  Backend = 3000,
  Announcements = 6000,
  Peers = 7000,
  PeersSeen = 7100,
  Callers = 8080,
  Admin = 9000,
}

/** One instance of a deployment. */
export interface InstanceOptions {
  name: string;
  dataCentre: string;
  region?: string;
  pool: string;
  slots?: number;
  connections?: number;
  checksGrants?: boolean;
  serviceMs?: number;
  coldStartMs?: number;
}

/** What a deployment consists of. */
export interface DeploymentOptions {
  instances: InstanceOptions[];
  /** Settings of every daemon beside those that name its addresses. */
  settings?: Record<string, unknown>;
  /** Further settings of the log's client in every daemon. */
  log?: Record<string, unknown>;
  /** The program of the daemons. */
  program?: string;
  retentionMs?: number;
  /** Whether peers reach each other through a network that can be cut. */
  hasNetwork?: boolean;
  /** Delay between two data centres in one direction, in milliseconds. */
  delayMs?: (from: string, to: string) => number;
  /** How many instances start at the same time; all of them when left out. */
  startsAtOnce?: number;
  /** Whether one process runs all backend servers; they can then not be stopped one by one. */
  sharesBackends?: boolean;
  /** Whether backend servers report each piece of work; costs time under load. */
  recordsWorks?: boolean;
}

interface RunningInstance {
  options: InstanceOptions;
  host: string;
  daemon: Process | undefined;
  backend: Process | undefined;
}

/** Work that a server ran, with the name of its instance. */
export interface RecordedWork extends Work {
  instance: string;
}

/** A deployment that runs. */
export class Deployment {
  readonly #options: DeploymentOptions;
  readonly #directory = mkdtempSync(join(tmpdir(), "bulrushwood-"));
  readonly #prefix = `127.${randomByte()}.${randomByte()}`;
  readonly #instances = new Map<string, RunningInstance>();
  readonly #works = new Map<string, RecordedWork>();
  #network: Network | undefined;
  #log: Process | undefined;
  #sharedBackends: Process | undefined;

  private constructor(options: DeploymentOptions) {
    this.#options = options;
    for (const [index, instance] of options.instances.entries()) {
      const host = `${this.#prefix}.${index + 10}`;
      const stopped = { daemon: undefined, backend: undefined };
      this.#instances.set(instance.name, { options: instance, host, ...stopped });
    }
  }

  /** Starts all processes; resolves once every daemon is ready. */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const deployment = new Deployment(options);
    try {
      await deployment.startLog();
      await deployment.#startNetwork();
      await deployment.#startSharedBackends();
      await deployment.#startInstances();
      return deployment;
    } catch (error) {
      await deployment.close();
      throw error;
    }
  }

  /** Starts all instances, a few at a time where that is asked for. */
  async #startInstances(): Promise<void> {
    const atOnce = this.#options.startsAtOnce ?? this.names.length;
    for (let place = 0; place < this.names.length; place += atOnce) {
      const names = this.names.slice(place, place + atOnce);
      await Promise.all(names.map((name) => this.startInstance(name)));
    }
  }

  /** Names of all instances. */
  get names(): string[] {
    return [...this.#instances.keys()];
  }

  /** The network between the daemons, where the deployment has one. */
  get network(): Network {
    return this.#network!;
  }

  /** Everything that any server ran, in the order of its beginning. */
  get works(): RecordedWork[] {
    return [...this.#works.values()].sort((left, right) => left.startedAt - right.startedAt);
  }

  /** IP number of the log. */
  get logHost(): string {
    return `${this.#prefix}.1`;
  }

  /** IP number of an instance. */
  hostOf(name: string): string {
    return this.#instance(name).host;
  }

  /** IP numbers of the instances of a data centre. */
  hostsIn(dataCentre: string): string[] {
    const instances = [...this.#instances.values()];
    const inside = instances.filter((instance) => instance.options.dataCentre === dataCentre);
    return inside.map((instance) => instance.host);
  }

  /** Where an instance takes callers' requests. */
  callerAddress(name: string): string {
    return `${this.hostOf(name)}:${Port.Callers}`;
  }

  /** Where an instance's administration API is. */
  adminAddress(name: string): string {
    return `${this.hostOf(name)}:${Port.Admin}`;
  }

  /** Where the backend server of an instance takes requests. */
  backendAddress(name: string): string {
    return `${this.hostOf(name)}:${Port.Backend}`;
  }

  /** Client of an instance's administration API. */
  admin(name: string): AdminClient {
    return new AdminClient(this.adminAddress(name));
  }

  /** The daemon's process of an instance. */
  daemon(name: string): Process {
    return this.#instance(name).daemon!;
  }

  /** The backend server's process of an instance. */
  backend(name: string): Process {
    return this.#instance(name).backend!;
  }

  #instance(name: string): RunningInstance {
    const instance = this.#instances.get(name);
    if (instance === undefined) {
      throw new Error(`The deployment has no instance ${name}`);
    }
    return instance;
  }

  /** Starts the log; what an earlier one kept is gone. */
  async startLog(): Promise<void> {
    const { retentionMs } = this.#options;
    const options = { host: `${this.#prefix}.1`, port: Port.Log, retentionMs };
    this.#log = await this.#startStandIn("log", options);
  }

  #startStandIn(
    kind: string,
    options: object,
    onLine: (line: string) => void = () => {},
  ): Promise<Process> {
    return new Promise((resolve, reject) => {
      const started = new Process({
        program: STAND_IN,
        args: [kind, JSON.stringify(options)],
        onLine: (line) => line === "ready" ? resolve(started) : onLine(line),
      });
      started.exited().then(() => {
        reject(new Error(`The stand-in ${kind} ended: ${started.errors.join("; ")}`));
      });
    });
  }

  async #startNetwork(): Promise<void> {
    if (!this.#options.hasNetwork) {
      return;
    }
    const instances = [...this.#instances.values()];
    const hosts = instances.map(({ host }) => ({
      host,
      seenPort: Port.PeersSeen,
      port: Port.Peers,
    }));
    hosts.push({ host: this.logHost, seenPort: Port.LogSeen, port: Port.Log });
    const centreOf = (host: string) =>
      instances.find((instance) => instance.host === host)?.options.dataCentre ?? "";
    const { delayMs = () => 0 } = this.#options;
    this.#network = await Network.start(hosts, {
      delayMs: (from, to) => delayMs(centreOf(from), centreOf(to)),
    });
  }

  /** Starts the backend server and the daemon of an instance. */
  async startInstance(name: string): Promise<void> {
    await this.startBackend(name);
    await this.startDaemon(name);
  }

  /** Starts the backend server of an instance. */
  async startBackend(name: string): Promise<void> {
    if (this.#options.sharesBackends) {
      return;
    }
    const settings = this.#backendSettings(name);
    this.#instance(name).backend = await this.#startStandIn("backend", settings, (line) => {
      this.#noteWork(name, JSON.parse(line) as Work);
    });
  }

  #backendSettings(name: string): object {
    const { options, host } = this.#instance(name);
    return {
      host,
      port: Port.Backend,
      daemon: `${host}:${Port.Announcements}`,
      pool: options.pool,
      slots: options.slots ?? 12,
      connections: options.connections ?? 110,
      checksGrants: options.checksGrants ?? true,
      serviceMs: options.serviceMs ?? 2,
      coldStartMs: options.coldStartMs,
      writesWorks: this.#options.recordsWorks ?? true,
    };
  }

  /** Starts one process for all backend servers, where many daemons are wanted on one machine. */
  async #startSharedBackends(): Promise<void> {
    if (this.#options.sharesBackends) {
      const settings = this.names.map((name) => this.#backendSettings(name));
      this.#sharedBackends = await this.#startStandIn("backends", settings);
    }
  }

  #noteWork(instance: string, work: Work): void {
    this.#works.set(`${instance} ${work.id}`, { ...work, instance });
  }

  #logUrl(): string {
    const port = this.#network === undefined ? Port.Log : Port.LogSeen;
    return `http://${this.logHost}:${port}`;
  }

  /** Writes the settings file of an instance's daemon; returns its path. */
  writeSettings(name: string): string {
    const { options, host } = this.#instance(name);
    const listen = {
      callers: `${host}:${Port.Callers}`,
      peers: `${host}:${Port.Peers}`,
      backend: `${host}:${Port.Announcements}`,
      admin: `${host}:${Port.Admin}`,
      ...(this.#network === undefined ? {} : { peersSeenAs: `${host}:${Port.PeersSeen}` }),
    };
    const settings = {
      instance: name,
      dataCentre: options.dataCentre,
      region: options.region ?? "region",
      listen,
      log: { url: this.#logUrl(), ...this.#options.log },
      ...this.#options.settings,
    };
    const path = join(this.#directory, `${name}.jsonc`);
    writeFileSync(path, `// Settings of ${name}\n${JSON.stringify(settings, undefined, 2)}\n`);
    return path;
  }

  /** Starts the daemon of an instance; resolves once it is ready, unless told not to wait. */
  async startDaemon(name: string, options: { waits?: boolean } = {}): Promise<void> {
    const instance = this.#instance(name);
    instance.daemon = new Process({
      program: this.#options.program ?? DEFAULT_PROGRAM,
      args: ["serve", this.writeSettings(name)],
    });
    if (options.waits ?? true) {
      await this.waitUntil(() => this.isReady(name), `${name} to be ready`, READY_TIMEOUT_MS);
    }
  }

  /** Whether a daemon serves callers. */
  async isReady(name: string): Promise<boolean> {
    return (await fetchStatus(`http://${this.adminAddress(name)}/readyz`)) === 200;
  }

  /** Sets the failures of the log. */
  async controlLog(control: LogControl): Promise<void> {
    await postJson(`http://${this.#prefix}.1:${Port.Log}/control`, control);
  }

  /** Appends a record to the log as any client of the platform could. */
  async appendToLog(body: string): Promise<void> {
    await postText(`http://${this.#prefix}.1:${Port.Log}/records`, body);
  }

  /** Sets the failures of a backend server. */
  async controlBackend(name: string, control: BackendControl): Promise<void> {
    await postJson(`http://${this.backendAddress(name)}/control`, control);
  }

  /** Ends an instance at once: its daemon and its backend server. */
  async killInstance(name: string): Promise<void> {
    const { daemon, backend } = this.#instance(name);
    await Promise.all([daemon?.kill(), backend?.kill()]);
  }

  /** State of the system as one daemon gathers it. */
  async status(name: string): Promise<SystemStatus> {
    const status = await this.admin(name).status();
    if (status.isErr) {
      throw status.error;
    }
    return status.value;
  }

  /** Publishes a configuration through an instance, and waits until every daemon has it. */
  async publish(name: string, configuration: unknown, expects: number): Promise<number> {
    const admin = this.admin(name);
    const published = await admin.publish({ expects, by: "test", configuration });
    if (published.isErr) {
      throw published.error;
    }
    const { version } = published.value;
    await this.waitUntil(async () => {
      const force = await admin.force();
      return force.isOk && force.value.daemons.every((daemon) => daemon.version >= version);
    }, `version ${version} to be in force`);
    return version;
  }

  /** Waits until every shard of every keyed pool has an owner and nothing moves. */
  async settle(name: string, options: { timeoutMs?: number } = {}): Promise<void> {
    let seen = "no status";
    const check = async () => {
      const status = await this.admin(name).status();
      seen = status.isOk ? describeProgress(status.value) : status.error.message;
      return status.isOk && isSettled(status.value);
    };
    await this.waitUntil(check, "placement to settle", options.timeoutMs).catch((error) => {
      throw new Error(`${error.message}; last seen: ${seen}`);
    });
  }

  /** Waits for a condition; fails when it does not come in time. */
  async waitUntil(
    condition: () => Promise<boolean> | boolean,
    what: string,
    timeoutMs = 15_000,
  ): Promise<void> {
    const until = performance.now() + timeoutMs;
    while (!(await condition())) {
      if (performance.now() > until) {
        throw new Error(`Waited in vain for ${what}`);
      }
      await sleep(POLL_EVERY_MS);
    }
  }

  /** Log lines of a daemon. */
  logOf(name: string): string[] {
    return this.#instance(name).daemon?.errors ?? [];
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    const instances = [...this.#instances.values()];
    await Promise.all(instances.map(({ options }) => this.killInstance(options.name)));
    await this.#sharedBackends?.kill();
    await this.#log?.kill();
    this.#network?.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Work that was not over when the deployment was looked at. */
  get unfinished(): RecordedWork[] {
    return this.works.filter((work) => work.end === WorkEnd.Running);
  }
}

/** What a reader needs to know of a placement that does not settle. */
function describeProgress(status: SystemStatus): string {
  const daemons = status.daemons.map(({ instance, leases, ...rest }) => {
    const { folded, incarnation, logReachable, shardsHeld, groupsHeld } = rest;
    const notHeld = leases.filter(({ shards, heldMs }) => shards > 0 && heldMs === 0);
    const progress = { folded, incarnation, logReachable, shardsHeld, groupsHeld };
    return { instance, ...progress, notHeld: notHeld.length };
  });
  return JSON.stringify({ pools: status.pools, daemons, folded: status.folded });
}

function isSettled(status: SystemStatus): boolean {
  const keyed = status.pools.filter((pool) => pool.keyed);
  const shards = keyed.reduce((sum, pool) => sum + pool.shards, 0);
  const held = status.daemons.reduce((sum, daemon) => sum + daemon.shardsHeld, 0);
  const moving = keyed.some((pool) => pool.unassigned + pool.pendingMoves + pool.degraded > 0);
  return shards > 0 && shards === held && !moving;
}

function randomByte(): number {
  return 1 + Math.floor(Math.random() * 250);
}

function fetchStatus(url: string): Promise<number> {
  return new Promise((resolve) => {
    const call = request(url, { agent: false, timeout: 1_000 });
    call.on("response", (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    call.on("error", () => resolve(0));
    call.on("timeout", () => call.destroy());
    call.end();
  });
}

function postJson(url: string, document: object): Promise<void> {
  return postText(url, JSON.stringify(document));
}

function postText(url: string, body: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const call = request(url, { method: "POST", agent: false });
    call.on("response", (response) => {
      response.resume();
      response.on("end", () => resolve());
    });
    call.on("error", reject);
    call.end(body);
  });
}
