import { expect } from "chai";
import { WorkTail } from "./mod.ts";

describe("work tail", () => {
  it("is unknown before the first request", () => {
    expect(new WorkTail().ms).to.equal(undefined);
  });

  it("covers nearly all requests, and follows work that becomes longer or shorter", () => {
    const tail = new WorkTail();
    const recordAll = (longMs: number) => {
      for (let count = 0; count < 200; count++) {
        tail.record(count % 20 === 0 ? longMs : 100);
      }
    };
    recordAll(2_000);
    expect(tail.ms).to.equal(2_000);
    recordAll(500);
    expect(tail.ms).to.equal(500);
  });

  it("expects longer work than a few short requests show", () => {
    const tail = new WorkTail();
    [300, 400, 500].forEach((ms) => tail.record(ms));
    expect(tail.ms).to.equal(1_200);
  });
});
