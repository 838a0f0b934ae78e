/**
 * Child process of a deployment. It is signalled and killed by its own handle, never by name.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";

/** Options of a child process. */
export interface ProcessOptions {
  /** Path of a bundled script (`.cjs`) or of the single binary. */
  program: string;
  args: string[];
  /** Called for each line of its standard output. */
  onLine?: (line: string) => void;
}

/** Child process whose standard error is kept as lines. */
export class Process {
  readonly #child: ChildProcess;
  readonly #exited: Promise<number | null>;
  readonly #stderrLines: string[] = [];
  #hasExited = false;

  constructor(options: ProcessOptions) {
    const isScript = options.program.endsWith(".cjs");
    const command = isScript ? process.execPath : options.program;
    const args = isScript ? [options.program, ...options.args] : options.args;
    this.#child = spawn(command, args, { stdio: ["ignore", "pipe", "pipe"] });
    this.#exited = new Promise((resolve) => {
      this.#child.once("exit", (code) => {
        this.#hasExited = true;
        resolve(code);
      });
    });
    const lines = createInterface({ input: this.#child.stdout! });
    lines.on("line", (line) => options.onLine?.(line));
    createInterface({ input: this.#child.stderr! }).on(
      "line",
      (line) => this.#stderrLines.push(line),
    );
  }

  /** Lines that the process has written to its standard error. */
  get stderrLines(): string[] {
    return this.#stderrLines;
  }

  get hasExited(): boolean {
    return this.#hasExited;
  }

  /** Processor time used so far, in milliseconds. */
  get cpuMs(): number {
    const millisecondsPerTick = 10;
    const fields = readFileSync(`/proc/${this.#child.pid}/stat`, "utf8").split(") ")[1].split(" ");
    return (Number(fields[11]) + Number(fields[12])) * millisecondsPerTick;
  }

  /** Resident memory, in bytes. */
  get memoryBytes(): number {
    const bytesPerPage = 4_096;
    const fields = readFileSync(`/proc/${this.#child.pid}/statm`, "utf8").split(" ");
    return Number(fields[1]) * bytesPerPage;
  }

  /** Sends a signal, unless the process has exited. */
  signal(signal: NodeJS.Signals): void {
    if (!this.#hasExited) {
      this.#child.kill(signal);
    }
  }

  /** Resolves with the exit code once the process has exited; null when a signal ended it. */
  exited(): Promise<number | null> {
    return this.#exited;
  }

  /** Kills the process with SIGKILL, which also ends a stopped one, and waits for its exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }
}
