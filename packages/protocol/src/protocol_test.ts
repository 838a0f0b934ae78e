import { Buffer } from "node:buffer";
import { createServer } from "node:net";
import process from "node:process";
import { expect } from "chai";
import { Packr } from "msgpackr";
import { WebSocketServer } from "ws";
import { findFreePort, TcpProxy } from "@bulrushwood/stand_ins";
import { sleep } from "@bulrushwood/types";
import {
  BodyReceiver,
  BodySender,
  Codec,
  type Frame,
  FrameKind,
  type IncomingExchange,
  LinkErrorKind,
  Links,
  PROTOCOL_VERSION,
  type RequestHead,
} from "./mod.ts";

const HEAD: RequestHead = {
  id: "1",
  pool: "despacho",
  shard: 3,
  group: 7,
  move: 9,
  workClass: "booking",
  tenant: "t",
  key: "k",
  method: "POST",
  path: "/x",
  headers: [{ name: "a", value: "b" }],
  remainingMs: 100,
  idempotencyKey: "",
  firstAttempt: false,
};

describe("the codec", () => {
  it("decodes successive messages that it encodes", () => {
    const [left, right] = [new Codec(), new Codec()];
    const frames: Frame[] = [
      {
        kind: FrameKind.Request,
        stream: 1,
        head: HEAD,
        body: Buffer.from("body"),
        end: true,
        sentAt: 5,
      },
      { kind: FrameKind.Credit, stream: 1, ofRequest: true, bytes: 10 },
    ];
    for (let round = 0; round < 3; round++) {
      const decoded = right.decode(left.encode(frames));
      expect(decoded.isOk && decoded.value).to.deep.equal(frames);
    }
  });

  it("names the invalid field of a malformed frame", () => {
    const packr = new Packr();
    const errorOf = (document: unknown) => {
      const decoded = new Codec().decode(packr.pack(document));
      return decoded.isErr ? decoded.error.message : "valid";
    };
    expect(errorOf("text")).to.contain("not an array of frames");
    expect(errorOf([{ kind: 99 }])).to.contain("kind is unknown");
    expect(errorOf([{ kind: FrameKind.Credit, stream: 1, ofRequest: true, bytes: "many" }]))
      .to.contain("field bytes of a Credit frame");
    const head = { ...HEAD, headers: [{ name: "a" }] };
    expect(errorOf([{ kind: FrameKind.Request, stream: 1, head, end: true, sentAt: 5 }]))
      .to.contain("field head of a Request frame");
  });

  it("decodes or rejects random bytes without throwing", () => {
    for (let round = 0; round < 500; round++) {
      const bytes = Buffer.from(Array.from({ length: 1 + round % 60 }, () => Math.random() * 256));
      const decoded = new Codec().decode(bytes);
      expect(decoded.isErr || Array.isArray(decoded.value)).to.equal(true);
    }
  });
});

describe("bodies under credit", () => {
  it("block the sender until the receiver grants credit", async () => {
    const sent: number[] = [];
    const sender = new BodySender((part) => sent.push(part.length), { creditBytes: 50_000 });
    const written = sender.write(Buffer.alloc(120_000));
    await new Promise((resolve) => setImmediate(resolve));
    const before = sent.reduce((sum, size) => sum + size, 0);
    expect(before).to.equal(50_000);
    sender.addCredit(200_000);
    expect(await written).to.equal(true);
    expect(sent.reduce((sum, size) => sum + size, 0)).to.equal(120_000);
  });

  it("give the reader an error after the parts that arrived", async () => {
    const receiver = new BodyReceiver(() => {}, { openingCreditBytes: 0 });
    receiver.push(Buffer.from("part"), false);
    receiver.fail(new Error("broken"));
    const parts: string[] = [];
    let message = "";
    try {
      for await (const part of receiver) {
        parts.push(part.toString());
      }
    } catch (error) {
      message = (error as Error).message;
    }
    expect([parts, message]).to.deep.equal([["part"], "broken"]);
  });
});

