/**
 * Memory for the bodies of requests and responses that a daemon holds. One body may be as large as the operator allows,
 * and a faulty sender may send without end, so the sum of all bodies is bounded as well. Short bodies are always
 * accepted, so that a few long ones cannot keep out all other requests.
 */

/** Bytes of the bodies of one request that do not count. */
const SHORT_BYTES_MAX = 256 * 1024;

/** Options of `BodyMemory`. */
export interface BodyMemoryOptions {
  /** Bytes that the counted parts of all bodies may take together. */
  bytesMax: number;
}

/** The bytes of all bodies that one daemon holds. */
export class BodyMemory {
  readonly #bytesMax: number;
  #bytes = 0;

  constructor(options: BodyMemoryOptions) {
    this.#bytesMax = options.bytesMax;
  }

  /** Bytes that are counted now. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Starts to count the bodies of one request. */
  open(): RequestMemory {
    return new RequestMemory((bytes) => this.#change(bytes));
  }

  #change(bytes: number): boolean {
    if (bytes > 0 && this.#bytes + bytes > this.#bytesMax) {
      return false;
    }
    this.#bytes += bytes;
    return true;
  }
}

/** The bytes of the bodies of one request and its response. */
export class RequestMemory {
  readonly #change: (bytes: number) => boolean;
  #bytes = 0;
  #counted = 0;

  constructor(change: (bytes: number) => boolean) {
    this.#change = change;
  }

  /** Adds bytes; returns false, and adds none, if all bodies together would take too many. */
  readonly take = (bytes: number): boolean => {
    const more = Math.max(0, this.#bytes + bytes - SHORT_BYTES_MAX) - this.#counted;
    if (!this.#change(more)) {
      return false;
    }
    this.#bytes += bytes;
    this.#counted += more;
    return true;
  };

  /** Ends the count, once nothing holds the bodies any more. */
  release(): void {
    this.#change(-this.#counted);
    this.#bytes = 0;
    this.#counted = 0;
  }
}
