/**
 * Faults by callers and others that take up a daemon's descriptors, memory and time, and by limits of its descriptors.
 */
import { Buffer } from "node:buffer";
import { execFile } from "node:child_process";
import { connect, type Socket } from "node:net";
import { promisify } from "node:util";
import type { Endpoint } from "@bulrushwood/deployment";
import { type Random, sleep } from "@bulrushwood/types";
import { Crowd } from "../crowd.ts";
import type { Deployment, Node } from "../deployment.ts";
import { RoutePrefix } from "../manifests.ts";
import type { Outside } from "../outside.ts";
import { pick, pickNumber } from "../random.ts";
import type { Fault } from "./fault.ts";

const run = promisify(execFile);

/** Descriptors of a daemon that has few, as shares of its sockets. */
const FEW_DESCRIPTORS = [0.06, 0.1, 0.2];
/** Share of the descriptors up to which they may be in use when they are limited. */
const USED_SHARE_MAX = 0.5;
const IDLE_CALLERS = 300;
const HALF_HEADS = 100;
const SLOW_READERS = 20;
const ENDLESS_BODIES = 5;
const GARBAGE_CONNECTIONS = 100;
const GARBAGE_BYTES_MAX = 4_000;
/** Length of the random bytes that garbage repeats. */
const GARBAGE_SAMPLE_BYTES = 64;
const GARBAGE_GAP_MS = 10;
/** Longest time for which connections are held, in milliseconds. */
const KEEP_OPEN_MS = 8_000;
/** Time between the parts that a slow sender sends, in milliseconds. */
const PART_GAP_MS = 100;
const PART = Buffer.alloc(16 * 1024, 97);

/** Opens a connection whose errors are expected. */
function open({ host, port }: Endpoint): Socket {
  return connect(port, host).on("error", () => {});
}

/** Opens connections to a node's callers' listener, uses each, and closes them after a time. */
async function hold(
  { machine }: Node,
  options: { count: number; ms: number; use?: (socket: Socket) => void },
): Promise<void> {
  const { count, ms, use } = options;
  const sockets = Array.from({ length: count }, () => open(machine.settings.listen.callers));
  sockets.forEach((socket) => use?.(socket));
  await sleep(ms);
  sockets.forEach((socket) => socket.destroy());
}

interface PlayOptions {
  ms: number;
  random: Random;
  /** Path of the status reports of a server. */
  reportPath: string;
  outside: Outside;
}

/** Plays a fault at a random node. */
function atNode(
  what: string,
  play: (node: Node, options: PlayOptions) => Promise<void>,
): Fault["play"] {
  return async (deployment: Deployment, random: Random) => {
    const ms = random() * KEEP_OPEN_MS;
    const node = deployment.pickNode(random);
    if (node !== undefined) {
      const end = deployment.history.begin(what, node.machine.name);
      const { outside } = deployment;
      await play(node, { ms, random, reportPath: outside.farewell("x").path, outside });
      end();
    }
  };
}

/** Limits the descriptors of a daemon's process while many callers are idle. */
const limitDescriptors = atNode("few descriptors", async (node, { ms, random }) => {
  const count = Math.floor(node.machine.settings.socketsMax * pick(FEW_DESCRIPTORS, random));
  const { pid } = node.daemon;
  const used = node.daemon.read()?.descriptors ?? Infinity;
  if (used > count * USED_SHARE_MAX) {
    return;
  }
  await run("prlimit", [`--nofile=${count}:`, "--pid", String(pid)]).catch(() => {});
  await hold(node, { count: IDLE_CALLERS, ms });
  await run("prlimit", ["--nofile=4096:", "--pid", String(pid)]).catch(() => {});
});

const holdIdle = atNode(
  "idle callers",
  (node, { ms }) => hold(node, { count: IDLE_CALLERS, ms }),
);

const holdHalfHeads = atNode(
  "half heads",
  (node, { ms }) =>
    hold(node, {
      count: HALF_HEADS,
      ms,
      use: (socket) => socket.write("GET /half HTTP/1.1\r\nhost: h\r\nx-a:"),
    }),
);

