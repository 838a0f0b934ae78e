/**
 * Two of four upstreams break off a few of their answers: the answer has no length, and its connection is reset when half of
 * the body was sent. With TROUBLE=0 these answers have no length either, are whole and end with their connection.
 */
import { connect } from "node:net";
import process from "node:process";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Deployment, HOST_NAME } from "../lib-2/deployment.mjs";

/** Share of the answers of two upstreams that are broken off, and for how long. */
const SHARE = 0.02;
const SPOIL_MS = 5_000;
const BODY_BYTES = 1_500;
const REQUESTS = 3_000;
const CLIENTS = 12;
const hasTrouble = process.env.TROUBLE !== "0";

const folder = dirname(fileURLToPath(import.meta.url));
const deployment = new Deployment({ machines: 4, recordPath: join(folder, "record.txt") });
await deployment.start();

function bodyOf(id) {
  return `answer to ${id} ${"z".repeat(BODY_BYTES)} end`;
}

let spoiltCount = 0;
const spoilUntil = performance.now() + SPOIL_MS;

/** Answers without a length; breaks off in the middle of the body with a reset, or ends the connection after all of it. */
function answerUnframed(id, socket) {
  const body = bodyOf(id);
  const sent = hasTrouble ? body.slice(0, body.length / 2) : body;
  const head = [
    "HTTP/1.1 200 OK",
    `X-Bulrushwood-Request-Id: ${id}`,
    `X-Bulrushwood-Answer-Seal: seal.${id}`,
  ].join("\r\n");
  deployment.requests[Number.parseInt(id, 16)].isSpoilt = true;
  spoiltCount++;
  socket.write(
    `${head}\r\n\r\n${sent}`,
    () => hasTrouble ? socket.resetAndDestroy() : socket.end(),
  );
}

deployment.upstreams.forEach((upstream, index) => {
  upstream.options.workMs = 5;
  upstream.options.answer = (id, response) => {
    if (index % 2 === 0 && performance.now() < spoilUntil && Math.random() < SHARE) {
      answerUnframed(id, response.socket);
      return;
    }
    const body = Buffer.from(bodyOf(id));
    response.writeHead(200, {
      "x-bulrushwood-request-id": id,
      "x-bulrushwood-answer-seal": `seal.${id}`,
      "content-length": body.length,
    }).end(body);
  };
});

/** Sends one request on a connection of its own, and records how its answer ended. */
function ask(machine, key) {
  const request = deployment.newRequest(machine, { key, kind: "safe" });
  const { id } = request;
  return new Promise((resolve) => {
    const socket = connect(machine.outbound, machine.host);
    let received = "";
    let failure;
    const timer = setTimeout(() => socket.destroy(new Error("timed out")), 3_000);
    socket.on("data", (part) => received += part.toString("latin1"));
    socket.on("error", (error) => failure = error.code ?? error.message);
    socket.on("close", () => {
      clearTimeout(timer);
      check(request, received, failure);
      resolve();
    });
    socket.write([
      "GET /lohu930/2f HTTP/1.1",
      `Host: ${HOST_NAME}`,
      "Connection: close",
      `X-Bulrushwood-Request-Id: ${id}`,
      "X-Bulrushwood-Deadline-Ms: 1000",
      `X-Bulrushwood-Shard-Key: ${key}`,
      "\r\n",
    ].join("\r\n"));
  });
}

/** Checks that a success is the whole body of the upstream, where its end shows no failure. */
function check(request, received, failure) {
  const [head, ...rest] = received.split("\r\n\r\n");
  const body = rest.join("\r\n\r\n");
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1]);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  const isChunked = /^transfer-encoding:/im.test(head);
  // Without a length, the end of the connection ends the answer, unless it is a reset.
  const isComplete = failure === undefined && !isChunked &&
    (length === undefined || Number(length) === body.length);
  request.status = `${status || "none"}${isComplete ? "" : " incomplete"}`;
  if (status >= 200 && status < 300 && isComplete && body !== bodyOf(request.id)) {
    deployment.breakRule(
      "MIXED",
      `MIXED: request ${request.id} got ${status} with ${body.length} of ${
        bodyOf(request.id).length
      } bytes of the body, and the connection was closed without a reset`,
    );
  }
}

let left = REQUESTS;
await Promise.all(Array.from({ length: CLIENTS }, async () => {
  while (left-- > 0) {
    const machine = deployment.machines[Math.floor(Math.random() * deployment.machines.length)];
    await ask(machine, Math.floor(Math.random() * 65_536));
    await sleep(5);
  }
}));
deployment.record(
  `answers without a length: ${spoiltCount}${hasTrouble ? ", each reset in the middle" : ""}`,
);
await deployment.exit(deployment.broken.length > 0 ? 1 : 0);
