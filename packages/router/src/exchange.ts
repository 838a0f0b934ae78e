/**
 * Requests and responses on the links between daemons. Short bodies are sent in the first frame; long bodies
 * follow in parts with credit-based flow control, so that they do not delay the frames of other requests.
 */
import { Buffer } from "node:buffer";
import {
  type IncomingExchange,
  type Link,
  type OutgoingExchange,
  type RequestHead,
} from "@bulrushwood/protocol";
import type { RoutedResponse } from "@bulrushwood/routing";

/** Largest body that is sent in the first frame, in bytes; longer ones are sent once the peer requests them. */
const FIRST_FRAME_BYTES = 16 * 1024;

/** Joins all parts of a body; undefined if there are none. */
export async function readParts(parts: AsyncIterable<Buffer>): Promise<Buffer | undefined> {
  const all: Buffer[] = [];
  for await (const part of parts) {
    all.push(part);
  }
  return all.length === 0 ? undefined : Buffer.concat(all);
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
  const exchange = link.open(head, { end: false });
  exchange.requestBody.write(body).then((isOpen) => {
    if (isOpen) {
      exchange.requestBody.end(Buffer.alloc(0));
    }
  });
  return exchange;
}

/** Reads the whole response to a request on a link. */
export async function readResponse(exchange: OutgoingExchange): Promise<RoutedResponse> {
  const { head, body } = await exchange.response;
  return { head, body: body.isWhole ? body.takeWhole() : await readParts(body) };
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
  exchange.respond(head, undefined, false);
  if (await exchange.responseBody.write(bytes)) {
    exchange.responseBody.end(Buffer.alloc(0));
  }
}
