/**
 * Requests and responses on the links between daemons. Short bodies are sent in the first frame; long bodies
 * follow in parts with credit-based flow control, so that they do not delay the frames of other requests.
 */
import { Buffer } from "node:buffer";
import type { RequestMemory } from "@bulrushwood/admission";
import { BodyCollector, type BodyFailure } from "@bulrushwood/http_client";
import {
  type IncomingExchange,
  type Link,
  type OutgoingExchange,
  type RequestHead,
} from "@bulrushwood/protocol";
import type { RoutedResponse } from "@bulrushwood/routing";

/** Largest body that is sent in the first frame, in bytes; longer ones are sent once the peer requests them. */
const FIRST_FRAME_BYTES = 16 * 1024;

/** Largest body of a request or response between daemons, in bytes; larger ones are refused where they come from. */
const BODY_BYTES_MAX = 256 * 1024 * 1024;

/**
 * Joins all parts of a body; undefined if there are none. Rejects with an error if there is no memory for it, which may
 * show before the first part is requested.
 */
export async function readParts(
  parts: AsyncIterable<Buffer>,
  options: { length?: number; memory?: RequestMemory; onPart?: () => void },
): Promise<Buffer | undefined> {
  const { length, memory, onPart } = options;
  const body = new BodyCollector({ length, bytesMax: BODY_BYTES_MAX, take: memory?.take });
  let isEmpty = true;
  if (body.failure === undefined) {
    for await (const part of parts) {
      isEmpty = false;
      onPart?.();
      if (!body.add(part)) {
        break;
      }
    }
  }
  if (body.failure !== undefined) {
    throw new BodyError(body.failure);
  }
  return isEmpty ? undefined : body.end();
}

/** A body that cannot be held here. */
export class BodyError extends Error {
  constructor(failure: BodyFailure) {
    super(`The body cannot be held here: ${failure}`);
    this.name = "BodyError";
  }
}

/** Sends a request on a link. */
export function openExchange(
  link: Link,
  head: RequestHead,
  options: { body: Buffer | undefined },
): OutgoingExchange {
  const { body } = options;
  if (body === undefined || body.length <= FIRST_FRAME_BYTES) {
    return link.open(head, { body, end: true });
  }
  const exchange = link.open({ ...head, bodyBytes: body.length }, { end: false });
  exchange.requestBody.write(body).then((isOpen) => {
    if (isOpen) {
      exchange.requestBody.end(Buffer.alloc(0));
    }
  });
  return exchange;
}

/** Reads the whole response to a request on a link; rejects with a `BodyError` if there is no memory for its body. */
export async function readResponse(
  exchange: OutgoingExchange,
  memory?: RequestMemory,
): Promise<RoutedResponse> {
  const { head, body } = await exchange.response;
  if (body.isWhole) {
    return { head, body: body.takeWhole() };
  }
  try {
    return { head, body: await readParts(body, { length: head.bodyBytes ?? undefined, memory }) };
  } catch (error) {
    exchange.cancel();
    throw error;
  }
}

/** Sends the response to a request from a link. */
export async function sendResponse(
  exchange: IncomingExchange,
  { head, body }: RoutedResponse,
): Promise<void> {
  const bytes = Buffer.isBuffer(body) ? body : undefined;
  if (bytes === undefined || bytes.length <= FIRST_FRAME_BYTES) {
    exchange.respond(head, bytes, true);
    return;
  }
  exchange.respond({ ...head, bodyBytes: bytes.length }, undefined, false);
  if (await exchange.responseBody.write(bytes)) {
    exchange.responseBody.end(Buffer.alloc(0));
  }
}
