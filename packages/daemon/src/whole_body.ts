/**
 * Reads the whole body of a request or an answer that is short.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Reads a whole body; undefined when it was cut short. */
export function readWhole(message: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    message.on("data", (part: Buffer) => parts.push(part));
    message.on("end", () => resolve(message.complete ? joinParts(parts) : undefined));
    message.on("error", () => resolve(undefined));
    message.on("close", () => resolve(undefined));
  });
}

function joinParts(parts: Buffer[]): Buffer {
  return parts.length === 1 ? parts[0] : Buffer.concat(parts);
}
