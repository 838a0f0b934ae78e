/**
 * The number of sockets that this process may have: what its settings say, or less where the operating system allows
 * fewer descriptors. A platform may count sockets apart from the descriptors that the operating system limits. Then a
 * process has more sockets than descriptors, and only the settings count.
 */
import { Buffer } from "node:buffer";
import { openSync, readdirSync, readSync } from "node:fs";
import type { Clock } from "@bulrushwood/types";

/** Descriptors of this process that are no sockets. */
const FILES_MAX = 32;
/** Time for which the operating system's limit is not read again, in milliseconds. */
const READ_INTERVAL_MS = 50;
const DESCRIPTORS_PATH = "/proc/self/fd";
const LIMITS_PATH = "/proc/self/limits";
const LIMITS_BYTES_MAX = 4_096;

/** Options of `SocketLimit`. */
export interface SocketLimitOptions {
  /** Number of sockets that the settings allow. */
  socketsMax: number;
  now: Clock;
  /** Reads how many descriptors the operating system allows. */
  readDescriptorsMax: () => number;
  /** Counts the descriptors that this process has. */
  countDescriptors: () => number;
  /** Returns a number of sockets that this process certainly has. */
  openSockets: () => number;
}

/** The number of sockets that this process may have, which may change while it runs. */
export class SocketLimit {
  readonly #options: SocketLimitOptions;
  #readAt = -Infinity;
  #value = 0;
  /** Whether the last read found more sockets than descriptors. */
  #hasMoreSockets = false;
  /** Whether sockets are counted apart from descriptors. */
  #areSocketsApart = false;

  constructor(options: SocketLimitOptions) {
    this.#options = options;
  }

  /** Number of sockets. */
  get value(): number {
    const { socketsMax, now } = this.#options;
    const at = now();
    if (at - this.#readAt >= READ_INTERVAL_MS) {
      this.#readAt = at;
      this.#value = Math.max(0, Math.min(socketsMax, this.#readDescriptorsLeft()));
    }
    return this.#value;
  }

  /** Returns how many descriptors there are for sockets; infinite where these need none, or the settings allow fewer. */
  #readDescriptorsLeft(): number {
    const { socketsMax, readDescriptorsMax, countDescriptors, openSockets } = this.#options;
    const left = readDescriptorsMax() - FILES_MAX;
    if (this.#areSocketsApart || left >= socketsMax) {
      return Infinity;
    }
    // Sockets that have just closed may count for a moment after their descriptors are free.
    const hasMoreSockets = openSockets() > countDescriptors();
    this.#areSocketsApart = hasMoreSockets && this.#hasMoreSockets;
    this.#hasMoreSockets = hasMoreSockets;
    return this.#areSocketsApart ? Infinity : left;
  }
}

/** Counts the descriptors that this process has; infinite where the system does not say. */
export function countDescriptors(): number {
  try {
    return readdirSync(DESCRIPTORS_PATH).length;
  } catch {
    return Infinity;
  }
}

/** Returns a function that reads how many descriptors this process may have; infinite where the system does not say. */
export function openDescriptorsMax(): () => number {
  let file: number;
  try {
    // The file stays open, since none can be opened once descriptors run out.
    file = openSync(LIMITS_PATH, "r");
  } catch {
    return () => Infinity;
  }
  const buffer = Buffer.alloc(LIMITS_BYTES_MAX);
  return () => {
    const bytes = readSync(file, buffer, 0, buffer.length, 0);
    const found = /^Max open files +(\d+) /m.exec(buffer.toString("latin1", 0, bytes));
    return found === null ? Infinity : Number(found[1]);
  };
}
