/**
 * Callers outside the limits of the deployment's pages: many send bodies at once, most of which never end, and keep
 * their connections open.
 */
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import type { Endpoint } from "@bulrushwood/deployment";
import { sleep } from "@bulrushwood/types";
import { HOST_NAME } from "./manifests.ts";
import type { Outside } from "./outside.ts";

/** Bytes that one write hands to a connection. */
const WRITE_BYTES = 16 * 1024;
/** Time without progress after which the rest of a body is not sent, in milliseconds. */
const STALLED_MS = 1_000;
const DEADLINE_MS = 60_000;

/** Body that each caller of a crowd sends. */
export interface CrowdBody {
  /** Length that the head announces; chunked where left out. */
  announcedBytes?: number;
  /** Bytes that are sent of it. */
  sentBytes: number;
  /** Bytes of one chunk, or of one write of an announced body. */
  partBytes: number;
  /** Pause after each write, in milliseconds; none where left out. */
  pauseMs?: number;
}

/** Options of a crowd. */
export interface CrowdOptions {
  endpoint: Endpoint;
  outside: Outside;
  path: string;
  /** Number of callers. */
  callers: number;
  /** Distinguishes the request ids of this crowd from others. */
  name: string;
  body: CrowdBody;
}

/** Callers whose connections stay open until `close`. */
export class Crowd {
  readonly #options: CrowdOptions;
  readonly #sockets: Socket[] = [];

  constructor(options: CrowdOptions) {
    this.#options = options;
  }

  /** Sends all bodies at the same time; resolves when no caller can send any more. */
  async send(): Promise<void> {
    const { callers } = this.#options;
    await Promise.all(Array.from({ length: callers }, (_, index) => this.#sendOne(index)));
  }

  async #sendOne(index: number): Promise<void> {
    const { endpoint: { host, port }, outside, path, name, body } = this.#options;
    const socket = connect(port, host).on("error", () => {});
    // Responses are read, so that only the bodies take up memory.
    socket.resume();
    this.#sockets.push(socket);
    const headers = outside.callerHeaders({ id: `${name}-${index}`, deadlineMs: DEADLINE_MS });
    const { announcedBytes, sentBytes, partBytes, pauseMs = 0 } = body;
    const isChunked = announcedBytes === undefined;
    const framing = isChunked ? "transfer-encoding: chunked" : `content-length: ${announcedBytes}`;
    const lines = Object.entries(headers).map(([header, value]) => `${header}: ${value}\r\n`);
    socket.write(
      `POST ${path} HTTP/1.1\r\nhost: ${HOST_NAME}\r\n${lines.join("")}${framing}\r\n\r\n`,
    );
    const part = createPart(partBytes, { isChunked });
    const partsPerWrite = Math.max(1, Math.floor(WRITE_BYTES / part.length));
    for (let sent = 0; sent < sentBytes;) {
      const parts = Math.min(partsPerWrite, Math.ceil((sentBytes - sent) / partBytes));
      const isWhole = sent + parts * partBytes <= sentBytes;
      const bytes = Buffer.concat(Array.from({ length: parts }, () => part));
      socket.write(isWhole || isChunked ? bytes : bytes.subarray(0, sentBytes - sent));
      sent += parts * partBytes;
      if (!await waitForRoom(socket)) {
        return;
      }
      await sleep(pauseMs);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }
}

function createPart(bytes: number, { isChunked }: { isChunked: boolean }): Buffer {
  const data = "x".repeat(bytes);
  return Buffer.from(isChunked ? `${bytes.toString(16)}\r\n${data}\r\n` : data);
}

/** Resolves to whether a connection takes more bytes. */
async function waitForRoom(socket: Socket): Promise<boolean> {
  if (!socket.writable) {
    return false;
  }
  if (!socket.writableNeedDrain) {
    return true;
  }
  return await new Promise((resolve) => {
    const settle = () => {
      clearTimeout(timer);
      socket.off("drain", settle).off("close", settle);
      resolve(socket.writable && !socket.writableNeedDrain);
    };
    const timer = setTimeout(settle, STALLED_MS);
    socket.on("drain", settle).on("close", settle);
  });
}
