import { createServer, type Server, type Socket } from "node:net";
import { expect } from "chai";
import { now, sleep } from "@bulrushwood/types";
import { AcceptanceProbe } from "./acceptance_probe.ts";

/** Time in which several probes are sent, and each of them would have timed out, in milliseconds. */
const PROBED_MS = 2_500;
/** Time after which a probe that is not accepted shows, in milliseconds. */
const TIMED_OUT_MS = 1_500;

/** Listens at an address of this machine; while `isStuck` returns true, connections are closed instead of recorded. */
async function startProbe(host: string, isStuck: () => boolean) {
  const accepted: boolean[] = [];
  const server: Server = createServer((socket: Socket) => {
    socket.on("error", () => {});
    if (isStuck()) {
      socket.destroy();
    } else {
      accepted.push(probe.recordAccepted(socket));
    }
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const { port } = server.address() as { port: number };
  const probe = new AcceptanceProbe({ endpoint: { host, port }, now });
  probe.start();
  const close = async () => {
    probe.close();
    await new Promise((resolve) => server.close(resolve));
  };
  return { probe, accepted, close };
}

describe("acceptance probe", () => {
  // Guards against a daemon that is never ready, since probes come from another address than they go to.
  for (const host of ["127.0.0.1", "127.0.0.9"]) {
    it(`finds that connections to ${host} are accepted`, async () => {
      const { probe, accepted, close } = await startProbe(host, () => false);
      const until = now() + PROBED_MS;
      while (now() < until) {
        expect(probe.isAccepted).to.equal(true);
        await sleep(20);
      }
      expect(accepted.length).to.be.at.least(3);
      expect(accepted).to.not.include(false);
      await close();
    });
  }

  it("finds that connections are not accepted, and that they are again", async () => {
    let isStuck = true;
    const { probe, close } = await startProbe("127.0.0.1", () => isStuck);
    await sleep(TIMED_OUT_MS);
    expect(probe.isAccepted).to.equal(false);
    isStuck = false;
    await sleep(TIMED_OUT_MS);
    expect(probe.isAccepted).to.equal(true);
    await close();
  });
});
