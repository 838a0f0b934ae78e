import { Buffer } from "node:buffer";
import { expect } from "chai";
import { BodyCollector, BodyFailure } from "./body_collector.ts";

const BYTES_MAX = 1_000_000;
/** Memory beyond a body's own bytes, as a share of them, that its parts may take. */
const EXCESS_MAX = 1;
const PARTS_MAX = 50_000;
const PART_LENGTHS = [1, 7, 1_000, 16_000, 20_000, 70_000];

describe("collection of a body without a length", () => {
  for (const length of PART_LENGTHS) {
    // Guards against short parts that take many times their bytes as buffers of their own.
    it(`takes little more than its bytes in parts of ${length}`, () => {
      let taken = 0;
      const take = (bytes: number) => {
        taken += bytes;
        return true;
      };
      const body = new BodyCollector({ bytesMax: BYTES_MAX, take });
      const count = Math.min(PARTS_MAX, Math.floor(BYTES_MAX / length));
      const parts = Array.from({ length: count }, (_, index) => Buffer.alloc(length, index % 251));
      expect(parts.every((part) => body.add(part))).to.equal(true);
      const sent = Buffer.concat(parts);
      expect(taken).to.be.within(sent.length, sent.length * (1 + EXCESS_MAX));
      expect(body.end().equals(sent)).to.equal(true);
    });
  }

  it("ends when there is no memory for its next block", () => {
    let left = 10_000;
    const take = (bytes: number) => (left -= bytes) >= 0;
    const body = new BodyCollector({ bytesMax: BYTES_MAX, take });
    let count = 0;
    while (body.add(Buffer.from("x")) && count < BYTES_MAX) {
      count++;
    }
    expect(count).to.be.within(1, 10_000);
    expect(body.failure).to.equal(BodyFailure.NoMemory);
  });
});
