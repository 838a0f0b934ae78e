import { request as sendRequest } from "node:http";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { OUTSIDE } from "@bulrushwood/platform/outside";
import { now, sleep } from "@bulrushwood/types";
import { Crowd, type CrowdBody } from "./crowd.ts";
import { Deployment } from "./deployment.ts";
import { HOST_NAME, RoutePrefix } from "./manifests.ts";

const BINARY = "dist/bulrushwood";
const DAEMONS = 3;
const MB = 1_000_000;
/** Memory that the settings allow each daemon; a process without requests takes half of it. */
const MEMORY_BYTES = 200 * MB;
/** Largest body that the manifest allows. */
const BODY_BYTES_MAX = 4 * MB;
const SOCKETS_MAX = 300;
/** Descriptors of a daemon that are no sockets. */
const FILES_MAX = 60;
const SAMPLE_MS = 50;
/** Time for which the crowd keeps its connections open after its last byte, in milliseconds. */
const OPEN_MS = 2_000;
/** Time in which an ordinary request is answered, also if it is refused and returns, in milliseconds. */
const ANSWER_MS = 30_000;
const RETURN_MS = 500;

interface Crowds {
  callers: number;
  body: CrowdBody;
}

const CROWDS: Record<string, Crowds> = {
  "whole bodies of legal size that stop before their last byte": {
    callers: 48,
    body: {
      announcedBytes: BODY_BYTES_MAX,
      sentBytes: BODY_BYTES_MAX - 1,
      partBytes: BODY_BYTES_MAX,
    },
  },
  "bodies of legal size piece by piece that stop before their last byte": {
    callers: 48,
    body: {
      announcedBytes: BODY_BYTES_MAX,
      sentBytes: BODY_BYTES_MAX - 1,
      partBytes: 16_000,
      pauseMs: 1,
    },
  },
  "bodies in large chunks without their end": {
    callers: 48,
    body: { sentBytes: BODY_BYTES_MAX, partBytes: 250_000 },
  },
  "bodies in chunks of one byte without their end": {
    callers: 8,
    body: { sentBytes: 500_000, partBytes: 1 },
  },
  "announced bodies far over the limit": {
    callers: 48,
    body: { announcedBytes: 1_000 * MB, sentBytes: 8 * MB, partBytes: 64_000 },
  },
  "bodies far over the limit that are not announced": {
    callers: 48,
    body: { sentBytes: 16 * MB, partBytes: 64_000 },
  },
};

/** Sends an ordinary request, and resolves to the status of its response; 0 without one. */
function sendOrdinary(deployment: Deployment, id: string): Promise<number> {
  const [{ machine }] = deployment.nodes;
  return new Promise((resolve) => {
    const call = sendRequest({
      ...machine.settings.listen.callers,
      agent: false,
      method: "POST",
      path: `${RoutePrefix.Orders}sized`,
      headers: { host: HOST_NAME, ...OUTSIDE.callerHeaders({ id, deadlineMs: 5_000 }) },
    });
    call.on("response", (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode ?? 0));
      response.on("error", () => resolve(0));
    });
    call.on("error", () => resolve(0));
    call.end("x".repeat(1_000));
  });
}

describe("callers outside the limits", () => {
  let deployment: Deployment;
  let folder: string;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), "bulrushwood-crowd-"));
    deployment = await Deployment.start({
      seed: 1,
      daemons: DAEMONS,
      binary: BINARY,
      folder,
      outside: OUTSIDE,
      hasProxies: false,
      memoryBytes: MEMORY_BYTES,
      socketsMax: SOCKETS_MAX,
      bodyBytesMax: BODY_BYTES_MAX,
    });
    await sleep(1_500);
  });
  afterEach(async () => {
    await deployment.close();
    rmSync(folder, { recursive: true, force: true });
  });

  for (const [name, { callers, body }] of Object.entries(CROWDS)) {
    // Guards against a daemon that runs out of memory or descriptors, or answers nobody else.
    it(`keep within its memory a daemon that gets ${name}`, async () => {
      const crowds = deployment.nodes.slice(0, 2).map(({ machine }) =>
        new Crowd({
          endpoint: machine.settings.listen.callers,
          outside: OUTSIDE,
          path: `${RoutePrefix.Orders}sized`,
          callers: callers / 2,
          name: machine.name,
          body,
        })
      );
      let isOver = false;
      const sample = async () => {
        while (!isOver) {
          deployment.nodes.forEach(({ daemon }) => daemon.read());
          await sleep(SAMPLE_MS);
        }
      };
      const sampled = sample();
      await Promise.all(crowds.map((crowd) => crowd.send()));
      await sleep(OPEN_MS);
      const until = now() + ANSWER_MS;
      let status = 0;
      for (let tries = 0; status !== 200 && now() < until; tries++) {
        status = await sendOrdinary(deployment, `ordinary-${tries}`);
        await sleep(status === 200 ? 0 : RETURN_MS);
      }
      crowds.forEach((crowd) => crowd.close());
      isOver = true;
      await sampled;
      for (const { daemon } of deployment.nodes) {
        expect([...daemon.ends], `${daemon.name} goes on`).to.have.length(0);
        const { memoryBytes, descriptors } = daemon.peak;
        expect(memoryBytes, `memory of ${daemon.name}`).to.be.at.most(MEMORY_BYTES);
        expect(descriptors, `descriptors of ${daemon.name}`)
          .to.be.at.most(SOCKETS_MAX + FILES_MAX);
      }
      expect(status).to.equal(200);
    });
  }
});
