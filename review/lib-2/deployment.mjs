/**
 * A small deployment on loopback addresses: the daemons as processes of the deploy file's command, and stand-ins for the
 * store, the operator, the upstreams and the clients.
 */
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as sendRequest } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join, resolve as resolvePath } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { StoreStandIn } from "./store.mjs";
import { freePort } from "./tools.mjs";
import { KEYS, Upstream } from "./upstream.mjs";

export const ROOT = resolvePath(dirname(fileURLToPath(import.meta.url)), "../..");
export const SERVICE = "huvo11a";
export const HOST_NAME = "ficu95.example";
const ZONES = ["carapungo", "calderon", "pomasqui"];
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stable_window_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  revert_slack_ms: 250,
  max_stretch_ms: 5000,
  budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra: 58,
  recovery_s: 15,
  hold_max_ms: 10000,
  thaw_slack_ms: 300,
};

/** Time for which two upstreams may hold a key that neither uses, in milliseconds (OWNER). */
const SHARED_MS_MAX = 500;
const SAMPLE_MS = 40;
/** Time after which a script ends, in milliseconds. */
const TIMEOUT_MS = 112_000;

/** Returns the command of the deploy file, split at spaces. */
function deployedCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** One machine: a daemon process, an upstream and the addresses of both. */
export class Machine {
  constructor(deployment, index) {
    this.deployment = deployment;
    this.index = index;
    this.name = `side-${index}`;
    this.host = `127.${deployment.network}.0.${10 + index}`;
    this.zone = ZONES[index % ZONES.length];
    this.ends = [];
    /** Whether the platform starts the process again when it has ended. */
    this.isKept = true;
  }

  async prepare() {
    const ports = [];
    for (let count = 0; count < 7; count++) {
      ports.push(await freePort(this.host));
    }
    [this.outbound, this.ready, this.control, this.inbound, this.app, this.peer, this.metrics] =
      ports;
    this.settingsPath = join(this.deployment.folder, `${this.name}.json`);
    this.outputPath = join(this.deployment.folder, `${this.name}.log`);
    writeFileSync(this.settingsPath, JSON.stringify(this.#settings()));
  }

  #settings() {
    const { storeAddress, memoryMb } = this.deployment;
    const at = (port) => `${this.host}:${port}`;
    return {
      grants: "rpc",
      local: {
        node: this.name,
        role: "router",
        machine_class: "side",
        serves: ["side", "control"],
        ip: this.host,
        zone: this.zone,
        region: "sierra-norte",
        counts_as_loss: false,
        bootstrap: true,
        data_dir: null,
        limits: {
          cpu_share: 0.54,
          cores: 1,
          memory_mb: memoryMb,
          max_fds: 4100,
          link_mbps: 1000,
          disk_mb: 0,
        },
        app_addr: at(this.app),
        service: SERVICE,
      },
      network: {
        listen: {
          inbound: at(this.inbound),
          outbound: at(this.outbound),
          ready: at(this.ready),
          control: at(this.control),
        },
        internal_ports: [this.peer, this.metrics],
        seeds: [],
        zones: Object.fromEntries(ZONES.map((zone) => [zone, "sierra-norte"])),
      },
      platform: {
        discovery: "static",
        entry: "static",
        heartbeat_ms: 870,
        platform: {
          address: storeAddress,
          form: "log",
          writes_per_s: 400,
          reads_per_s: 2000,
          parts: 12,
          append_ms: 2,
          part_mb_per_s: 20,
          read_mb_per_s: 80,
          record_bytes: 262144,
          call_bytes: 2097152,
          keep_s: 300,
          part_mb: 200,
          ttl_min_ms: 1000,
        },
      },
      terms: {
        contracts: ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"],
        fault_tolerance: { machines: 1, zones: 0, regions: 0 },
        bounds: BOUNDS,
      },
    };
  }

  startDaemon() {
    const [command, ...words] = deployedCommand();
    const output = openSync(this.outputPath, "a");
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(command, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, BULRUSHWOOD_BOOT: this.settingsPath },
      stdio: ["ignore", output, output],
    });
    closeSync(output);
    this.deployment.record(`${this.name}: daemon starts as process ${this.child.pid}`);
    const { child } = this;
    child.once("exit", (code, signal) => {
      const end = signal ?? code;
      this.ends.push(end);
      this.deployment.record(`${this.name}: daemon ended with ${end}`);
      if (this.isKept && !this.deployment.isClosed) {
        setTimeout(() => {
          if (this.isKept && !this.deployment.isClosed) {
            this.startDaemon();
          }
        }, 300);
      }
    });
  }

  get isRunning() {
    return this.child !== undefined && this.child.exitCode === null &&
      this.child.signalCode === null;
  }

  signal(name) {
    if (this.isRunning) {
      this.deployment.record(`${this.name}: ${name}`);
      this.child.kill(name);
    }
  }

  /** Stops the daemon as the platform does: SIGTERM, and SIGKILL after `grace_s`. */
  stop() {
    const { child } = this;
    this.signal("SIGTERM");
    const timer = setTimeout(
      () => child.exitCode === null && child.kill("SIGKILL"),
      BOUNDS.grace_s * 1_000,
    );
    child.once("exit", () => clearTimeout(timer));
    return new Promise((resolve) => child.once("exit", resolve));
  }

  isReady() {
    return new Promise((resolve) => {
      const call = sendRequest({
        host: this.host,
        port: this.ready,
        path: "/readyz",
        agent: false,
        timeout: 500,
      });
      call.on("response", (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(false));
      call.end();
    });
  }

  async startUpstream(options = {}) {
    const { deployment } = this;
    const upstream = new Upstream({
      id: `i-${Math.random().toString(16).slice(2, 10)}`,
      born: Date.now(),
      service: SERVICE,
      zone: this.zone,
      host: this.host,
      port: this.app,
      control: { host: this.host, port: this.control },
      onGrant: (from, grant) => deployment.checkGrant(from, grant),
      onRun: (at, run) => deployment.checkRun(at, run),
      ...options,
    });
    this.upstream = upstream;
    deployment.upstreams.push(upstream);
    await upstream.start();
    deployment.record(`${this.name}: upstream ${upstream.name} starts`);
    return upstream;
  }
}

