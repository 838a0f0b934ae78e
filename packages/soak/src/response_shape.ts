/**
 * The ways in which stand-in backend servers send a response.
 */
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { sleep } from "@bulrushwood/types";

/** How a response is sent; the last part of a request's path names it. */
export enum ResponseShape {
  /** With its length, at once. */
  Sized = "sized",
  /** In chunks over a fifth of a second. */
  Chunked = "chunked",
  /** As a stream of over a second. */
  Streamed = "streamed",
  /** Without a length; its end is the end of the connection. */
  Closed = "closed",
  /** With its length, in two parts. */
  Halved = "halved",
}

const PARTS: Record<ResponseShape, { count: number; everyMs: number }> = {
  [ResponseShape.Sized]: { count: 1, everyMs: 0 },
  [ResponseShape.Chunked]: { count: 5, everyMs: 40 },
  [ResponseShape.Streamed]: { count: 20, everyMs: 60 },
  [ResponseShape.Closed]: { count: 2, everyMs: 100 },
  [ResponseShape.Halved]: { count: 2, everyMs: 150 },
};

const SIZED_SHAPES = [ResponseShape.Sized, ResponseShape.Halved];

/** Sends a successful response, and resolves when it is sent or its connection has closed. */
export async function sendShape(
  response: ServerResponse,
  options: { shape: ResponseShape; headers: OutgoingHttpHeaders; body: string },
): Promise<void> {
  const { shape, headers, body } = options;
  const { count, everyMs } = PARTS[shape];
  if (SIZED_SHAPES.includes(shape)) {
    response.setHeader("content-length", body.length);
  }
  if (shape === ResponseShape.Closed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, headers);
  const partLength = Math.ceil(body.length / count);
  for (let part = 0; part < count && !response.destroyed; part++) {
    response.write(body.slice(part * partLength, (part + 1) * partLength));
    await sleep(part < count - 1 ? everyMs : 0);
  }
  response.end();
}
