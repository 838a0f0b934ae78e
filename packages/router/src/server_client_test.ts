import { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { expect } from "chai";
import { BodyMemory, type RequestMemory } from "@bulrushwood/admission";
import type { ServerWire } from "@bulrushwood/deployment";
import type { RequestHead } from "@bulrushwood/protocol";
import { now, sleep } from "@bulrushwood/types";
import { readHeaders } from "./headers.ts";
import { ServerClient, ServerOutcome } from "./server_client.ts";

/** Protocol with the request id and the origin marker in short headers. */
const WIRE = {
  readResponse: (status: number, headers: Record<string, string>) => ({
    id: headers.id,
    isNotRun: headers["not-run"] !== undefined,
    isMisdirected: status === 421,
    hasOriginMarker: headers.mark !== undefined,
    load: undefined,
    notice: {
      requestsPerSecond: headers.limit === undefined ? undefined : Number(headers.limit),
      isLeaving: headers.leaving !== undefined,
    },
  }),
} as Partial<ServerWire> as ServerWire;

const HEAD = {
  id: "r1",
  pool: "p",
  shard: -1,
  group: 0,
  move: 0,
  workClass: "c",
  tenant: "",
  key: "",
  method: "GET",
  path: "/x",
  headers: [],
  remainingMs: 1_000,
  idempotencyKey: "",
  firstAttempt: false,
} satisfies RequestHead;

type Script = (socket: Socket) => void;

/** Starts a server that handles each request with the next script. */
async function withServer<T>(
  scripts: Script[],
  use: (client: ServerClient) => Promise<T>,
): Promise<T> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", () => scripts.shift()?.(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const client = new ServerClient({
    endpoint: { host: "127.0.0.1", port: (server.address() as AddressInfo).port },
    wire: WIRE,
    readHeaders: (flat) => readHeaders(flat, { dropped: new Set() }),
  });
  try {
    return await use(client);
  } finally {
    client.close();
    server.close();
    sockets.forEach((socket) => socket.destroy());
  }
}

function send(
  client: ServerClient,
  options: { id?: string; waitMs?: number; body?: Buffer; memory?: RequestMemory } = {},
) {
  const { id = "r1", waitMs = 1_000, body, memory } = options;
  return client.send({
    head: { ...HEAD, id, method: body === undefined ? "GET" : "POST" },
    headers: [],
    body,
    deadline: now() + waitMs,
    memory,
    signal: new AbortController().signal,
  });
}

function encodeResponse(id: string, body: string, extra = ""): string {
  return `HTTP/1.1 200 OK\r\nid: ${id}\r\nmark: m\r\n${extra}content-length: ${body.length}\r\n\r\n${body}`;
}