/** The deployment, and what its upstreams and clients have seen. */
export class Deployment {
  machines = [];
  upstreams = [];
  /** Breaks of rules that the upstreams have seen. */
  broken = [];
  isClosed = false;
  store = new StoreStandIn();
  requests = [];
  #lines = [];
  #startedAt = performance.now();
  #sharedSince = new Map();
  #holders = new Array(KEYS);
  #reported = new Set();
  #count = 0;

  constructor({ machines, recordPath, memoryMb = 350, timeoutMs = 1_000 }) {
    this.size = machines;
    this.timeoutMs = timeoutMs;
    this.memoryMb = memoryMb;
    this.recordPath = recordPath;
    this.network = 60 + Math.floor(Math.random() * 150);
    this.folder = mkdtempSync(join(tmpdir(), "review-2-"));
    process.once("SIGTERM", () => this.exit(2));
    process.once("SIGINT", () => this.exit(2));
    const fail = (error) => {
      this.record(`the script failed: ${error?.stack ?? error}`);
      this.exit(2);
    };
    process.once("uncaughtException", fail);
    process.once("unhandledRejection", fail);
    setTimeout(() => {
      this.record("the script took too long");
      this.exit(this.broken.length > 0 ? 1 : 2);
    }, TIMEOUT_MS).unref();
  }

