import { expect } from "chai";
import { connect, createServer } from "node:net";
import { countDescriptors, openDescriptorsMax, SocketLimit } from "./socket_limit.ts";

describe("the limit of sockets", () => {
  it("is what the settings say, or less where the operating system allows fewer descriptors", () => {
    let time = 0;
    let descriptorsMax = Infinity;
    const limit = new SocketLimit({
      socketsMax: 500,
      now: () => time,
      readDescriptorsMax: () => descriptorsMax,
      countDescriptors: () => 120,
      openSockets: () => 100,
    });
    expect(limit.value).to.equal(500);
    descriptorsMax = 232;
    expect(limit.value).to.equal(500);
    time += 50;
    expect(limit.value).to.equal(200);
    descriptorsMax = 10;
    time += 50;
    expect(limit.value).to.equal(0);
  });

  // Guards against a limit of a few connections where sockets take none of the operating system's descriptors.
  it("is what the settings say where there are more sockets than descriptors", () => {
    let time = 0;
    const limit = new SocketLimit({
      socketsMax: 500,
      now: () => time,
      readDescriptorsMax: () => 232,
      countDescriptors: () => 11,
      openSockets: () => 12,
    });
    expect(limit.value).to.equal(200);
    time += 50;
    expect(limit.value).to.equal(500);
  });

  it("stays that of the descriptors where sockets are closing", () => {
    let time = 0;
    let openSockets = 190;
    const limit = new SocketLimit({
      socketsMax: 500,
      now: () => time,
      readDescriptorsMax: () => 232,
      countDescriptors: () => 20,
      openSockets: () => openSockets,
    });
    for (let read = 0; read < 20; read++) {
      expect(limit.value).to.equal(200);
      openSockets = read % 2 === 0 ? 5 : 190;
      time += 50;
    }
  });

  it("counts the descriptors of real sockets", async () => {
    const before = countDescriptors();
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { port: number };
    const socket = connect(port, "127.0.0.1");
    await new Promise((resolve) => server.once("connection", resolve));
    expect(countDescriptors()).to.be.at.least(before + 3);
    socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  });

  it("reads how many descriptors this process may have", () => {
    const read = openDescriptorsMax();
    expect(read()).to.be.above(3);
    expect(read()).to.equal(read());
  });
});
