/**
 * Buffers the whole body of a small request or response.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Reads a body to its end; undefined when it is incomplete. */
export function readBody(message: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    message.on("data", (chunk: Buffer) => chunks.push(chunk));
    message.on("end", () => resolve(message.complete ? joinChunks(chunks) : undefined));
    message.on("error", () => resolve(undefined));
    message.on("close", () => resolve(undefined));
  });
}

function joinChunks(chunks: Buffer[]): Buffer {
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
