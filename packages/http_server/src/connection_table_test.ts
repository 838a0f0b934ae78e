import { expect } from "chai";
import { ConnectionTable } from "./connection_table.ts";

/** A socket that records that it was destroyed. */
class FakeSocket {
  bytesRead = 0;
  isDestroyed = false;

  destroy(): void {
    this.isDestroyed = true;
  }
}

/** Creates a table with a number of connections, one accepted each millisecond. */
function createTable(count: number): {
  table: ConnectionTable<FakeSocket>;
  sockets: FakeSocket[];
  advance: (ms: number) => void;
  respond: (socket: FakeSocket) => void;
  destroyed: () => number[];
} {
  let time = 0;
  const table = new ConnectionTable<FakeSocket>({ now: () => time });
  const sockets = Array.from({ length: count }, () => {
    const socket = new FakeSocket();
    time++;
    table.add(socket);
    table.settle(socket);
    return socket;
  });
  return {
    table,
    sockets,
    advance: (ms) => time += ms,
    respond: (socket) => {
      socket.bytesRead += 100;
      table.begin(socket);
      table.end(socket);
    },
    destroyed: () => sockets.flatMap(({ isDestroyed }, index) => isDestroyed ? [index] : []),
  };
}

describe("the table of connections", () => {
  it("closes the connection that is idle longest", () => {
    const { table, sockets, respond, destroyed } = createTable(4);
    [2, 0, 3, 1].forEach((index) => respond(sockets[index]));
    expect(table.makeRoom(2)).to.equal(2);
    expect(destroyed()).to.deep.equal([0, 2]);
    expect(table.size).to.equal(2);
  });

  it("closes no connection with an open request", () => {
    const { table, sockets, respond, destroyed } = createTable(3);
    sockets.forEach(respond);
    table.begin(sockets[0]);
    table.begin(sockets[2]);
    table.begin(sockets[2]);
    table.end(sockets[2]);
    expect(table.makeRoom(0)).to.equal(1);
    expect(destroyed()).to.deep.equal([1]);
  });

  it("closes no connection on which a part of a request has arrived", () => {
    const { table, sockets, respond, advance, destroyed } = createTable(4);
    sockets.slice(2).forEach(respond);
    sockets[0].bytesRead += 10;
    sockets[2].bytesRead += 10;
    advance(5_000);
    expect(table.makeRoom(0)).to.equal(2);
    expect(destroyed()).to.deep.equal([1, 3]);
  });

  it("keeps connections that callers use when many others are opened that carry no request", () => {
    const { table, sockets, respond, advance, destroyed } = createTable(5);
    respond(sockets[0]);
    advance(2_000);
    expect(table.makeRoom(2)).to.equal(3);
    expect(destroyed()).to.deep.equal([1, 2, 3]);
  });

  it("closes new connections without a request beyond half of all, and idle ones before that", () => {
    const { table, sockets, respond, destroyed } = createTable(7);
    [0, 1, 2].forEach((index) => respond(sockets[index]));
    table.makeRoom(6);
    expect(destroyed()).to.deep.equal([3]);
    table.makeRoom(5);
    expect(destroyed()).to.deep.equal([0, 3]);
  });

  it("closes a new connection where no other is idle", () => {
    const { table, sockets, destroyed } = createTable(4);
    table.begin(sockets[0]);
    table.begin(sockets[1]);
    table.begin(sockets[3]);
    table.makeRoom(2);
    expect(destroyed()).to.deep.equal([2]);
  });

  it("closes no new connection before what arrived with it was read", () => {
    const { table, destroyed } = createTable(1);
    const accepted = new FakeSocket();
    table.add(accepted);
    table.makeRoom(0);
    expect(destroyed()).to.deep.equal([0]);
    expect(accepted.isDestroyed).to.equal(false);
    table.begin(accepted);
    table.settle(accepted);
    table.makeRoom(0);
    expect(accepted.isDestroyed).to.equal(false);
  });

  it("closes idle connections when it closes, and others after their response", () => {
    const { table, sockets, respond, destroyed } = createTable(4);
    [0, 1].forEach((index) => respond(sockets[index]));
    [1, 2].forEach((index) => table.begin(sockets[index]));
    table.close();
    expect(destroyed()).to.deep.equal([0]);
    table.end(sockets[2]);
    expect(destroyed()).to.deep.equal([0, 2]);
  });

  it("forgets connections that have closed", () => {
    const { table, sockets, respond } = createTable(2);
    sockets.forEach(respond);
    table.begin(sockets[0]);
    sockets.forEach((socket) => table.remove(socket));
    table.end(sockets[0]);
    expect(table.size).to.equal(0);
    expect(table.makeRoom(0)).to.equal(0);
  });
});
