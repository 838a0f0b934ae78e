/**
 * The deployment of a soak: daemons as processes, and stand-ins for the store, the operator, the backend servers and
 * the callers in this process.
 */
import { createServer, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { closeServer, KeyedStoreService, listenOn } from "@bulrushwood/stand_ins";
import { createRandom, now, type Random, sleep } from "@bulrushwood/types";
import { BackendServer } from "./backend_server.ts";
import { Callers } from "./callers.ts";
import { DaemonProcess } from "./daemon_process.ts";
import { Ownership } from "./held_keys.ts";
import { History, Rule } from "./history.ts";
import { BOUNDS, createMachine, type Machine } from "./machine.ts";
import { Operator } from "./manifests.ts";
import type { Outside } from "./outside.ts";
import { pick } from "./random.ts";
import { Requests } from "./requests.ts";

const STORE_HOST = "127.0.0.1";
const STORE_CALL_MS = 4;
const SAMPLE_MS = 200;
/** Number of daemons above which each caller sends less, so that all together send the same. */
const FULL_RATE_DAEMONS = 8;
const NETWORKS = 200;
/** Distance between the request ids of two seeds. */
const IDS_PER_SEED = 10_000_000;

/** Options of a deployment. */
export interface DeploymentOptions {
  seed: number;
  daemons: number;
  /** Path of the binary. */
  binary: string;
  /** Folder for settings and output of the daemons. */
  folder: string;
  outside: Outside;
  /** Whether proxies are on the daemons' connections to the store and to their backend servers. */
  hasProxies: boolean;
  /** Memory that the settings allow each daemon, in bytes; that of a usual machine where left out. */
  memoryBytes?: number;
  /** Sockets that the settings allow each daemon; those of a usual machine where left out. */
  socketsMax?: number;
  /** Largest body that the manifest allows, in bytes; the usual one where left out. */
  bodyBytesMax?: number;
}

/** A machine with its processes. */
export interface Node {
  machine: Machine;
  daemon: DaemonProcess;
  server: BackendServer;
  callers: Callers;
  /** Whether a fault has taken its backend server away. */
  isServerAway: boolean;
}

/** Deployment whose parts faults act on. */
export class Deployment {
  readonly #options: DeploymentOptions;
  readonly #storeServer: Server;
  readonly #ownership: Ownership;
  readonly #serverCounts = new Map<string, number>();
  #isClosed = false;
  readonly history = new History();
  readonly requests: Requests;
  readonly store = new KeyedStoreService({ sleep, callMs: STORE_CALL_MS });
  readonly operator: Operator;
  nodes: Node[] = [];

  private constructor(options: DeploymentOptions) {
    this.#options = options;
    this.#storeServer = createServer(options.outside.storeListener(this.store.connect()));
    this.requests = new Requests(options.seed * IDS_PER_SEED);
    this.operator = new Operator(this.store, options);
    this.#ownership = new Ownership({
      sharedMsMax: BOUNDS.sharedKeyMs,
      report: (detail) => this.history.report(Rule.Owner, this.names, detail),
    });
  }

  /** Starts all parts except the callers, and resolves when all daemons are ready. */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const deployment = new Deployment(options);
    await listenOn(deployment.#storeServer, { host: STORE_HOST, port: 0 });
    await deployment.operator.publish();
    const { port } = deployment.#storeServer.address() as AddressInfo;
    const store = { host: STORE_HOST, port };
    const network = 1 + options.seed % NETWORKS;
    const random = createRandom(options.seed);
    const indices = Array.from({ length: options.daemons }, (_, index) => index);
    deployment.nodes = await Promise.all(indices.map(async (index) => {
      const machine = await createMachine(index, { ...options, network, store });
      return await deployment.#startNode(machine, index, random);
    }));
    const isReady = await Promise.all(
      deployment.nodes.map(({ daemon }) => daemon.waitUntilReady()),
    );
    deployment.names.filter((_, index) => !isReady[index]).forEach((name) =>
      deployment.history.report(Rule.Fault, [name], "the daemon does not become ready")
    );
    deployment.#sampleUntilClosed();
    return deployment;
  }

  /** Formats of the systems around the daemons. */
  get outside(): Outside {
    return this.#options.outside;
  }

  get names(): string[] {
    return this.nodes.map(({ machine }) => machine.name);
  }

  async #startNode(machine: Machine, index: number, random: Random): Promise<Node> {
    const { binary, folder, outside, daemons } = this.#options;
    const { history, requests, operator } = this;
    const daemon = new DaemonProcess({ machine, binary, folder, history, outside });
    daemon.start();
    const callers = new Callers({
      machine,
      outside,
      requests,
      random,
      newestVersion: () => operator.newest,
      slowness: Math.max(1, daemons / FULL_RATE_DAEMONS),
    });
    const server = await this.#createServer(machine, index);
    return { machine, daemon, server, callers, isServerAway: false };
  }

  #createServer(machine: Machine, index: number): Promise<BackendServer> {
    const generation = this.#serverCounts.get(machine.name) ?? 0;
    this.#serverCounts.set(machine.name, generation + 1);
    const { outside } = this.#options;
    const { requests, history } = this;
    return BackendServer.start({
      machine,
      index,
      generation,
      outside,
      requests,
      ownership: this.#ownership,
      history,
    });
  }

  /** Starts a backend server with a new id after the one of a machine has ended. */
  async restartServer(index: number): Promise<void> {
    const node = this.nodes[index];
    if (!this.#isClosed) {
      node.server = await this.#createServer(node.machine, index);
      this.history.add(`server ${node.server.id} starts`, node.machine.name);
    }
  }

  /** Number of keys that no server holds. */
  get unheldKeys(): number {
    return this.#ownership.unheldKeys;
  }

  async #sampleUntilClosed(): Promise<void> {
    while (!this.#isClosed) {
      this.nodes.forEach(({ daemon, machine }) => {
        const reading = daemon.read();
        if (reading !== undefined && reading.memoryBytes > machine.settings.memoryBytes) {
          this.history.report(Rule.Fault, [machine.name], `takes ${reading.memoryBytes} bytes`);
        }
      });
      this.#ownership.sample();
      const from = now();
      await Promise.all([sleep(SAMPLE_MS), this.#probeStore()]);
      this.history.recordStall(from + SAMPLE_MS, now());
    }
  }

  /** Resolves when the store has responded on a new connection, as daemons open them. */
  #probeStore(): Promise<void> {
    const { port } = this.#storeServer.address() as AddressInfo;
    return new Promise((resolve) => {
      const call = request({ host: STORE_HOST, port, agent: false });
      call.on("response", (response) => response.resume());
      call.on("error", () => {});
      call.on("close", resolve);
      call.end();
    });
  }

  /** Returns a node whose daemon is up and has its server, at a random place; undefined if the one there is not. */
  pickNode(random: Random): Node | undefined {
    const node = pick(this.nodes, random);
    const isMost = this.nodes.filter(({ daemon, isServerAway }) => daemon.isUp && !isServerAway)
      .length > this.nodes.length / 2;
    return isMost && node.daemon.isUp && !node.isServerAway ? node : undefined;
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.nodes.forEach(({ callers, daemon }) => {
      callers.close();
      daemon.close();
    });
    await Promise.all(this.nodes.map(({ server }) => server.close()));
    await Promise.all(
      this.nodes.flatMap(({ machine: { paths } }) =>
        paths === undefined ? [] : [paths.store.close(), paths.server.close()]
      ),
    );
    await closeServer(this.#storeServer);
  }
}
