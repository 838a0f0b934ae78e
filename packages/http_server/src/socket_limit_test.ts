import { expect } from "chai";
import { openDescriptorsMax, SocketLimit } from "./socket_limit.ts";

describe("the limit of sockets", () => {
  it("is what the settings say, or less where the operating system allows fewer descriptors", () => {
    let time = 0;
    let descriptorsMax = Infinity;
    const readDescriptorsMax = () => descriptorsMax;
    const limit = new SocketLimit({ socketsMax: 500, now: () => time, readDescriptorsMax });
    expect(limit.value).to.equal(500);
    descriptorsMax = 232;
    expect(limit.value).to.equal(500);
    time += 50;
    expect(limit.value).to.equal(200);
    descriptorsMax = 10;
    time += 50;
    expect(limit.value).to.equal(0);
  });

  it("reads how many descriptors this process may have", () => {
    const read = openDescriptorsMax();
    expect(read()).to.be.above(3);
    expect(read()).to.equal(read());
  });
});
