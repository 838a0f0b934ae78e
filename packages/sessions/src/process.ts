/**
 * One child process of a session: started, signalled and ended by its own handle.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";

/** How to start a process. */
export interface ProcessOptions {
  /** A bundled program, or the one binary. */
  program: string;
  args: string[];
  /** Called for each line on its standard output. */
  onLine?: (line: string) => void;
}

/** A child process. */
export class Process {
  readonly #child: ChildProcess;
  readonly #exited: Promise<number | null>;
  readonly #errors: string[] = [];
  #isOver = false;

  constructor(options: ProcessOptions) {
    const isScript = options.program.endsWith(".cjs");
    const command = isScript ? process.execPath : options.program;
    const args = isScript ? [options.program, ...options.args] : options.args;
    this.#child = spawn(command, args, { stdio: ["ignore", "pipe", "pipe"] });
    this.#exited = new Promise((resolve) => {
      this.#child.once("exit", (code) => {
        this.#isOver = true;
        resolve(code);
      });
    });
    const lines = createInterface({ input: this.#child.stdout! });
    lines.on("line", (line) => options.onLine?.(line));
    createInterface({ input: this.#child.stderr! }).on("line", (line) => this.#errors.push(line));
  }

  /** Lines that the process wrote to its standard error. */
  get errors(): string[] {
    return this.#errors;
  }

  /** Whether the process has ended. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Processor time that the process has used, in milliseconds. */
  get cpuMs(): number {
    const millisecondsPerTick = 10;
    const fields = readFileSync(`/proc/${this.#child.pid}/stat`, "utf8").split(") ")[1].split(" ");
    return (Number(fields[11]) + Number(fields[12])) * millisecondsPerTick;
  }

  /** Memory that the process holds, in bytes. */
  get memoryBytes(): number {
    const bytesPerPage = 4_096;
    const fields = readFileSync(`/proc/${this.#child.pid}/statm`, "utf8").split(" ");
    return Number(fields[1]) * bytesPerPage;
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    if (!this.#isOver) {
      this.#child.kill(signal);
    }
  }

  /** Resolves with the exit code; null when a signal ended the process. */
  exited(): Promise<number | null> {
    return this.#exited;
  }

  /** Ends the process at once, also when it is stopped. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }
}
