/**
 * Deployment on loopback: a stand-in for the log, and for each instance a daemon and a stand-in for its backend
 * server. Each of them is a separate process, and each instance and the log have their own IP address.
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
  WorkState,
} from "@bulrushwood/stand_ins";
import { sleep } from "@bulrushwood/types";
import { Process } from "./process.ts";

const STAND_IN = "dist/stand_in.cjs";
/** Program of the daemons; `npm run prove` passes a modified one. */
const DEFAULT_PROGRAM = process.env.BULRUSHWOOD_PROGRAM ?? "dist/bulrushwood.cjs";
/** Longest time for a daemon to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;
/** Time between two checks of a condition, in milliseconds. */
const POLL_EVERY_MS = 20;

/** Ports, the same on every IP address; the proxy ports belong to the network that can be cut. */
enum Port {
  Log = 5000,
  LogProxy = 5100,
  Backend = 3000,
  Announcements = 6000,
  Peers = 7000,
  PeersProxy = 7100,
  Callers = 8080,
  Admin = 9000,
}

/** Options of one instance. */
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

/** Options of a deployment. */
export interface DeploymentOptions {
  instances: InstanceOptions[];
  /** Settings of every daemon, except its name, location and addresses. */
  settings?: Record<string, unknown>;
  /** Settings of the log client in every daemon, except its URL. */
  log?: Record<string, unknown>;
  /** Path of the daemons' program. */
  program?: string;
  retentionMs?: number;
  /** Whether daemons reach each other and the log through a network that can be cut. */
  hasNetwork?: boolean;
  /** Returns the delay from one data centre to another, in milliseconds. */
  delayMs?: (from: string, to: string) => number;
  /** Number of instances that start at the same time; all by default. */
  startConcurrency?: number;
  /** Whether one process runs all backend servers, which then cannot be stopped separately. */
  sharesBackends?: boolean;
  /** Whether backend servers report each piece of work, which costs time under load; true by default. */
  recordsWork?: boolean;
}

/** Instance with its processes, each undefined until it is started. */
interface RunningInstance {
  options: InstanceOptions;
  host: string;
  daemon: Process | undefined;
  backend: Process | undefined;
}

/** Work that a backend server ran, with the name of its instance. */
export interface RecordedWork extends Work {
  instance: string;
}

