/**
 * Finds free ports, for tests that listen in their own process.
 */
import { createServer } from "node:net";

/** Returns a port on which nothing listens; another process may take it before it is used. */
export function findFreePort(host = "127.0.0.1"): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, host, () => {
      const address = server.address();
      const port = typeof address === "object" && address !== null ? address.port : 0;
      server.close(() => resolve(port));
    });
  });
}
