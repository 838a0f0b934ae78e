/**
 * A daemon as a process of the binary. It is restarted whenever it has ended, as the platform does. Any end of the
 * process that the soak did not cause is a finding.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, openSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { join } from "node:path";
import process from "node:process";
import { now, sleep } from "@bulrushwood/types";
import { type History, Rule } from "./history.ts";
import type { Machine } from "./machine.ts";
import type { Outside } from "./outside.ts";

/** Time between the end of a process and its restart, in milliseconds. */
const RESTART_MS = 300;
const READY_TIMEOUT_MS = 20_000;
const READY_CALL_TIMEOUT_MS = 500;
const POLL_MS = 50;
/** Time after which a process must handle signals, in milliseconds. */
const HANDLERS_MS_MAX = 3_000;
const HANDLERS_POLL_MS = 5;
const BYTES_PER_PAGE = 4_096;
/** Lines of the process's output in a finding. */
const OUTPUT_LINES = 5;

/** Options of a daemon's process. */
export interface DaemonProcessOptions {
  machine: Machine;
  /** Path of the binary. */
  binary: string;
  /** Folder for its settings and its output. */
  folder: string;
  history: History;
  outside: Outside;
}

/** Memory and descriptors of a process. */
export interface Reading {
  memoryBytes: number;
  descriptors: number;
}

/** Process of one machine's daemon. */
export class DaemonProcess {
  readonly #options: DaemonProcessOptions;
  readonly #folder: string;
  #child!: ChildProcess;
  #isStopping = false;
  #isKilled = false;
  #handlesSignals = false;
  #isClosed = false;
  #killTimer: NodeJS.Timeout | undefined;
  /** Callbacks for when the next process handles signals. */
  #startCallbacks: (() => void)[] = [];
  /** Number of ends by the kind of end: an exit code or a signal. */
  readonly ends = new Map<string, number>();
  /** Start of the current process. */
  startedAt = 0;
  /** Largest readings. */
  readonly peak: Reading = { memoryBytes: 0, descriptors: 0 };

  constructor(options: DaemonProcessOptions) {
    this.#options = options;
    this.#folder = join(options.folder, options.machine.name);
    mkdirSync(this.#folder);
    writeFileSync(this.settingsPath, options.outside.encodeSettings(options.machine.settings));
  }

  get name(): string {
    return this.#options.machine.name;
  }

  get settingsPath(): string {
    return join(this.#folder, "settings.json");
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Whether the process runs, handles signals and has not been told to end. */
  get isUp(): boolean {
    return this.isRunning && this.#handlesSignals && !this.#isStopping && !this.#isKilled;
  }

  start(): void {
    const { binary, outside, history } = this.#options;
    const output = openSync(join(this.#folder, "output"), "a");
    this.#child = spawn(binary, ["serve"], {
      env: { PATH: process.env.PATH, ...outside.environment(this.settingsPath) },
      stdio: ["ignore", output, output],
    });
    closeSync(output);
    this.#isStopping = false;
    this.#isKilled = false;
    this.#handlesSignals = false;
    this.startedAt = now();
    history.add(`start as process ${this.pid}`, this.name);
    this.#child.once("error", (error) => this.#reportFault(`did not start: ${error.message}`));
    this.#child.once("exit", (code, signal) => this.#handleExit(code ?? signal!));
    this.#waitForHandlers(this.#child);
  }

  /** Waits until the process handles signals; until then any signal ends it, since the runtime starts. */
  async #waitForHandlers(child: ChildProcess): Promise<void> {
    const until = now() + HANDLERS_MS_MAX;
    while (child === this.#child && this.isRunning && now() < until && !this.#catchesReload()) {
      await sleep(HANDLERS_POLL_MS);
    }
    if (child === this.#child && this.isRunning) {
      this.#handlesSignals = true;
      this.#startCallbacks.splice(0).forEach((callback) => callback());
    }
  }

  /** Returns whether the process has a handler for SIGHUP, which is the first signal of the mask. */
  #catchesReload(): boolean {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
      const mask = /^SigCgt:\s*(\S+)$/m.exec(status)?.[1] ?? "0";
      return (BigInt(`0x${mask}`) & 1n) === 1n;
    } catch {
      return false;
    }
  }

  #handleExit(end: number | NodeJS.Signals): void {
    clearTimeout(this.#killTimer);
    if (this.#isClosed) {
      return;
    }
    this.#options.history.add(`exit: ${end}`, this.name);
    this.ends.set(String(end), (this.ends.get(String(end)) ?? 0) + 1);
    const isExpected = (this.#isKilled && end === "SIGKILL") || (this.#isStopping && end === 0);
    if (!isExpected) {
      this.#reportFault(`ended by itself: ${end}`);
    }
    setTimeout(() => this.#isClosed || this.start(), RESTART_MS);
  }

  #reportFault(detail: string): void {
    const lines = readFileSync(join(this.#folder, "output"), "utf8").trim().split("\n");
    const output = lines.slice(-OUTPUT_LINES).join("\n");
    this.#options.history.report(Rule.Fault, [this.name], `the process ${detail}\n${output}`);
  }

  /** Calls back once the next process handles signals. */
  onNextStart(callback: () => void): void {
    this.#startCallbacks.push(callback);
  }

  /** Sends a signal that must not end the process, or that repeats the signal to stop. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) {
      this.#options.history.add(signal, this.name);
      this.#child.kill(signal);
    }
  }

  /** Sends the signal to stop, and kills the process if it still runs at the end of its time. */
  stop(signal: NodeJS.Signals = "SIGTERM"): void {
    if (!this.isUp) {
      return;
    }
    this.#isStopping = true;
    this.signal(signal);
    this.#killTimer = setTimeout(() => {
      this.#options.history.add("not stopped in time", this.name);
      this.kill();
    }, this.#options.machine.settings.bounds.shutdownMs);
  }

  kill(): void {
    if (this.isRunning) {
      this.#isKilled = true;
      this.signal("SIGKILL");
    }
  }

  /** Resolves to whether it responds to the readiness check. */
  isReady(): Promise<boolean> {
    const { ready } = this.#options.machine.settings.listen;
    return new Promise((resolve) => {
      const call = request({
        ...ready,
        path: "/readyz",
        agent: false,
        timeout: READY_CALL_TIMEOUT_MS,
      });
      call.on("response", (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      call.on("timeout", () => call.destroy());
      call.on("error", () => resolve(false));
      call.on("close", () => resolve(false));
      call.end();
    });
  }

  /** Resolves to whether it is up and ready within the time that a start may take. */
  async waitUntilReady(): Promise<boolean> {
    const until = now() + READY_TIMEOUT_MS;
    while (!this.#isClosed && now() < until) {
      if (this.isUp && await this.isReady()) {
        return true;
      }
      await sleep(POLL_MS);
    }
    return this.#isClosed;
  }

  /** Reads its memory and descriptors; returns undefined if it does not run. */
  read(): Reading | undefined {
    try {
      const pages = readFileSync(`/proc/${this.pid}/statm`, "utf8").split(" ")[1];
      const descriptors = readdirSync(`/proc/${this.pid}/fd`).length;
      const reading = { memoryBytes: Number(pages) * BYTES_PER_PAGE, descriptors };
      this.peak.memoryBytes = Math.max(this.peak.memoryBytes, reading.memoryBytes);
      this.peak.descriptors = Math.max(this.peak.descriptors, descriptors);
      return reading;
    } catch {
      return undefined;
    }
  }

  /** Ends the process for good. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#killTimer);
    this.#child.kill("SIGKILL");
  }
}