/** Running deployment, with controls for its failures. */
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

  /** Starts all processes and waits until every daemon is ready. */
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

  /** Starts all instances, in batches where the options limit how many start at the same time. */
  async #startInstances(): Promise<void> {
    const batchSize = this.#options.startConcurrency ?? this.names.length;
    for (let index = 0; index < this.names.length; index += batchSize) {
      const names = this.names.slice(index, index + batchSize);
      await Promise.all(names.map((name) => this.startInstance(name)));
    }
  }

  /** Names of all instances, in the order of the options. */
  get names(): string[] {
    return [...this.#instances.keys()];
  }

  /** Network between daemons and to the log; only with the option `hasNetwork`. */
  get network(): Network {
    return this.#network!;
  }

  /** Work that all backend servers recorded, in order of start time. */
  get works(): RecordedWork[] {
    return [...this.#works.values()].sort((left, right) => left.startedAt - right.startedAt);
  }

  /** IP address of the log. */
  get logHost(): string {
    return `${this.#prefix}.1`;
  }

  /** Returns the IP address of an instance. */
  hostOf(name: string): string {
    return this.#instance(name).host;
  }

  /** Returns the IP addresses of the instances in a data centre. */
  hostsIn(dataCentre: string): string[] {
    const instances = [...this.#instances.values()];
    const inside = instances.filter((instance) => instance.options.dataCentre === dataCentre);
    return inside.map((instance) => instance.host);
  }

  /** Returns the address of an instance's listener for callers. */
  callerAddress(name: string): string {
    return `${this.hostOf(name)}:${Port.Callers}`;
  }

  /** Returns the address of an instance's administration API. */
  adminAddress(name: string): string {
    return `${this.hostOf(name)}:${Port.Admin}`;
  }

  /** Returns the address of an instance's backend server. */
  backendAddress(name: string): string {
    return `${this.hostOf(name)}:${Port.Backend}`;
  }

  /** Creates a client of an instance's administration API. */
  admin(name: string): AdminClient {
    return new AdminClient(this.adminAddress(name));
  }

  /** Returns the daemon process of an instance. */
  daemon(name: string): Process {
    return this.#instance(name).daemon!;
  }

  /** Returns the backend server process of an instance. */
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

  /** Starts an empty log; records of an earlier one are not kept. */
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
        reject(new Error(`The ${kind} stand-in exited: ${started.stderrLines.join("; ")}`));
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
      proxyPort: Port.PeersProxy,
      port: Port.Peers,
    }));
    hosts.push({ host: this.logHost, proxyPort: Port.LogProxy, port: Port.Log });
    const dataCentreOf = (host: string) =>
      instances.find((instance) => instance.host === host)?.options.dataCentre ?? "";
    const { delayMs = () => 0 } = this.#options;
    this.#network = await Network.start(hosts, {
      delayMs: (from, to) => delayMs(dataCentreOf(from), dataCentreOf(to)),
    });
  }

  /** Starts the backend server and then the daemon of an instance. */
  async startInstance(name: string): Promise<void> {
    await this.startBackend(name);
    await this.startDaemon(name);
  }

  /** Starts the backend server of an instance, unless one process runs all of them. */
  async startBackend(name: string): Promise<void> {
    if (this.#options.sharesBackends) {
      return;
    }
    const settings = this.#backendSettings(name);
    this.#instance(name).backend = await this.#startStandIn("backend", settings, (line) => {
      this.#recordWork(name, JSON.parse(line) as Work);
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
      writesWorks: this.#options.recordsWork ?? true,
    };
  }

  /** Starts one process for all backend servers, so that many daemons fit on one machine. */
  async #startSharedBackends(): Promise<void> {
    if (this.#options.sharesBackends) {
      const settings = this.names.map((name) => this.#backendSettings(name));
      this.#sharedBackends = await this.#startStandIn("backends", settings);
    }
  }

  #recordWork(instance: string, work: Work): void {
    this.#works.set(`${instance} ${work.id}`, { ...work, instance });
  }

  #logUrl(): string {
    const port = this.#network === undefined ? Port.Log : Port.LogProxy;
    return `http://${this.logHost}:${port}`;
  }

  /** Writes the settings file of an instance's daemon and returns its path. */
  writeSettings(name: string): string {
    const { options, host } = this.#instance(name);
    const listen = {
      callers: `${host}:${Port.Callers}`,
      peers: `${host}:${Port.Peers}`,
      backend: `${host}:${Port.Announcements}`,
      admin: `${host}:${Port.Admin}`,
      ...(this.#network === undefined ? {} : { peersSeenAs: `${host}:${Port.PeersProxy}` }),
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

  /** Starts the daemon of an instance and, unless `waitsUntilReady` is false, waits until it is ready. */
  async startDaemon(name: string, options: { waitsUntilReady?: boolean } = {}): Promise<void> {
    const instance = this.#instance(name);
    instance.daemon = new Process({
      program: this.#options.program ?? DEFAULT_PROGRAM,
      args: ["serve", this.writeSettings(name)],
    });
    if (options.waitsUntilReady ?? true) {
      await this.waitUntil(() => this.isReady(name), `${name} to be ready`, READY_TIMEOUT_MS);
    }
  }

  /** Whether the readiness check of a daemon succeeds. */
  async isReady(name: string): Promise<boolean> {
    return (await fetchStatus(`http://${this.adminAddress(name)}/readyz`)) === 200;
  }

  /** Sets the failures that the log simulates. */
  async controlLog(control: LogControl): Promise<void> {
    await postJson(`http://${this.#prefix}.1:${Port.Log}/control`, control);
  }

  /** Appends a record to the log directly, as any other client of the log could. */
  async appendToLog(body: string): Promise<void> {
    await postText(`http://${this.#prefix}.1:${Port.Log}/records`, body);
  }

  /** Sets the failures that a backend server simulates. */
  async controlBackend(name: string, control: BackendControl): Promise<void> {
    await postJson(`http://${this.backendAddress(name)}/control`, control);
  }

  /** Kills the daemon and the backend server of an instance. */
  async killInstance(name: string): Promise<void> {
    const { daemon, backend } = this.#instance(name);
    await Promise.all([daemon?.kill(), backend?.kill()]);
  }

  /** Returns the state of the system as one daemon collects it. */
  async status(name: string): Promise<SystemStatus> {
    const status = await this.admin(name).status();
    if (status.isErr) {
      throw status.error;
    }
    return status.value;
  }

  /** Publishes a configuration through an instance, waits until every daemon has it, and returns its version. */
  async publish(name: string, configuration: unknown, expects: number): Promise<number> {
    const admin = this.admin(name);
    const published = await admin.publish({ expects, by: "test", configuration });
    if (published.isErr) {
      throw published.error;
    }
    const { version } = published.value;
    await this.waitUntil(async () => {
      const force = await admin.versionsInForce();
      return force.isOk && force.value.daemons.every((daemon) => daemon.version >= version);
    }, `version ${version} to be in force`);
    return version;
  }

  /** Waits until every shard of every keyed pool has an owner and no move is pending. */
  async waitUntilSettled(name: string, options: { timeoutMs?: number } = {}): Promise<void> {
    let lastStatus = "no status";
    const check = async () => {
      const status = await this.admin(name).status();
      lastStatus = status.isOk ? describeProgress(status.value) : status.error.message;
      return status.isOk && isSettled(status.value);
    };
    await this.waitUntil(check, "the placement to settle", options.timeoutMs).catch((error) => {
      throw new Error(`${error.message}; last status: ${lastStatus}`);
    });
  }

  /** Polls a condition until it holds; fails after the timeout. */
  async waitUntil(
    condition: () => Promise<boolean> | boolean,
    what: string,
    timeoutMs = 15_000,
  ): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    while (!(await condition())) {
      if (performance.now() > deadline) {
        throw new Error(`Timed out waiting for ${what}`);
      }
      await sleep(POLL_EVERY_MS);
    }
  }

  /** Returns the log lines of a daemon's current process. */
  logOf(name: string): string[] {
    return this.#instance(name).daemon?.stderrLines ?? [];
  }

  /** Kills all processes, closes the network and deletes the settings files. */
  async close(): Promise<void> {
    const instances = [...this.#instances.values()];
    await Promise.all(instances.map(({ options }) => this.killInstance(options.name)));
    await this.#sharedBackends?.kill();
    await this.#log?.kill();
    this.#network?.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Work that has started and not ended. */
  get unfinished(): RecordedWork[] {
    return this.works.filter((work) => work.end === WorkState.Running);
  }
}

/** Summarises placement progress, for the error when it does not settle. */
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