/** Asks for responses and reads none of them. */
const readNothing = atNode(
  "slow readers",
  (node, { ms }) =>
    hold(node, {
      count: SLOW_READERS,
      ms,
      use: (socket) => {
        socket.pause();
        socket.write("GET /slow HTTP/1.1\r\nhost: h\r\n\r\n".repeat(100));
      },
    }),
);

const sendEndlessBodies = atNode(
  "endless bodies",
  (node, { ms }) =>
    hold(node, {
      count: ENDLESS_BODIES,
      ms,
      use: (socket) => {
        socket.write("POST /endless HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n");
        const timer = setInterval(() => {
          if (socket.writable && !socket.writableNeedDrain) {
            socket.write(`${PART.length.toString(16)}\r\n`);
            socket.write(PART);
            socket.write("\r\n");
          }
        }, PART_GAP_MS);
        socket.once("close", () => clearInterval(timer));
      },
    }),
);

/** Crowds send bodies without their end, in parts of these lengths, in bytes. */
const CROWD_PART_BYTES = [1, 1_000, 250_000];
const CROWD_CALLERS = 12;
const CROWD_BODY_BYTES = { least: 50_000, most: 1_000_000 };

/** Sends bodies, chunked or with a length, of which most stop before their end. */
const sendUnfinishedBodies = atNode(
  "unfinished bodies",
  async ({ machine }, { ms, random, outside }) => {
    const sentBytes = pickNumber(CROWD_BODY_BYTES.least, CROWD_BODY_BYTES.most, random);
    const partBytes = pick(CROWD_PART_BYTES, random);
    const crowd = new Crowd({
      endpoint: machine.settings.listen.callers,
      outside,
      path: `${RoutePrefix.Orders}sized`,
      callers: CROWD_CALLERS,
      // Beyond the ids of all other requests.
      name: `crowd-${Math.floor(random() * 2 ** 31)}`,
      body: { sentBytes, partBytes, announcedBytes: random() < 0.5 ? sentBytes + 1 : undefined },
    });
    await Promise.all([crowd.send(), sleep(ms)]);
    crowd.close();
  },
);

function createGarbage({ random, reportPath }: PlayOptions): Buffer {
  const length = pickNumber(1, GARBAGE_BYTES_MAX, random);
  const sample = Array.from({ length: GARBAGE_SAMPLE_BYTES }, () => Math.floor(random() * 256));
  const bytes = Buffer.alloc(length, Buffer.from(sample));
  const starts = [
    "",
    "GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n" +
    "sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n",
    `PUT ${reportPath} HTTP/1.1\r\nhost: h\r\ncontent-length: ${length}\r\n\r\n`,
    "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\nffffff\r\n",
    "CONNECT h:1 HTTP/1.1\r\nhost: h\r\n\r\n",
  ];
  return Buffer.concat([Buffer.from(pick(starts, random)), bytes]);
}

/** Sends garbage to all listeners of a daemon. */
const sendGarbage = atNode("garbage", async ({ machine }, options) => {
  const { random } = options;
  const { listen, metrics } = machine.settings;
  const endpoints = [...Object.values(listen), metrics];
  for (let count = 0; count < GARBAGE_CONNECTIONS; count++) {
    const socket = open(pick(endpoints, random)).on("data", () => {});
    socket.write(createGarbage(options));
    setTimeout(() => socket.destroy(), random() * KEEP_OPEN_MS / 4);
    await sleep(GARBAGE_GAP_MS);
  }
});

/** Faults by a lack of descriptors, memory and time. */
export const RESOURCES: Fault[] = [
  { name: "few-descriptors", weight: 2, play: limitDescriptors },
  { name: "idle-callers", weight: 1, play: holdIdle },
  { name: "half-heads", weight: 1, play: holdHalfHeads },
  { name: "slow-readers", weight: 1, play: readNothing },
  { name: "endless-bodies", weight: 1, play: sendEndlessBodies },
  { name: "garbage", weight: 2, play: sendGarbage },
  { name: "unfinished-bodies", weight: 1, play: sendUnfinishedBodies },
];
