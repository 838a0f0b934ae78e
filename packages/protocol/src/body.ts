/**
 * The two ends of a body that is sent in parts. The sender may only send what the receiver has granted
 * as credit, so a receiver that stops reading holds up its own stream and no other.
 */
import type { Buffer } from "node:buffer";

/** Credit that a sender has, or is granted, when the receiver is ready to read, in bytes. */
export const INITIAL_CREDIT_BYTES = 256 * 1024;
/** Largest part of a body in one frame, in bytes. */
export const PART_BYTES_MAX = 32 * 1024;

type SendPart = (part: Buffer, end: boolean) => void;

/** The sending end of a body. */
export class BodySender {
  readonly #sendPart: SendPart;
  #creditBytes: number;
  #wake: (() => void) | undefined;
  #ended = false;

  constructor(sendPart: SendPart, options: { creditBytes: number }) {
    this.#sendPart = sendPart;
    this.#creditBytes = options.creditBytes;
  }

  /** Whether the body is complete or the stream is over. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Takes credit that the receiver granted. */
  addCredit(bytes: number): void {
    this.#creditBytes += bytes;
    this.#wake?.();
  }

  /** Counts bytes that went out inside the stream's first frame. */
  spend(bytes: number): void {
    this.#creditBytes -= bytes;
  }

  /** Waits until the receiver is ready to read; returns false once the stream is over. */
  async awaitCredit(): Promise<boolean> {
    while (this.#creditBytes <= 0 && !this.#ended) {
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
    return !this.#ended;
  }

  /** Sends data, waiting for credit; returns false once the stream is over. */
  async write(data: Buffer): Promise<boolean> {
    let position = 0;
    while (position < data.length) {
      if (!(await this.awaitCredit())) {
        return false;
      }
      const size = Math.min(
        PART_BYTES_MAX,
        this.#creditBytes,
        data.length - position,
      );
      this.#creditBytes -= size;
      this.#sendPart(data.subarray(position, position + size), false);
      position += size;
    }
    return !this.#ended;
  }

  /** Completes the body. */
  end(last: Buffer): void {
    if (!this.#ended) {
      this.#ended = true;
      this.#sendPart(last, true);
    }
  }

  /** Stops sending; a waiting write returns false. */
  abort(): void {
    this.#ended = true;
    this.#wake?.();
  }
}

/** The receiving end of a body: an async iterable of its parts. */
export class BodyReceiver implements AsyncIterable<Buffer> {
  readonly #grantCredit: (bytes: number) => void;
  readonly #parts: Buffer[] = [];
  #ended = false;
  #error: Error | undefined;
  #wake: (() => void) | undefined;

  /** Credit to grant once somebody begins to read, in bytes. */
  #openingCreditBytes: number;

  constructor(
    grantCredit: (bytes: number) => void,
    options: { openingCreditBytes: number },
  ) {
    this.#grantCredit = grantCredit;
    this.#openingCreditBytes = options.openingCreditBytes;
  }

  /** Takes a part that arrived. */
  push(part: Buffer | undefined, end: boolean): void {
    if (part !== undefined && part.length > 0) {
      this.#parts.push(part);
    }
    this.#ended ||= end;
    this.#wake?.();
  }

  /** Ends the body before its time; the reader gets the error after the parts that came. */
  fail(error: Error): void {
    if (!this.#ended) {
      this.#error ??= error;
      this.#wake?.();
    }
  }

  /** Whether the body is complete and has arrived as one part or none. */
  get isWhole(): boolean {
    return this.#ended && this.#parts.length <= 1;
  }

  /** With `isWhole`: takes the body's only part, if it has one. */
  takeWhole(): Buffer | undefined {
    return this.#parts.shift();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Buffer> {
    if (this.#openingCreditBytes > 0 && !this.#ended) {
      this.#grantCredit(this.#openingCreditBytes);
      this.#openingCreditBytes = 0;
    }
    while (true) {
      const part = this.#parts.shift();
      if (part !== undefined) {
        yield part;
        this.#grantCredit(part.length);
        continue;
      }
      if (this.#error !== undefined) {
        throw this.#error;
      }
      if (this.#ended) {
        return;
      }
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }
}