  /** Adds a line to the record. */
  record(line) {
    const at = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${at} ${line}`);
  }

  /** Records a break of a rule; of each kind, the first few. */
  breakRule(kind, line) {
    this.broken.push(line);
    const known = this.broken.filter((each) => each.startsWith(kind)).length;
    if (!this.#reported.has(line) && known <= 5) {
      this.#reported.add(line);
      this.record(`BROKEN ${line}`);
    }
  }

  /** Starts the store with a first manifest. */
  async startStore() {
    const host = `127.${this.network}.0.2`;
    const port = await freePort(host);
    this.storeAddress = `${host}:${port}`;
    await this.store.start(host, port);
    this.store.put("keyed.op", "config", JSON.stringify(this.manifest(7)));
  }

  manifest(version) {
    const route = (name, prefix, kind, timeout) => ({
      name,
      host: HOST_NAME,
      path_prefix: prefix,
      route_kind: kind,
      timeout_ms: timeout,
      target_latency_ms: 500,
      priority: 1,
      service: SERVICE,
      max_attempts: 2,
    });
    return {
      version: version.toString(16).padStart(8, "0"),
      routes: [
        route("r-quote", "/lohu930/", "safe", this.timeoutMs),
        route("r-booking", "/pufi791/", "unsafe", 1200),
      ],
      services: [{
        name: SERVICE,
        health_path: "/healthz",
        max_conns: 110,
        protocol: "h1",
        tls: false,
        use_shards: true,
        warm_s: 3,
        grants: "rpc",
      }],
      limits: {
        max_header_bytes: 16384,
        max_body_bytes: 67108864,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15000,
      },
    };
  }

  async addMachine() {
    const machine = new Machine(this, this.machines.length);
    await machine.prepare();
    this.machines.push(machine);
    return machine;
  }

  /** Starts the store and all machines, and resolves when all daemons are ready and all keys are held. */
  async start() {
    await this.startStore();
    for (let index = 0; index < this.size; index++) {
      await this.addMachine();
    }
    this.machines.forEach((machine) => machine.startDaemon());
    await Promise.all(this.machines.map((machine) => machine.startUpstream()));
    this.#sample();
    await this.awaitHeld(25_000);
  }

  get heldKeys() {
    let held = 0;
    for (let key = 0; key < KEYS; key++) {
      held += this.upstreams.some((upstream) => upstream.has(key)) ? 1 : 0;
    }
    return held;
  }

  /** Resolves when each key is held by an upstream; ends the run as not possible after a time. */
  async awaitHeld(timeoutMs) {
    const until = performance.now() + timeoutMs;
    while (this.heldKeys < KEYS) {
      if (performance.now() > until) {
        this.record(`only ${this.heldKeys} keys are held`);
        await this.exit(2);
      }
      await sleep(100);
    }
    this.record("all keys are held");
  }

  async #sample() {
    let lastAt = performance.now();
    while (!this.isClosed) {
      await sleep(SAMPLE_MS);
      const at = performance.now();
      if (at - lastAt > 250) {
        // The stand-ins were not run meanwhile.
        this.#sharedSince.clear();
      }
      lastAt = at;
      this.#sampleKeys(at);
    }
  }

  #sampleKeys(at) {
    let count = 0;
    let example;
    for (let key = 0; key < KEYS; key++) {
      const holders = this.upstreams.filter((upstream) => upstream.has(key));
      if (holders.length < 2) {
        this.#sharedSince.delete(key);
        continue;
      }
      const since = this.#sharedSince.get(key) ?? at;
      this.#sharedSince.set(key, since);
      if (at - since > SHARED_MS_MAX) {
        count++;
        example ??= `key ${key} by ` +
          holders.map((each) => `${each.name} with epoch ${each.epochs[key]}`).join(" and ");
      }
    }
    if (count > 0) {
      this.breakRule("OWNER shared", `OWNER shared for over 500 ms: ${count} keys, ${example}`);
    }
  }

  checkGrant(upstream, { from, target, fence }) {
    let count = 0;
    let example;
    for (let key = from; key <= target; key++) {
      const last = this.#holders[key];
      if (last !== undefined && last.upstream !== upstream && fence <= last.epoch) {
        count++;
        example ??= `key ${key}, which ${last.upstream.name} had with ${last.epoch}`;
      }
      if (last === undefined || fence >= last.epoch) {
        this.#holders[key] = { upstream, epoch: fence };
      }
    }
    if (count > 0) {
      this.breakRule(
        "OWNER epoch",
        `OWNER epoch: ${upstream.name} takes ${count} keys with epoch ${fence}, not above all: ${example}`,
      );
    }
  }

  #lastRuns = new Map();

  checkRun(upstream, { id, key, epoch }) {
    const request = this.requests[Number.parseInt(id, 16)];
    request?.runs.push({ upstream: upstream.name, epoch });
    const others = this.upstreams.filter((other) => other !== upstream && other.has(key));
    const last = this.#lastRuns.get(key);
    if (others.length === 0) {
      this.#lastRuns.delete(key);
      return;
    }
    // Two upstreams hold the key now; both must begin requests in that time.
    if (last !== undefined && last.upstream !== upstream && others.includes(last.upstream)) {
      this.breakRule(
        "OWNER runs",
        `OWNER runs: ${last.upstream.name} (epoch ${last.epoch}) and ${upstream.name} (epoch ${epoch}) ` +
          `both began requests on key ${key} while both held it: ${last.id}, ${id}`,
      );
    }
    this.#lastRuns.set(key, { upstream, epoch, id });
  }

  #agents = new Map();

  /** Creates the entry of a request that a client on a machine is about to send. */
  newRequest(machine, { key, kind }) {
    const id = (this.#count++).toString(16).padStart(16, "0");
    const request = { id, key, kind, machine: machine.name, status: undefined, runs: [] };
    this.requests.push(request);
    return request;
  }

  /** Sends a request from a client on a machine; resolves when it has ended. */
  send(machine, { key, kind = "safe", deadlineMs = 1000 }) {
    const request = this.newRequest(machine, { key, kind });
    const { id } = request;
    const agent = this.#agents.get(machine) ?? new Agent({ keepAlive: true });
    this.#agents.set(machine, agent);
    return new Promise((resolve) => {
      const call = sendRequest({
        host: machine.host,
        port: machine.outbound,
        agent,
        method: kind === "safe" ? "GET" : "POST",
        path: kind === "safe" ? "/lohu930/2f" : "/pufi791/2f",
        headers: {
          host: HOST_NAME,
          "x-bulrushwood-request-id": id,
          "x-bulrushwood-deadline-ms": deadlineMs,
          "x-bulrushwood-shard-key": key,
        },
        timeout: deadlineMs + 1_000,
      });
      call.on("response", (response) => {
        response.resume();
        response.on("error", () => {});
        response.on("end", () => {
          request.status = response.statusCode;
          resolve(request);
        });
        response.on("close", () => resolve(request));
      });
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(request));
      call.end(kind === "safe" ? undefined : "x");
    });
  }

  /** Lets clients on all machines send requests for some keys until the deployment closes. */
  async sendSteadily({ keys, everyMs }) {
    while (!this.isClosed) {
      for (const machine of this.machines) {
        if (machine.isRunning) {
          this.send(machine, { key: keys[Math.floor(Math.random() * keys.length)] });
        }
      }
      await sleep(everyMs);
    }
  }

  /** Ends all processes, writes the record and exits. */
  async exit(code) {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    const children = this.machines.map(({ child }) => child).filter((child) => child);
    children.forEach((child) => child.exitCode ?? child.signalCode ?? child.kill("SIGKILL"));
    this.store.close();
    await sleep(100);
    const statuses = new Map();
    this.requests.forEach(({ status = "closed" }) =>
      statuses.set(status, (statuses.get(status) ?? 0) + 1)
    );
    const summary = [
      `exit ${code}: ${
        code === 1 ? "the rule was broken" : code === 0 ? "the rule held" : "could not run"
      }`,
      `breaks seen: ${this.broken.length}`,
      `requests by status: ${
        [...statuses].map(([status, count]) => `${status}: ${count}`).join(", ")
      }`,
      `requests that ran: ${this.requests.filter(({ runs }) => runs.length > 0).length}`,
      "",
    ];
    const sent = this.requests.map(({ id, kind, key, machine, status = "closed", runs }) =>
      `request ${id} ${kind} key ${key} at ${machine}: answered ${status}, ran ` +
      (runs.map(({ upstream, epoch }) => `at ${upstream} epoch ${epoch}`).join(" and ") ||
        "nowhere")
    );
    writeFileSync(this.recordPath, `${[...summary, ...this.#lines, "", ...sent].join("\n")}\n`);
    process.stdout.write(`${summary.join("\n")}${this.broken.slice(0, 3).join("\n")}\n`);
    if (process.env.KEEP === "1") {
      process.stdout.write(`${this.folder}\n`);
    } else {
      rmSync(this.folder, { recursive: true, force: true });
    }
    process.exit(code);
  }
}
