/**
 * Memory for the bodies of requests and responses that a daemon holds. One body may be as large as the operator allows,
 * and a faulty sender may send without end, so the sum of all bodies is bounded as well. Short bodies are always
 * accepted beside long ones, so that a few long ones cannot keep out all other requests; their sum has a bound of its own.
 */

/** Bytes of the bodies of one request that do not count. */
const SHORT_BYTES_MAX = 256 * 1024;
/** Memory of a process without bodies under load, in bytes: its program, its heap and the buffers of its connections. */
const PROCESS_BYTES = 120_000_000;
/** Share of the other memory that bodies may take; the rest is for copies that have not been freed yet. */
const BODIES_SHARE = 0.7;
/** Share of the memory for bodies that is kept for short ones. */
const SHORT_SHARE = 0.25;
/** Smallest memory for bodies, in bytes, however little the process may take. */
const BODY_BYTES_MIN = 8_000_000;

/** Options of `BodyMemory`. */
export interface BodyMemoryOptions {
  /** Bytes that the counted parts of all bodies may take together. */
  bytesMax: number;
  /** Bytes that the parts that do not count may take together; unlimited by default. */
  shortBytesMax?: number;
  /** Called when bytes are refused, with the bytes that are counted then. */
  onFull?: (bytes: number) => void;
}

/** Returns the limits for a process that may take a number of bytes. */
export function bodyLimits(processBytesMax: number): { bytesMax: number; shortBytesMax: number } {
  const bytes = Math.max(BODY_BYTES_MIN, (processBytesMax - PROCESS_BYTES) * BODIES_SHARE);
  return { bytesMax: bytes * (1 - SHORT_SHARE), shortBytesMax: bytes * SHORT_SHARE };
}

/** The bytes of all bodies that one daemon holds. */
export class BodyMemory {
  readonly #options: BodyMemoryOptions;
  #bytes = 0;
  #shortBytes = 0;

  constructor(options: BodyMemoryOptions) {
    this.#options = options;
  }

  /** Bytes that are counted now. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Bytes of all bodies now. */
  get totalBytes(): number {
    return this.#bytes + this.#shortBytes;
  }

  /** Starts to count the bodies of one request. */
  open(): RequestMemory {
    return new RequestMemory((bytes, shortBytes) => this.#change(bytes, shortBytes));
  }

  #change(bytes: number, shortBytes: number): boolean {
    const { bytesMax, shortBytesMax = Infinity } = this.#options;
    const isLacking = bytes > 0 && this.#bytes + bytes > bytesMax ||
      shortBytes > 0 && this.#shortBytes + shortBytes > shortBytesMax;
    if (isLacking) {
      this.#options.onFull?.(this.totalBytes);
      return false;
    }
    this.#bytes += bytes;
    this.#shortBytes += shortBytes;
    return true;
  }
}

/** The bytes of the bodies of one request and its response. */
export class RequestMemory {
  readonly #change: (bytes: number, shortBytes: number) => boolean;
  #bytes = 0;

  constructor(change: (bytes: number, shortBytes: number) => boolean) {
    this.#change = change;
  }

  /** Adds bytes; returns false, and adds none, if all bodies together would take too many. */
  readonly take = (bytes: number): boolean => {
    const before = countLong(this.#bytes);
    const after = countLong(this.#bytes + bytes);
    if (!this.#change(after - before, bytes - (after - before))) {
      return false;
    }
    this.#bytes += bytes;
    return true;
  };

  /** Ends the count, once nothing holds the bodies any more. */
  release(): void {
    const long = countLong(this.#bytes);
    this.#change(-long, long - this.#bytes);
    this.#bytes = 0;
  }
}

/** Returns how many of the bytes of one request's bodies count. */
function countLong(bytes: number): number {
  return Math.max(0, bytes - SHORT_BYTES_MAX);
}