describe("links", () => {
  const open: Links[] = [];

  afterEach(async () => {
    await Promise.all(open.splice(0).map((links) => links.close()));
  });

  async function listen(
    onRequest: (exchange: IncomingExchange) => void = () => {},
    onMalformed: (message: string) => void = () => {},
    options: { port?: number; address?: string } = {},
  ): Promise<{ links: Links; address: string; port: number }> {
    const port = options.port ?? await findFreePort();
    const { address = `127.0.0.1:${port}` } = options;
    const links = await Links.listen({
      self: address,
      host: "127.0.0.1",
      port,
      handlers: {
        onCall: (method, payload) =>
          method === "echo"
            ? Promise.resolve(payload)
            : Promise.reject(new Error("unknown method")),
        onRequest,
        onMalformed: (error) => onMalformed(error.message),
      },
    });
    open.push(links);
    return { links, address, port };
  }

  it("fail, and do not throw, when the address of the peer is malformed", async () => {
    const { links } = await listen();
    for (const address of ["10.0.0.9:99999", "", "10.0.0.9:1#a", "not an address"]) {
      const dialled = await links.get(address);
      expect(dialled.isErr && dialled.error.kind).to.equal(LinkErrorKind.Unreachable);
    }
  });

  it("open when both sides dial at the same time", async () => {
    for (let round = 0; round < 30; round++) {
      const [left, right] = [await listen(), await listen()];
      const dialled = await Promise.all([
        left.links.get(right.address),
        right.links.get(left.address),
        left.links.get(right.address),
      ]);
      expect(dialled.map((link) => link.isOk)).to.deep.equal([true, true, true]);
      const link = dialled[0].isOk ? dialled[0].value : undefined!;
      const called = await link.call("echo", { round }, { timeoutMs: 1_000 });
      expect(called.isOk && called.value).to.deep.equal({ round });
      await Promise.all(open.splice(0).map((links) => links.close()));
    }
  });

  // Guards against requests that go to a lost machine until its silence is noticed, while another has its address.
  it("go to the daemon that has taken over a peer's address as soon as it says hello", async () => {
    const left = await listen();
    const silent = new WebSocketServer({ port: await findFreePort(), host: "127.0.0.1" });
    await new Promise((resolve) => silent.once("listening", resolve));
    const { port } = silent.address() as { port: number };
    const address = `127.0.0.1:${port}`;
    const hello = { kind: FrameKind.Hello, version: PROTOCOL_VERSION, address } as const;
    silent.on("connection", (socket) => {
      socket.send(new Codec().encode([{ ...hello, incarnation: "lost" }]));
    });
    const first = await left.links.get(address);
    expect(first.isOk && first.value.peerIncarnation).to.equal("lost");
    // Stops listening; its open connection stays as silent as that of a machine without power.
    await new Promise<void>((resolve) => {
      silent.close(() => resolve());
      setTimeout(resolve, 50);
    });
    const right = await listen(() => {}, () => {}, { port });
    expect((await right.links.get(left.address)).isOk).to.equal(true);
    await sleep(50);
    const linked = await left.links.get(address);
    const called = linked.isOk
      ? await linked.value.call("echo", "hello", { timeoutMs: 300 })
      : undefined;
    expect(called?.isOk && called.value).to.equal("hello");
    expect(first.isOk && first.value.isOpen).to.equal(false);
    silent.clients.forEach((client) => client.terminate());
  });

  // Guards against first requests that are lost on links that went silent while they were idle.
  it("are replaced when they went silent while idle, before a request is sent on them", async () => {
    const [from, to] = [await findFreePort(), await findFreePort()];
    const proxy = await TcpProxy.listen(
      { host: "127.0.0.1", port: from },
      { host: "127.0.0.1", port: to },
    );
    const address = `127.0.0.1:${from}`;
    const respond = (exchange: IncomingExchange) => {
      exchange.respond({ status: 200, headers: [] }, Buffer.from("done"), true);
    };
    await listen(respond, () => {}, { port: to, address });
    const left = await listen();
    const first = await left.links.get(address);
    expect(first.isOk).to.equal(true);
    await sleep(1_200);
    proxy.silence();
    const startedAt = performance.now();
    const statuses = await Promise.all([1, 2, 3].map(async () => {
      const linked = await left.links.get(address);
      const exchange = linked.isOk ? linked.value.open(HEAD, { end: true }) : undefined;
      return await exchange?.response.then(({ head }) => head.status, (error) => error.message);
    }));
    expect(statuses).to.deep.equal([200, 200, 200]);
    expect(performance.now() - startedAt).to.be.below(900);
    expect(left.links.count).to.equal(1);
    await proxy.close();
  });

  it("stay in use after they were idle", async () => {
    const [left, right] = [await listen(), await listen()];
    const first = await left.links.get(right.address);
    await sleep(1_200);
    const again = await left.links.get(right.address);
    expect(again.isOk && again.value === (first.isOk && first.value)).to.equal(true);
  });

  it("report an unknown method, a peer that does not reply, and an unreachable peer", async () => {
    const [left, right] = [await listen(), await listen()];
    const linked = await left.links.get(right.address);
    const link = linked.isOk ? linked.value : undefined!;
    const rejected = await link.call("nonsense", {}, { timeoutMs: 1_000 });
    expect(rejected.isErr && rejected.error.kind).to.equal(LinkErrorKind.Rejected);
    const free = await findFreePort();
    const unreachable = await left.links.get(`127.0.0.1:${free}`);
    expect(unreachable.isErr && unreachable.error.kind).to.equal(LinkErrorKind.Unreachable);
    const unresponsive = createServer(() => {});
    await new Promise<void>((resolve) => unresponsive.listen(free, "127.0.0.1", resolve));
    await new Promise((resolve) => setTimeout(resolve, 150));
    const dialled = await left.links.get(`127.0.0.1:${free}`);
    expect(dialled.isErr && dialled.error.kind).to.equal(LinkErrorKind.Unreachable);
    unresponsive.close();
  });

  it("are not blocked by one slow reader", async () => {
    const served: string[] = [];
    const right = await listen((exchange) => {
      if (exchange.head.id === "slow") {
        return;
      }
      served.push(exchange.head.id);
      exchange.respond({ status: 200, headers: [] }, Buffer.from("done"), true);
    });
    const left = await listen();
    const linked = await left.links.get(right.address);
    const link = linked.isOk ? linked.value : undefined!;
    const slow = link.open({ ...HEAD, id: "slow" }, { end: false });
    let isWritten = false;
    slow.requestBody.write(Buffer.alloc(5_000_000)).then(() => isWritten = true);
    for (let index = 0; index < 20; index++) {
      const exchange = link.open({ ...HEAD, id: `fast-${index}` }, { end: true });
      const response = await exchange.response;
      expect(response.body.takeWhole()?.toString()).to.equal("done");
    }
    expect(isWritten).to.equal(false);
    expect(served).to.have.length(20);
  });

  it("close when they open while one side closes", async () => {
    for (let round = 0; round < 20; round++) {
      const [left, right] = [await listen(), await listen()];
      const dialling = left.links.get(right.address);
      await new Promise((resolve) => setTimeout(resolve, round % 5));
      await left.links.close();
      await dialling;
      // A timer of 20 ms may expire before the sockets are polled, when the process had to wait for a processor.
      for (let count = 0; count < 20; count++) {
        await sleep(1);
      }
      expect([left.links.count, right.links.count], `round ${round}`).to.deep.equal([0, 0]);
      await right.links.close();
      open.splice(0);
    }
  });

  it("fail open calls and requests when they break", async () => {
    const right = await listen();
    const left = await listen();
    const linked = await left.links.get(right.address);
    const link = linked.isOk ? linked.value : undefined!;
    const exchange = link.open(HEAD, { end: true });
    const call = link.call("echo", {}, { timeoutMs: 5_000 });
    await right.links.close();
    const failure = await exchange.response.then(() => "answered", (error) => error.kind);
    expect(failure).to.equal(LinkErrorKind.Broken);
    await call;
  });

  it("do not wake an idle daemon more often when there are more of them", async () => {
    const hub = await listen();
    const countTimers = () =>
      process.getActiveResourcesInfo().filter((resource) => resource === "Timeout").length;
    const peers = await Promise.all(Array.from({ length: 12 }, () => listen()));
    await hub.links.get(peers[0].address);
    await sleep(100);
    const withOne = countTimers();
    await Promise.all(peers.map(({ address }) => hub.links.get(address)));
    await sleep(100);
    expect(hub.links.count).to.equal(12);
    // Each of the eleven further peers has one timer for its own links.
    expect(countTimers() - withOne).to.be.at.most(11);
  });

  it("send no pings for requests that have their response soon", async () => {
    const [left, right] = [
      await listen(),
      await listen((exchange) => {
        setTimeout(() => exchange.respond({ status: 200, headers: [] }, undefined, true), 200);
      }),
    ];
    const linked = await left.links.get(right.address);
    const link = linked.isOk ? linked.value : undefined!;
    await sleep(600);
    for (let round = 0; round < 4; round++) {
      const exchange = link.open(HEAD, { end: true });
      await sleep(20);
      const sent = link.bytesSent;
      await exchange.response;
      expect(link.bytesSent - sent).to.equal(0);
      await sleep(70 * round);
    }
  });

  it("tell all peers about this daemon's clock again on request", async () => {
    const [left, right] = [await listen(), await listen()];
    await left.links.get(right.address);
    await sleep(50);
    const before = right.links.bytes;
    left.links.synchronise();
    await sleep(50);
    expect(right.links.bytes).to.be.above(before);
    const linked = await left.links.get(right.address);
    const called = linked.isOk && await linked.value.call("echo", 1, { timeoutMs: 1_000 });
    expect(called && called.isOk).to.equal(true);
  });

  it("break when the peer stops responding", async () => {
    const port = await findFreePort();
    const peer = new WebSocketServer({ port, host: "127.0.0.1" });
    peer.on("connection", (socket) => {
      const address = `127.0.0.1:${port}`;
      socket.send(
        new Packr().pack([{ kind: FrameKind.Hello, version: PROTOCOL_VERSION, address }]),
      );
    });
    const left = await listen();
    const linked = await left.links.get(`127.0.0.1:${port}`);
    const link = linked.isOk ? linked.value : undefined!;
    const startedAt = performance.now();
    const called = await link.call("echo", 1, { timeoutMs: 5_000 });
    expect(called.isErr && called.error.kind).to.equal(LinkErrorKind.Broken);
    expect(performance.now() - startedAt).to.be.within(900, 1_800);
    peer.close();
  });
});
