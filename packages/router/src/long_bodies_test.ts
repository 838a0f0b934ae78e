import { Buffer } from "node:buffer";
import { expect } from "chai";
import { BodyMemory } from "@bulrushwood/admission";
import { findFreePort } from "@bulrushwood/stand_ins";
import { type IncomingExchange, type Link, Links } from "@bulrushwood/protocol";
import { now, Outcome, sleep } from "@bulrushwood/types";
import { BodyError, openExchange, readResponse, sendResponse } from "./exchange.ts";
import { REQUEST_HEAD } from "./head_fixture.ts";
import { LongBodies } from "./long_bodies.ts";

const HOST = "127.0.0.1";
const UPLOAD = Buffer.alloc(60_000, "u");
/** Body that is not so short that it is always accepted. */
const LARGE = Buffer.alloc(400_000, "l");
const UPLOADS = 30;
/** Most bytes of uploads that may be on their way to a daemon at once; a tenth of a second at 20 Mbit/s. */
const BYTES_MAX = 250_000;

async function withLink(
  onRequest: (exchange: IncomingExchange) => void,
  test: (link: Link, receiver: Links) => Promise<void>,
): Promise<void> {
  const [receiver, sender] = await Promise.all([onRequest, () => {}].map(async (handler) => {
    const port = await findFreePort();
    const links = await Links.listen({
      self: `${HOST}:${port}`,
      host: HOST,
      port,
      handlers: {
        onCall: (_method, payload) => Promise.resolve(payload),
        onRequest: handler,
        onMalformed: () => {},
      },
    });
    return { links, address: `${HOST}:${port}` };
  }));
  const linked = await sender.links.get(receiver.address);
  try {
    await test(linked.isOk ? linked.value : undefined!, receiver.links);
  } finally {
    await Promise.all([sender.links.close(), receiver.links.close()]);
  }
}

function upload(link: Link, fields: { id?: string; remainingMs?: number } = {}) {
  return openExchange(link, { ...REQUEST_HEAD, remainingMs: 5_000, ...fields }, { body: UPLOAD });
}

/** Receives the bodies of all requests and responds to them. */
function receiveAll(longBodies: LongBodies, received: string[]) {
  return async (exchange: IncomingExchange) => {
    const request = await longBodies.receive(exchange).catch(() => undefined);
    if (request === undefined) {
      return;
    }
    if ("rejection" in request) {
      await sendResponse(exchange, request.rejection);
      return;
    }
    received.push(`${request.head.id} ${request.body?.length}`);
    await sendResponse(exchange, { head: { status: 200, headers: [] }, body: undefined });
  };
}