describe("server client", () => {
  it("accepts a complete response with the origin marker", async () => {
    const result = await withServer(
      [(socket) => socket.write(encodeResponse("r1", "whole"))],
      send,
    );
    expect(result.outcome).to.equal(ServerOutcome.Responded);
    expect(result.body?.toString()).to.equal("whole");
  });

  const rejectedResponses: [string, Script][] = [
    ["a response to another request", (socket) => socket.write(encodeResponse("r0", "late"))],
    [
      "a rejection of another request",
      (socket) =>
        socket.write("HTTP/1.1 503 No\r\nid: r0\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"),
    ],
    [
      "a failure without a request id",
      (socket) => socket.write("HTTP/1.1 500 No\r\nmark: m\r\ncontent-length: 0\r\n\r\n"),
    ],
    [
      "a success without the origin marker",
      (socket) => socket.write("HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: 1\r\n\r\nx"),
    ],
    ["a truncated response", (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\ncontent-length: 9\r\n\r\nshort");
      setTimeout(() => socket.end(), 20);
    }],
    ["a reset of a response without a length", (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n\r\nshort");
      setTimeout(() => socket.resetAndDestroy(), 20);
    }],
    ["a malformed response", (socket) => socket.write("rubbish rubbish\r\n\r\n")],
    ["a reset of the connection", (socket) => socket.resetAndDestroy()],
    [
      "a rejection without a guarantee",
      (socket) => socket.write("HTTP/1.1 503 No\r\nid: r1\r\ncontent-length: 0\r\n\r\n"),
    ],
    ["no response before the deadline", () => {}],
  ];
  for (const [name, script] of rejectedResponses) {
    it(`reports an unknown outcome after ${name}`, async () => {
      const result = await withServer([script], (client) => send(client, { waitMs: 200 }));
      expect(result.outcome).to.equal(ServerOutcome.Unknown);
    });
  }

  it("reports not-run after a rejection with a guarantee", async () => {
    const script: Script = (socket) =>
      socket.write("HTTP/1.1 503 No\r\nid: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n");
    expect((await withServer([script], send)).outcome).to.equal(ServerOutcome.NotRun);
  });

  it("does not take an earlier rejection that is repeated without an id for that of the next request", async () => {
    const rejection = "HTTP/1.1 503 No\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    const scripts: Script[] = [
      (socket) => socket.write(rejection),
      (socket) => socket.write(rejection),
    ];
    const outcomes = await withServer(scripts, async (client) => {
      const first = await send(client);
      return [first.outcome, (await send(client, { id: "r2" })).outcome];
    });
    expect(outcomes).to.deep.equal([ServerOutcome.NotRun, ServerOutcome.Unknown]);
  });

  for (const status of ["503 No", "421 No"]) {
    it(`does not take the repeated rejection ${status} of an earlier attempt for that of the next one`, async () => {
      const rejection = `HTTP/1.1 ${status}\r\nid: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`;
      let rejectedOn: Socket | undefined;
      const reject: Script = (socket) => {
        rejectedOn = socket;
        socket.write(rejection);
      };
      const run: Script = (socket) => {
        const repeated = socket === rejectedOn ? rejection : "";
        socket.write(repeated + encodeResponse("r1", "run"));
      };
      const result = await withServer([reject, run], async (client) => {
        await send(client);
        return await send(client);
      });
      expect(result.body?.toString()).to.equal("run");
    });
  }

  for (
    const [framing, whole] of [
      ["a length", encodeResponse("r1", "the whole body")],
      [
        "chunks",
        "HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\ntransfer-encoding: chunked\r\n\r\n3\r\nthe\r\n0\r\n\r\n",
      ],
    ]
  ) {
    it(`reports an unknown outcome after a response with ${framing} that was cut at any byte`, async () => {
      const scripts = Array.from(
        { length: whole.length },
        (_, end): Script => (socket) => socket.end(whole.slice(0, end)),
      );
      const outcomes = await withServer(scripts, async (client) => {
        const results = [];
        for (let cut = 0; cut < whole.length; cut++) {
          results.push((await send(client)).outcome);
        }
        return results;
      });
      expect(outcomes).to.deep.equal(outcomes.map(() => ServerOutcome.Unknown));
    });
  }

  const EARLY = "HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n\r\npart of the body";
  /** Ends of the connection after an early response, while the request is still being written. */
  const earlyEnds: [string, (socket: Socket) => void][] = [
    ["is reset", (socket) => socket.resetAndDestroy()],
    ["ends", (socket) => socket.end()],
  ];
  for (const [name, end] of earlyEnds) {
    // Guards against a part of a response that is passed on as a whole one.
    it(`accepts no early success without a length if its connection ${name} while a long request is written`, async () => {
      const scripts = Array.from({ length: EARLY.length }, (_, length): Script => (socket) => {
        socket.pause();
        socket.write(EARLY.slice(0, length + 1), () => end(socket));
      });
      const outcomes = await withServer(scripts, async (client) => {
        const results = [];
        for (let length = 1; length <= EARLY.length; length++) {
          results.push((await send(client, { body: Buffer.alloc(8_000_000) })).outcome);
        }
        return results;
      });
      expect(outcomes).to.deep.equal(outcomes.map(() => ServerOutcome.Unknown));
    });
  }

  for (const status of ["000", "099", "101", "199", "600", "999"]) {
    // Guards against a status that callers cannot read, and that the HTTP server here cannot send.
    it(`reports an unknown outcome after a response with the status ${status}`, async () => {
      const response = `HTTP/1.1 ${status} No\r\nid: r1\r\nmark: m\r\ncontent-length: 2\r\n\r\nno`;
      const result = await withServer([(socket) => socket.end(response)], send);
      expect([result.outcome, result.status]).to.deep.equal([ServerOutcome.Unknown, 0]);
    });
  }

  const NOTICE = "limit: 20\r\nleaving: 1\r\n";
  const noticeResponses: [string, Script][] = [
    [
      "a success",
      (socket) => socket.write(encodeResponse("r1", "whole", NOTICE)),
    ],
    [
      "a rejection because the server lacks the key",
      (socket) =>
        socket.write(
          `HTTP/1.1 421 No\r\nid: r1\r\nnot-run: 1\r\n${NOTICE}content-length: 0\r\n\r\n`,
        ),
    ],
    [
      "a rejection without a guarantee",
      (socket) => socket.write(`HTTP/1.1 503 No\r\nid: r1\r\n${NOTICE}content-length: 0\r\n\r\n`),
    ],
    [
      "a truncated body",
      (socket) =>
        socket.end(`HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n${NOTICE}content-length: 9\r\n\r\nno`),
    ],
  ];
  for (const [name, script] of noticeResponses) {
    it(`returns what the server says of itself with ${name}`, async () => {
      const { notice } = await withServer([script], send);
      expect(notice).to.deep.equal({ requestsPerSecond: 20, isLeaving: true });
    });
  }

  it("takes nothing that a response to another request says of the server", async () => {
    const script: Script = (socket) => socket.write(encodeResponse("r0", "late", NOTICE));
    expect((await withServer([script], send)).notice).to.equal(undefined);
  });

  const UNFRAMED = "HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n\r\n";
  /** Number of requests for each cut; Node.js reports most resets that arrive with the data as ends. */
  const CUTS = 20;
  for (const bytes of [2, 1_500, 500_000]) {
    const body = "x".repeat(bytes);
    const cuts: [string, number][] = [
      ["after its head", 0],
      ["in its middle", bytes / 2],
      ["before its last byte", bytes - 1],
    ];
    for (const [place, length] of cuts) {
      for (const ms of [0, 3]) {
        const name = `a response of ${bytes} bytes without a length that is reset ${place}`;
        // Guards against a part of a response that callers get as a whole one.
        it(`never accepts ${name}, ${ms} ms after the data`, async () => {
          const reset = (socket: Socket) => () => setTimeout(() => socket.resetAndDestroy(), ms);
          const cut: Script = (socket) =>
            socket.write(
              UNFRAMED + body.slice(0, length),
              ms > 0 ? reset(socket) : () => {
                socket.resetAndDestroy();
              },
            );
          const results = await withServer(
            Array.from({ length: CUTS }, () => cut),
            async (client) => {
              const sent = Array.from({ length: CUTS }, () => send(client));
              return await Promise.all(sent);
            },
          );
          expect(new Set(results.map(({ outcome }) => outcome))).to.deep.equal(
            new Set([ServerOutcome.Unknown]),
          );
          expect(results.every(({ isConnectionLost }) => isConnectionLost)).to.equal(true);
        });
      }
    }

    // Guards against a check for resets that fails at ordinary ends.
    it(`accepts a response of ${bytes} bytes without a length that ends in order`, async () => {
      const whole: Script = (socket) => socket.end(UNFRAMED + body);
      const results = await withServer(
        Array.from({ length: CUTS }, () => whole),
        async (client) => await Promise.all(Array.from({ length: CUTS }, () => send(client))),
      );
      expect(new Set(results.map((result) => result.body?.length))).to.deep.equal(new Set([bytes]));
    });
  }

  it("flags a response whose body ends only with the connection", async () => {
    const script: Script = (socket) =>
      socket.end("HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n\r\nall");
    const result = await withServer([script], send);
    expect([result.outcome, result.isUnframed]).to.deep.equal([ServerOutcome.Responded, true]);
  });

  it("does not reuse a connection after a response to another request", async () => {
    const scripts: Script[] = [
      (socket) => socket.write(encodeResponse("r0", "late") + encodeResponse("r1", "own")),
      (socket) => socket.write(encodeResponse("r2", "second")),
    ];
    const second = await withServer(scripts, async (client) => {
      await send(client);
      return await send(client, { id: "r2" });
    });
    expect(second.body?.toString()).to.equal("second");
  });

  it("does not accept a delayed response on a connection that had a response to another request", async () => {
    const own = encodeResponse("r1", "first run");
    const scripts: Script[] = [
      (socket) => {
        socket.write(encodeResponse("r0", "late"));
        setTimeout(() => socket.write(own), 40);
      },
      (socket) => setTimeout(() => socket.write(encodeResponse("r1", "second run")), 80),
    ];
    const second = await withServer(scripts, async (client) => {
      expect((await send(client)).outcome).to.equal(ServerOutcome.Unknown);
      return await send(client);
    });
    expect(second.body?.toString()).to.equal("second run");
  });

  it("closes an idle connection on which a duplicate response arrives", async () => {
    const scripts: Script[] = [
      (socket) => {
        socket.write(encodeResponse("r1", "own"));
        setTimeout(() => socket.write(encodeResponse("r1", "own")), 40);
      },
      (socket) => socket.write(encodeResponse("r2", "second")),
    ];
    const second = await withServer(scripts, async (client) => {
      await send(client);
      await sleep(100);
      return await send(client, { id: "r2" });
    });
    expect(second.body?.toString()).to.equal("second");
  });

  for (
    const [name, begin] of [
      ["a body", "HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n\r\n"],
      [
        "a body in chunks",
        "HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\ntransfer-encoding: chunked\r\n\r\n",
      ],
      ["a head", "HTTP/1.1 200 OK\r\nid: r1\r\n"],
    ] as const
  ) {
    it(`closes a connection on which ${name} never ends`, async () => {
      const part = name === "a body in chunks"
        ? `10000\r\n${"x".repeat(0x10000)}\r\n`
        : `x: ${"x".repeat(0x10000)}\r\n`;
      let sent = 0;
      const script: Script = (socket) => {
        const writeParts = () => {
          while (!socket.destroyed && socket.write(part)) {
            sent += part.length;
          }
          sent += part.length;
        };
        socket.on("drain", writeParts);
        socket.write(begin);
        writeParts();
      };
      const result = await withServer([script], (client) => send(client, { waitMs: 8_000 }));
      expect(result.outcome).to.equal(ServerOutcome.Unknown);
      expect(sent).to.be.below(100 * 1024 * 1024);
    });
  }

  // Guards against requests that are never answered, and hold their slot, since no event ends them.
  for (const by of ["a request", "an order", "a health check"]) {
    it(`does not wait after a response to ${by} that switches protocols`, async () => {
      const script: Script = (socket) =>
        socket.end("HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n");
      const ended = withServer([script], async (client) => {
        const order = { method: "POST", path: "/release", headers: {}, body: Buffer.alloc(0) };
        switch (by) {
          case "a request":
            return (await send(client)).outcome;
          case "an order":
            return (await client.order(order, { timeoutMs: 1_000 })).isErr;
          default:
            return await client.check("/health");
        }
      });
      const waited = sleep(300).then(() => "no end");
      const expected = { "a request": ServerOutcome.Unknown, "an order": true }[by];
      expect(await Promise.race([ended, waited])).to.equal(expected);
    });
  }

  // Guards against a faulty server whose endless bytes exhaust the memory of the daemon that calls it.
  it("reads endless bodies at once within the memory for all bodies, and short ones beside them", async () => {
    const [bytesMax, count] = [20e6, 16];
    const memory = new BodyMemory({ bytesMax });
    const part = Buffer.alloc(64 * 1024);
    let most = 0;
    const endless: Script = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n\r\n");
      const write = () => {
        most = Math.max(most, memory.bytes);
        while (!socket.destroyed && socket.write(part)) {
          most = Math.max(most, memory.bytes);
        }
      };
      socket.on("drain", write);
      write();
    };
    const short: Script = (socket) => socket.write(encodeResponse("r1", "short"));
    const scripts = [...Array.from({ length: count }, () => endless), short];
    const outcomes = await withServer(scripts, async (client) => {
      const sendCounted = () => {
        const request = memory.open();
        return send(client, { waitMs: 5_000, memory: request }).finally(() => request.release());
      };
      const all = Array.from({ length: count }, sendCounted);
      await sleep(20);
      expect((await sendCounted()).outcome).to.equal(ServerOutcome.Responded);
      return (await Promise.all(all)).map(({ outcome }) => outcome);
    });
    expect(outcomes).to.deep.equal(outcomes.map(() => ServerOutcome.Unknown));
    expect(most).to.be.within(1, bytesMax);
    expect(memory.bytes).to.equal(0);
  });

  const endlessBytes: [string, string, string][] = [
    ["informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"],
    ["headers", "HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n", "x: y\r\n"],
    [
      "trailers",
      "HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
      "x: y\r\n",
    ],
    [
      "chunk extensions",
      "HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\ntransfer-encoding: chunked\r\n\r\n1",
      ";x=y",
    ],
    ["a body", "HTTP/1.1 200 OK\r\nid: r1\r\nmark: m\r\n\r\n", "x".repeat(1024)],
  ];
  for (const [name, begin, part] of endlessBytes) {
    for (const by of ["a request", "an order", "a health check"]) {
      it(`does not read endless ${name} in response to ${by} until the deadline`, async () => {
        const bytes = Buffer.from(part.repeat(Math.ceil(10_000 / part.length)));
        const script: Script = (socket) => {
          socket.write(begin);
          const write = () => !socket.destroyed && socket.write(bytes, () => setImmediate(write));
          write();
        };
        const startedAt = now();
        await withServer([script], async (client) => {
          if (by === "a request") {
            const memory = new BodyMemory({ bytesMax: 5e6 }).open();
            const { outcome } = await send(client, { waitMs: 20_000, memory });
            expect(outcome).to.equal(ServerOutcome.Unknown);
          } else if (by === "an order") {
            const order = { method: "POST", path: "/release", headers: {}, body: Buffer.alloc(0) };
            const sent = await client.order(order, { timeoutMs: 20_000 });
            expect(sent.isOk).to.equal(false);
          } else {
            expect(await client.check("/health")).to.equal(undefined);
          }
        });
        expect(now() - startedAt).to.be.below(by === "a health check" ? 350 : 5_000);
      });
    }
  }

  // Guards against requests that fail one after the other on idle connections that have gone silent together.
  it("drops its idle connections once a request on one of them has no response", async () => {
    const open = new Set<Socket>();
    let silent = new Set<Socket>();
    const respond: Script = (socket) => {
      open.add(socket);
      if (!silent.has(socket)) {
        setTimeout(() => socket.write(encodeResponse("r1", "whole")), 20);
      }
    };
    const scripts = Array.from({ length: 9 }, () => respond);
    const outcomes = await withServer(scripts, async (client) => {
      await Promise.all([send(client), send(client)]);
      silent = new Set(open);
      return [
        (await send(client, { waitMs: 200 })).outcome,
        (await send(client, { waitMs: 200 })).outcome,
      ];
    });
    expect(silent.size).to.equal(2);
    expect(outcomes).to.deep.equal([ServerOutcome.Unknown, ServerOutcome.Responded]);
  });

  // Guards against keys that are given away while the leaving server still works on them.
  it("does not take a second copy of an earlier response for that to a release", async () => {
    const sent = new Map<Socket, string>();
    const respond: Script = (socket) => {
      const response = `HTTP/1.1 200 OK\r\nhandover: ${sent.size}\r\ncontent-length: 0\r\n\r\n`;
      socket.write((sent.get(socket) ?? "") + response);
      sent.set(socket, response);
    };
    const handovers = await withServer([respond, respond, respond], async (client) => {
      const order = { method: "POST", path: "/release", headers: {}, body: Buffer.alloc(0) };
      const tokens = [];
      for (let count = 0; count < 3; count++) {
        const response = await client.order(order, { timeoutMs: 500 });
        tokens.push(response.isOk ? response.value.headers.handover : undefined);
      }
      return tokens;
    });
    expect(handovers).to.deep.equal(["0", "1", "2"]);
  });

  it("reports not-run if no connection could be opened", async () => {
    const client = new ServerClient({
      endpoint: { host: "127.0.0.1", port: 1 },
      wire: WIRE,
      readHeaders: () => [],
    });
    const result = await send(client);
    expect([result.outcome, result.isConnectionRefused]).to.deep.equal([
      ServerOutcome.NotRun,
      true,
    ]);
    client.close();
  });
});
