/**
 * HTTP helpers that the log and backend server stand-ins share.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

/** Reads the body of a message. */
export async function readBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Reads the body of a request as UTF-8 text. */
export async function readText(request: IncomingMessage): Promise<string> {
  return (await readBody(request)).toString("utf8");
}

/** Sends a response with a JSON body. */
export function sendJson(
  response: ServerResponse,
  status: number,
  document: object,
): void {
  const body = Buffer.from(JSON.stringify(document));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  response.end(body);
}

/** Starts to listen, and resolves once the socket is bound. */
export function listenOn(
  server: Server,
  options: { host: string; port: number },
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

/** Closes a server with its open connections, and resolves once it no longer listens. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
