/**
 * Measures unit costs: bytes and processor time of each kind of frame, in this process, and memory of open requests in
 * the daemons that hold them.
 */
import { Buffer } from "node:buffer";
import { Codec, type Frame, FrameKind, type RequestHead } from "@bulrushwood/protocol";
import { Deployment, despachoInstances } from "@bulrushwood/sessions";
import { sleep } from "@bulrushwood/types";
import { benchConfiguration } from "./bench_configuration.ts";
import type { Experiment, Report, Row } from "./experiment.ts";
import { applyLoad } from "./open_loop.ts";

const FRAME_ROUNDS = 20_000;
const OPEN_REQUESTS = 1_500;
const BYTES_PER_KB = 1_000;
const US_PER_MS = 1_000;

const REQUEST_HEAD: RequestHead = {
  id: "12345-678901.0",
  pool: "despacho",
  shard: 12_345,
  group: 123_456,
  move: 234_567,
  workClass: "booking",
  tenant: "exportadora-quito",
  key: "planta-1234",
  method: "POST",
  path: "/plants/planta-1234/bookings",
  headers: [
    { name: "content-type", value: "application/json" },
    { name: "content-length", value: "200" },
    { name: "x-tenant", value: "exportadora-quito" },
  ],
  remainingMs: 3_999.5,
  idempotencyKey: "",
  firstAttempt: false,
};

function createRenewal(): Frame {
  const released = { through: 345_678, beyond: [] };
  const bid = { group: 123_456, step: 0, incarnation: 1_234, released };
  const from = { address: "10.0.1.17:7000", incarnation: 1_234 };
  const payload = { from, folded: 345_678, bids: [bid, { ...bid, group: 123_460 }] };
  return { kind: FrameKind.Call, call: 77, method: "lease.renew", payload };
}

function createRenewalReply(): Frame {
  const vote = { group: 123_456, granted: true, step: 0 };
  const payload = { folded: 345_678, votes: [vote, { ...vote, group: 123_460 }] };
  return { kind: FrameKind.Reply, call: 77, payload };
}

/** Measures the size of a frame and the time to encode and decode it. */
function measureFrame(name: string, frame: Frame): Row {
  const [sender, receiver] = [new Codec(), new Codec()];
  let bytes = 0;
  const startedAt = performance.now();
  for (let round = 0; round < FRAME_ROUNDS; round++) {
    const message = sender.encode([frame]);
    bytes = message.length;
    receiver.decode(message);
  }
  const usPerFrame = (performance.now() - startedAt) * US_PER_MS / FRAME_ROUNDS;
  return { name, figures: { bytes, "us to write and read": usPerFrame, "KB of memory": 0 } };
}

/** Measures the memory per open request at the ingress and at the holder. */
async function measureOpenRequests(): Promise<Row[]> {
  const instances = despachoInstances(3, { slots: 100, serviceMs: 1 });
  const deployment = await Deployment.start({ instances, recordsWork: false });
  try {
    await deployment.publish("despacho-1", benchConfiguration(64), 0);
    await deployment.waitUntilSettled("despacho-1");
    const explanation = await deployment.admin("despacho-1").explain("despacho", "planta-1");
    const holder = explanation.isOk ? explanation.value.owner : "despacho-1";
    const ingress = deployment.names.find((name) => name !== holder)!;
    const names = [ingress, holder];
    const memoryBefore = names.map((name) => deployment.daemon(name).memoryBytes);
    const request = {
      address: deployment.callerAddress(ingress),
      method: "POST",
      path: "/plants/planta-1/bookings?service_ms=3500",
      workClass: "booking",
    };
    const load = applyLoad({
      rate: OPEN_REQUESTS,
      durationMs: 1_000,
      next: () => request,
      random: Math.random,
      connections: OPEN_REQUESTS,
    });
    await sleep(2_500);
    const memoryAfter = names.map((name) => deployment.daemon(name).memoryBytes);
    await load;
    return names.map((_, index) => ({
      name: `open request at the ${index === 0 ? "ingress" : "holder"}`,
      figures: {
        bytes: 0,
        "us to write and read": 0,
        "KB of memory": (memoryAfter[index] - memoryBefore[index]) / OPEN_REQUESTS / BYTES_PER_KB,
      },
    }));
  } finally {
    await deployment.close();
  }
}

async function run(): Promise<Report> {
  const body = Buffer.alloc(200, "x");
  const headers = [{ name: "content-type", value: "application/json" }];
  const head = { status: 200, headers };
  const request: Frame = {
    kind: FrameKind.Request,
    stream: 7,
    head: REQUEST_HEAD,
    body,
    end: true,
    sentAt: 0,
  };
  const response: Frame = { kind: FrameKind.Response, stream: 7, head, body, end: true };
  const rows = [
    measureFrame("renewal with two bids", createRenewal()),
    measureFrame("answer to a renewal", createRenewalReply()),
    measureFrame("ping", { kind: FrameKind.Ping, wantsReply: true }),
    measureFrame("request with 200 bytes", request),
    measureFrame("response with 200 bytes", response),
  ];
  rows.push(...await measureOpenRequests());
  return {
    name: "slopes",
    explanation:
      "One of each: bytes on a link without TCP and IP, processor time of codec and checks " +
      "on both sides together, resident memory. An idle link sends nothing.",
    rows,
    goals: [],
    plots: [{ title: "Bytes of a frame", column: "bytes" }],
  };
}

/** Experiment that measures unit costs of frames and open requests. */
export const slopes: Experiment = {
  name: "slopes",
  description:
    "bytes, processor time and memory of one renewal, request, response and open request",
  run,
};
