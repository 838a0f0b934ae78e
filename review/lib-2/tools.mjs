/** Helpers of the stand-ins. */
import { createServer } from "node:net";

/** Lets a server listen; rejects if it cannot. */
export function listen(server, host, port) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      server.on("error", () => {});
      resolve();
    });
  });
}

/** Reads a whole message. */
export async function readAll(message) {
  const parts = [];
  for await (const part of message) {
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/** Returns a port that is free at an address now. */
export async function freePort(host) {
  const server = createServer();
  await listen(server, host, 0);
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}
