/**
 * Collects the parts of a body. A body whose length is known is collected in one buffer, so that it never takes twice its
 * length.
 */
import { Buffer } from "node:buffer";

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
  #parts: Buffer[] = [];
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
    } else if (this.#take(part.length)) {
      this.#parts.push(part);
    } else {
      return this.#fail(BodyFailure.NoMemory);
    }
    return true;
  }

  /** Returns what was collected, and forgets it. */
  end(): Buffer {
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
  }
}
