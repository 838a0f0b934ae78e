import { expect } from "chai";
import { BodyMemory } from "./body_memory.ts";

const MB = 1024 * 1024;
const SHORT = 100 * 1024;

describe("memory for bodies", () => {
  it("is bounded over all requests, and is free again once requests have ended", () => {
    const memory = new BodyMemory({ bytesMax: 10 * MB });
    const requests = [1, 2, 3].map(() => memory.open());
    expect(requests.map((request) => request.take(4 * MB))).to.deep.equal([true, true, false]);
    requests[1].release();
    expect(requests[2].take(4 * MB)).to.equal(true);
    expect(requests[0].take(4 * MB)).to.equal(false);
    expect(memory.bytes).to.be.at.most(10 * MB);
    requests.forEach((request) => request.release());
    expect(memory.bytes).to.equal(0);
  });

  it("always has room for short bodies", () => {
    const memory = new BodyMemory({ bytesMax: MB });
    expect(memory.open().take(MB)).to.equal(true);
    const requests = Array.from({ length: 100 }, () => memory.open());
    expect(requests.every((request) => request.take(SHORT))).to.equal(true);
    expect(requests[0].take(MB)).to.equal(false);
  });

  // Guards against many slow callers that end a daemon by its memory.
  it("bounds the sum of short bodies, and of the short parts of long ones, apart from the others", () => {
    const memory = new BodyMemory({ bytesMax: 10 * MB, shortBytesMax: 10 * SHORT });
    const requests = Array.from({ length: 12 }, () => memory.open());
    const taken = requests.map((request) => request.take(SHORT));
    expect(taken.filter((isTaken) => isTaken)).to.have.length(10);
    expect(memory.open().take(MB)).to.equal(false);
    requests.forEach((request) => request.release());
    expect(memory.open().take(4 * MB)).to.equal(true);
    expect(memory.bytes).to.be.below(4 * MB);
  });

  it("counts a body that arrives in parts as one that arrives at once", () => {
    const memory = new BodyMemory({ bytesMax: 10 * MB });
    const [parts, whole] = [memory.open(), memory.open()];
    for (let count = 0; count < 20; count++) {
      parts.take(SHORT);
    }
    const bytes = memory.bytes;
    whole.take(20 * SHORT);
    expect(memory.bytes).to.equal(2 * bytes);
  });
});
