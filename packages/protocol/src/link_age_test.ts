import type { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import { expect } from "chai";
import type { WebSocket } from "ws";
import { Codec } from "./codec.ts";
import { type Frame, FrameKind, PROTOCOL_VERSION, type RequestHead } from "./frames.ts";
import { Link } from "./link.ts";

const HEAD: RequestHead = {
  id: "r1",
  pool: "p",
  shard: -1,
  group: 0,
  move: 0,
  workClass: "c",
  tenant: "",
  key: "",
  method: "GET",
  path: "/",
  headers: [],
  remainingMs: 400,
  idempotencyKey: "",
  firstAttempt: false,
  targetMs: 120,
};

/** A socket that receives messages and discards those that are sent. */
class FakeSocket extends EventEmitter {
  send(_message: Buffer): void {}
  terminate(): void {}
}

/** Receives frames of a peer on a link; returns the heads of the requests among them. */
function receiveFrames(batches: (() => Frame[])[]): RequestHead[] {
  const socket = new FakeSocket();
  const heads: RequestHead[] = [];
  const link = new Link({
    socket: socket as unknown as WebSocket,
    self: "a",
    incarnation: "1",
    handlers: {
      onCall: () => Promise.resolve(null),
      onRequest: ({ head }) => heads.push(head),
      onMalformed: () => {},
    },
  });
  const peer = new Codec();
  batches.forEach((createFrames) => socket.emit("message", peer.encode(createFrames())));
  link.close();
  return heads;
}

describe("link: requests delayed in transit", () => {
  it("does not deduct the time for which the peer's clock stood still while it was suspended", () => {
    const hello = (sentAt: number): Frame => ({
      kind: FrameKind.Hello,
      version: PROTOCOL_VERSION,
      address: "b",
      sentAt,
    });
    const standstillMs = 2_000;
    const [head] = receiveFrames([
      () => [hello(performance.now())],
      () => [hello(performance.now() - standstillMs)],
      () => [{
        kind: FrameKind.Request,
        stream: 1,
        head: HEAD,
        end: true,
        sentAt: performance.now() - standstillMs,
      }],
    ]);
    expect(head.remainingMs).to.be.closeTo(400, 20);
  });

  it("deducts the delay of the first request on a link, which its hello preceded", () => {
    const clockOffsetMs = 1_000_000;
    const sentAt = (delayMs: number) => performance.now() - delayMs + clockOffsetMs;
    const [head] = receiveFrames([
      () => [{
        kind: FrameKind.Hello,
        version: PROTOCOL_VERSION,
        address: "b",
        sentAt: sentAt(0),
      }],
      () => [{ kind: FrameKind.Request, stream: 1, head: HEAD, end: true, sentAt: sentAt(1_500) }],
    ]);
    expect(head.remainingMs).to.be.closeTo(400 - 1_500, 20);
  });

  it("deducts the delay from the time left, whatever the offset between the clocks of the two ends", () => {
    const clockOffsetMs = 1_000_000;
    const request = (delayMs: number): Frame => ({
      kind: FrameKind.Request,
      stream: delayMs,
      head: HEAD,
      end: true,
      sentAt: performance.now() - delayMs + clockOffsetMs,
    });
    const heads = receiveFrames([
      () => [{ kind: FrameKind.Hello, version: PROTOCOL_VERSION, address: "b" }],
      () => [request(0)],
      () => [request(250)],
    ]);
    expect(heads[0].remainingMs).to.be.closeTo(400, 20);
    expect(heads[1].remainingMs).to.be.closeTo(150, 20);
    expect(heads[1].targetMs).to.be.closeTo(-130, 20);
  });
});