describe("uploads to a busy daemon", () => {
  it("do not delay all other messages on its link by arriving before the daemon requests them", async () => {
    const exchanges: IncomingExchange[] = [];
    await withLink((exchange) => exchanges.push(exchange), async (link, receiver) => {
      const before = receiver.bytes;
      const responses = Array.from({ length: UPLOADS }, () => upload(link));
      await sleep(200);
      expect(exchanges).to.have.length(UPLOADS);
      expect(receiver.bytes - before).to.be.below(BYTES_MAX);
      responses.forEach((exchange) => exchange.cancel());
    });
  });

  it("arrive a few at a time, each whole", async () => {
    const longBodies = new LongBodies();
    const received: string[] = [];
    const handle = receiveAll(longBodies, received);
    await withLink(handle, async (link) => {
      const responses = Array.from(
        { length: UPLOADS },
        (_, index) => upload(link, { id: `r${index}` }),
      );
      const statuses = await Promise.all(responses.map(async (exchange) => {
        return (await readResponse(exchange)).head.status;
      }));
      expect(statuses.filter((status) => status === 200)).to.have.length(UPLOADS);
      expect(received).to.have.members(responses.map((_, index) => `r${index} ${UPLOAD.length}`));
    });
  });

  it("have at most a tenth of a second of a 10 Mbit/s link on their way", async () => {
    const longBodies = new LongBodies();
    let unread = 0;
    const handle = async (exchange: IncomingExchange) => {
      // Parts that arrive are not read for a while, as if they still were on the link.
      exchange.requestBody.push = (part) => {
        unread += part?.length ?? 0;
      };
      await longBodies.receive(exchange).catch(() => undefined);
    };
    await withLink(handle, async (link) => {
      const responses = Array.from({ length: UPLOADS }, () => {
        return openExchange(link, REQUEST_HEAD, { body: Buffer.alloc(300_000) });
      });
      await sleep(150);
      expect(unread).to.be.within(60_000, 10e6 / 8 / 10 + 10_000);
      responses.forEach((exchange) => exchange.cancel());
    });
  });

  it("do not wait for one whose sender has stalled", async () => {
    const longBodies = new LongBodies();
    const received: string[] = [];
    await withLink(receiveAll(longBodies, received), async (link) => {
      const stalled = Array.from({ length: 2 }, (_, index) => {
        return link.open({ ...REQUEST_HEAD, id: `stalled-${index}`, remainingMs: 5_000 }, {
          end: false,
        });
      });
      await sleep(50);
      const startedAt = now();
      const response = await readResponse(upload(link));
      expect(response.head.status).to.equal(200);
      expect(now() - startedAt).to.be.below(500);
      stalled.forEach((exchange) => exchange.cancel());
    });
  });

  it("are rejected before they are sent if they would not arrive in time", async () => {
    const longBodies = new LongBodies();
    const received: string[] = [];
    await withLink(receiveAll(longBodies, received), async (link, receiver) => {
      const stalled = Array.from({ length: 2 }, () => link.open(REQUEST_HEAD, { end: false }));
      await sleep(20);
      const before = receiver.bytes;
      const { head } = await readResponse(upload(link, { remainingMs: 20 }));
      expect(head.status).to.equal(503);
      expect(receiver.bytes - before).to.be.below(UPLOAD.length);
      expect(received).to.deep.equal([]);
      stalled.forEach((exchange) => exchange.cancel());
    });
  });

  it("deduct the wait for the body from the time left", async () => {
    const longBodies = new LongBodies();
    const heads: number[] = [];
    const handle = async (exchange: IncomingExchange) => {
      const request = await longBodies.receive(exchange);
      heads.push("head" in request ? request.head.remainingMs : 0);
      await sendResponse(exchange, { head: { status: 200, headers: [] }, body: undefined });
    };
    await withLink(handle, async (link) => {
      const exchange = link.open({ ...REQUEST_HEAD, remainingMs: 1_000 }, { end: false });
      await sleep(300);
      exchange.requestBody.end(UPLOAD);
      await readResponse(exchange);
      expect(heads[0]).to.be.within(500, 720);
    });
  });

  // Guards against uploads from many ingresses that end the daemon of their server by its memory.
  it("are rejected before they are sent if there is no memory for them", async () => {
    const longBodies = new LongBodies();
    const memory = new BodyMemory({ bytesMax: 1 });
    const handle = async (exchange: IncomingExchange) => {
      const request = await longBodies.receive(exchange, memory.open());
      if ("rejection" in request) {
        await sendResponse(exchange, request.rejection);
      }
    };
    await withLink(handle, async (link, receiver) => {
      const before = receiver.bytes;
      const { head } = await readResponse(openExchange(link, REQUEST_HEAD, { body: LARGE }));
      expect(head).to.include({ status: 503, outcome: Outcome.NotRun });
      expect(receiver.bytes - before).to.be.below(10_000);
    });
  });

  it("of responses are not read at an ingress without memory for them", async () => {
    const handle = (exchange: IncomingExchange) =>
      sendResponse(exchange, { head: { status: 200, headers: [] }, body: LARGE });
    await withLink(handle, async (link) => {
      const memory = new BodyMemory({ bytesMax: 1 }).open();
      const exchange = openExchange(link, REQUEST_HEAD, { body: undefined });
      const failed = await readResponse(exchange, memory).catch((error: Error) => error);
      expect(failed).to.be.instanceOf(BodyError);
    });
  });
});
