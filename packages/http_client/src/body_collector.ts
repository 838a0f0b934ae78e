/**
 * Collects the parts of a body. A body whose length is known is collected in one buffer, so that it never takes twice its
 * length. Each part that Node.js reads of another body is a buffer of its own, which takes several hundred bytes also if
 * it holds one, so short parts are copied into blocks.
 */
import { Buffer } from "node:buffer";

/** Length from which on a part is kept as it is, in bytes. */
const LONG_PART_BYTES = 16 * 1024;
/** Sizes of the blocks that short parts are copied into, in bytes; a body's blocks grow with it. */
const BLOCK_BYTES = { least: 1024, most: 64 * 1024 };

/** Why a body was not collected. */
export enum BodyFailure {
  /** It has more bytes than are allowed, or than it announced. */
  TooLarge = "too-large",
  /** The memory for bodies is used up. */
  NoMemory = "no-memory",
  /** Its message ended before it was whole. */
  CutShort = "cut-short",
  /** It was not whole in time. */
  Late = "late",
}

/** Options of `BodyCollector`. */
export interface BodyCollectorOptions {
  /** Length that the sender announced, in bytes. */
  length?: number;
  /** Largest length, in bytes. */
  bytesMax: number;
  /** Takes memory for some bytes; returns false where there is none. By default there always is. */
  take?: (bytes: number) => boolean;
}

/** Collects one body. */
export class BodyCollector {
  readonly #options: BodyCollectorOptions;
  #whole: Buffer | undefined;
  /** Long parts and full blocks. */
  #parts: Buffer[] = [];
  /** Block that short parts are copied into, and how many of its bytes are in use. */
  #block: { buffer: Buffer; bytes: number } | undefined;
  #bytes = 0;
  #failure: BodyFailure | undefined;

  constructor(options: BodyCollectorOptions) {
    this.#options = options;
    const { length, bytesMax } = options;
    if (length !== undefined && length <= bytesMax && this.#take(length)) {
      this.#whole = Buffer.allocUnsafe(length);
    } else if (length !== undefined) {
      this.#fail(length > bytesMax ? BodyFailure.TooLarge : BodyFailure.NoMemory);
    }
  }

  /** Why the body cannot be collected; undefined while it can. */
  get failure(): BodyFailure | undefined {
    return this.#failure;
  }

  /** Adds the next part; returns false if the body cannot be collected. */
  add(part: Buffer): boolean {
    if (this.#failure !== undefined) {
      return false;
    }
    const start = this.#bytes;
    this.#bytes += part.length;
    if (this.#bytes > (this.#whole?.length ?? this.#options.bytesMax)) {
      return this.#fail(BodyFailure.TooLarge);
    }
    if (this.#whole !== undefined) {
      part.copy(this.#whole, start);
      return true;
    }
    const isAdded = part.length >= LONG_PART_BYTES ? this.#addLong(part) : this.#addShort(part);
    return isAdded || this.#fail(BodyFailure.NoMemory);
  }

  #addLong(part: Buffer): boolean {
    if (!this.#take(part.length)) {
      return false;
    }
    this.#endBlock();
    this.#parts.push(part);
    return true;
  }

  #addShort(part: Buffer): boolean {
    const room = this.#block === undefined ? 0 : this.#block.buffer.length - this.#block.bytes;
    if (part.length > room) {
      const { least, most } = BLOCK_BYTES;
      const size = Math.max(part.length, Math.min(most, Math.max(least, this.#bytes)));
      if (!this.#take(size)) {
        return false;
      }
      this.#endBlock();
      this.#block = { buffer: Buffer.allocUnsafeSlow(size), bytes: 0 };
    }
    const block = this.#block!;
    part.copy(block.buffer, block.bytes);
    block.bytes += part.length;
    return true;
  }

  #endBlock(): void {
    if (this.#block !== undefined) {
      this.#parts.push(this.#block.buffer.subarray(0, this.#block.bytes));
      this.#block = undefined;
    }
  }

  /** Returns what was collected, and forgets it. */
  end(): Buffer {
    this.#endBlock();
    const whole = this.#whole?.subarray(0, this.#bytes) ??
      (this.#parts.length === 1 ? this.#parts[0] : Buffer.concat(this.#parts));
    this.forget();
    return whole;
  }

  #take(bytes: number): boolean {
    return this.#options.take?.(bytes) ?? true;
  }

  #fail(failure: BodyFailure): false {
    this.#failure = failure;
    this.forget();
    return false;
  }

  /** Frees what was collected. */
  forget(): void {
    this.#whole = undefined;
    this.#parts = [];
    this.#block = undefined;
  }
}
