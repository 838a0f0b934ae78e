/**
 * The two ends of a body that is streamed in parts, with credit-based flow control: the sender may send only
 * as many bytes as the receiver has granted as credit, so a receiver that stops reading blocks only its own
 * stream.
 */
import type { Buffer } from "node:buffer";

/** Initial credit of a stream: granted when the receiver starts to read, or present at once, in bytes. */
export const INITIAL_CREDIT_BYTES = 256 * 1024;
/**
 * Initial credit of a request's body, in bytes; a twentieth of a second at 10 Mbit/s. The bodies that many daemons
 * send to one must not fill the queue of its link, since every other message waits in it.
 */
export const REQUEST_CREDIT_BYTES = 64 * 1024;
/** Share of the initial credit that is read before credit is granted again. */
const CREDIT_STEP = 0.5;
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

  /** Whether the body is complete or the stream has ended. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Adds credit that the receiver granted. */
  addCredit(bytes: number): void {
    this.#creditBytes += bytes;
    this.#wake?.();
  }

  /** Deducts bytes that were sent in the stream's first frame. */
  spend(bytes: number): void {
    this.#creditBytes -= bytes;
  }

  /** Waits for credit; returns false once the stream has ended. */
  async awaitCredit(): Promise<boolean> {
    while (this.#creditBytes <= 0 && !this.#ended) {
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
    return !this.#ended;
  }

  /** Sends data in parts as credit allows; returns false once the stream has ended. */
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

  /** Completes the body with a last part, which is sent without waiting for credit. */
  end(last: Buffer): void {
    if (!this.#ended) {
      this.#ended = true;
      this.#sendPart(last, true);
    }
  }

  /** Ends the stream without completing the body; a pending write returns false. */
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

  /** Credit to grant when the reader starts, in bytes. */
  #openingCreditBytes: number;
  /** Number of bytes that are read before credit is granted for them. */
  readonly #stepBytes: number;
  /** Bytes that were read since credit was granted last. */
  #readBytes = 0;

  constructor(
    grantCredit: (bytes: number) => void,
    options: { openingCreditBytes: number },
  ) {
    this.#grantCredit = grantCredit;
    this.#openingCreditBytes = options.openingCreditBytes;
    this.#stepBytes = options.openingCreditBytes * CREDIT_STEP;
  }

  /** Adds a part that arrived. */
  push(part: Buffer | undefined, end: boolean): void {
    if (part !== undefined && part.length > 0) {
      this.#parts.push(part);
    }
    this.#ended ||= end;
    this.#wake?.();
  }

  /** Ends an incomplete body with an error, which the reader gets after the parts that arrived. */
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

  /** Removes and returns the only part of a body for which `isWhole` is true, if it has one. */
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
        this.#readBytes += part.length;
        if (this.#readBytes >= this.#stepBytes && !this.#ended) {
          this.#grantCredit(this.#readBytes);
          this.#readBytes = 0;
        }
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
