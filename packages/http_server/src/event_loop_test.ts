import { connect, createServer, type Socket } from "node:net";
import { expect } from "chai";
import { blockEventLoop } from "@bulrushwood/stand_ins";
import { now } from "@bulrushwood/types";
import { EventLoop } from "./event_loop.ts";

const HOST = "127.0.0.1";
/** Connections that wait to be accepted. */
const WAITING = 30;

/**
 * Lets connections wait to be accepted, and calls `nextPoll` at the first; resolves to the number of connections that
 * are accepted when the call returns.
 */
async function acceptUntilNextPoll(loop: EventLoop): Promise<number> {
  const accepted: Socket[] = [];
  const server = createServer();
  const counted = new Promise<number>((resolve) => {
    server.on("connection", (socket) => {
      accepted.push(socket);
      loop.recordAccepted();
      if (accepted.length === 1) {
        loop.nextPoll().then(() => resolve(accepted.length));
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as { port: number };
  const sockets = Array.from({ length: WAITING }, () => connect(port, HOST));
  const count = await counted;
  sockets.forEach((socket) => socket.destroy());
  server.close();
  return count;
}

describe("the event loop", () => {
  it("accepts all connections that wait before it releases work", async () => {
    // The clock stands still, so that the bound on the time does not end the wait.
    const loop = new EventLoop({ now: () => 0 });
    expect(await acceptUntilNextPoll(loop)).to.equal(WAITING);
  });

  it("holds work back for a bounded time while connections keep arriving", async () => {
    let time = 0;
    const loop = new EventLoop({ now: () => time += 10 });
    expect(await acceptUntilNextPoll(loop)).to.be.below(WAITING / 2);
  });

  it("does only some milliseconds of work in a round, and all of it in the end", async () => {
    const loop = new EventLoop({ now });
    const rounds: number[] = [];
    let round = 0;
    let isDone = false;
    const count = () => {
      round++;
      if (!isDone) {
        setImmediate(count);
      }
    };
    count();
    await Promise.all(Array.from({ length: 12 }, async () => {
      await loop.nextPoll();
      rounds.push(round);
      blockEventLoop(2);
      // What a piece of work sets off counts as well.
      await Promise.resolve();
      blockEventLoop(2);
    }));
    isDone = true;
    const perRound = rounds.map((at) => rounds.filter((other) => other === at).length);
    expect(Math.max(...perRound)).to.be.at.most(2);
  });

  // Guards against calls that wait behind less urgent requests until the runs that make them fail.
  it("releases the most urgent work first, and equally urgent work in order of its arrival", async () => {
    const loop = new EventLoop({ now });
    const released: string[] = [];
    await Promise.all(
      [["a", 5], ["b", 2], ["c", 5], ["d", 2], ["e", 3]].map(async ([name, rank]) => {
        await loop.nextPoll(rank as number);
        released.push(name as string);
        blockEventLoop(4);
      }),
    );
    expect(released.join("")).to.equal("bdeac");
  });

  // Guards against less urgent work that waits until its caller leaves while urgent work takes all the time.
  it("releases less urgent work that has waited long before urgent work that has just arrived", async () => {
    const loop = new EventLoop({ now });
    const released: string[] = [];
    const wait = async (name: string, rank: number) => {
      await loop.nextPoll(rank);
      released.push(name);
      blockEventLoop(4);
    };
    const other = wait("other", 5);
    blockEventLoop(400);
    await Promise.all([other, wait("urgent", 0)]);
    expect(released).to.deep.equal(["other", "urgent"]);
  });

  it("reports how long the oldest work has waited while more urgent work goes first", async () => {
    const oldest: number[] = [];
    const loop = new EventLoop({ now, onRelease: (_ms, oldestMs) => oldest.push(oldestMs) });
    const other = loop.nextPoll(5);
    blockEventLoop(20);
    await Promise.all(Array.from({ length: 3 }, () => loop.nextPoll(2)));
    await other;
    expect(oldest).to.have.length(4);
    oldest.forEach((ms) => expect(ms).to.be.at.least(19));
  });

  it("reports how long work has waited", async () => {
    const waits: number[] = [];
    const loop = new EventLoop({ now, onRelease: (ms) => waits.push(ms) });
    const called = loop.nextPoll();
    blockEventLoop(30);
    await called;
    await loop.nextPoll();
    expect(waits).to.have.length(2);
    expect(waits[0]).to.be.at.least(29);
    expect(waits[1]).to.be.below(29);
  });

  it("releases a call after a poll that began later than the call", async () => {
    const loop = new EventLoop({ now });
    let hasPolled = false;
    await new Promise((resolve) => setImmediate(resolve));
    // Two callbacks of the check phase enclose one poll.
    setImmediate(() => setImmediate(() => hasPolled = true));
    await loop.nextPoll();
    await Promise.resolve();
    expect(hasPolled).to.equal(true);
  });
});
