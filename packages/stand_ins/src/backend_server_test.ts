import { createServer, request } from "node:http";
import { expect } from "chai";
import {
  type Announcement,
  announcementSchema,
  DEADLINE_HEADER,
  formatGrant,
  GRANT_HEADER,
  KEY_HEADER,
  REQUEST_ID_HEADER,
} from "@bulrushwood/backend";
import { BackendServer, type Work, WorkState } from "./backend_server.ts";
import { closeServer, listenOn, readText } from "./http_tools.ts";
import { findFreePort } from "./ports.ts";

const HOST = "127.0.0.1";
const REQUESTS = 20;
/** Shortest grant of a request, in milliseconds. */
const GRANT_MS = 300;
/** Resolution of the records and of the grants' ends, in milliseconds. */
const RESOLUTION_MS = 2;

/** Starts a server that checks grants, with a daemon that only takes its announcements. */
async function startServer(works: Set<Work>) {
  const [port, daemonPort] = [await findFreePort(), await findFreePort()];
  let announce: (announcement: Announcement) => void = () => {};
  const announced = new Promise<Announcement>((resolve) => announce = resolve);
  const daemon = createServer(async (incoming, response) => {
    announce(announcementSchema.parse(JSON.parse(await readText(incoming))));
    response.writeHead(204).end();
  });
  await listenOn(daemon, { host: HOST, port: daemonPort });
  const server = await BackendServer.start({
    host: HOST,
    port,
    daemon: `${HOST}:${daemonPort}`,
    pool: "almacen",
    slots: REQUESTS,
    connections: REQUESTS,
    checksGrants: true,
    serviceMs: 10_000,
    onWork: (work) => works.add(work),
  });
  const close = async () => {
    await server.close();
    await closeServer(daemon);
  };
  return { port, announcement: await announced, close };
}

describe("backend server stand-in", () => {
  it("records that work ended with its grant, also when the connection closes before it checks grants again", async () => {
    const works = new Set<Work>();
    const { port, announcement, close } = await startServer(works);
    for (let index = 0; index < REQUESTS; index++) {
      const untilMs = performance.now() + GRANT_MS + index;
      const grant = { life: announcement.life, group: index, token: `1.1.${index + 1}`, untilMs };
      const call = request({
        host: HOST,
        port,
        method: "POST",
        path: "/",
        agent: false,
        headers: {
          [REQUEST_ID_HEADER]: `r${index}`,
          [GRANT_HEADER]: formatGrant(grant),
          [KEY_HEADER]: `key-${index}`,
          [DEADLINE_HEADER]: "10000",
        },
      });
      call.on("error", () => {}).end();
      setTimeout(() => call.destroy(), untilMs - performance.now() + RESOLUTION_MS);
    }
    const startedAt = Date.now();
    await new Promise((resolve) => setTimeout(resolve, 2 * GRANT_MS));
    await close();
    expect(works.size).to.equal(REQUESTS);
    for (const work of works) {
      const index = Number(work.id.slice(1));
      expect(work.end, work.id).to.equal(WorkState.GrantLapsed);
      expect(work.endedAt - startedAt, work.id).to.be.at.most(GRANT_MS + index + RESOLUTION_MS);
    }
  });
});
