import { expect } from "chai";
import { FailureLimit } from "./mod.ts";

const SUCCESS_MS = 100;
const FAILURE_MS = 300;
const SLOTS = 20;

function recordTimes(limit: FailureLimit, count: number, hasFailed: boolean): void {
  for (let index = 0; index < count; index++) {
    limit.record({ ms: hasFailed ? FAILURE_MS : SUCCESS_MS, hasFailed });
  }
}

function createLimit(): FailureLimit {
  const limit = new FailureLimit();
  recordTimes(limit, 20, false);
  return limit;
}

describe("the limit of a class whose requests fail", () => {
  it("leaves most slots to a class that fails now and then", () => {
    const limit = createLimit();
    const least = Array.from({ length: 20 }, () => {
      recordTimes(limit, 1, true);
      const slots = limit.limit(SLOTS);
      recordTimes(limit, 24, false);
      return slots;
    });
    expect(Math.min(...least)).to.equal(13);
  });

  it("leaves one request at a time to a class that always fails", () => {
    const limit = createLimit();
    recordTimes(limit, 30, true);
    expect([limit.limit(8), limit.limit(1), limit.limit(0)]).to.deep.equal([1, 1, 0]);
  });

  it("does not count requests that fail sooner than others succeed", () => {
    const limit = createLimit();
    for (let count = 0; count < 30; count++) {
      limit.record({ ms: SUCCESS_MS / 2, hasFailed: true });
    }
    expect(limit.limit(SLOTS)).to.equal(SLOTS);
  });

  it("ends within few successes once the cause of the failures has ended", () => {
    const limit = createLimit();
    recordTimes(limit, 30, true);
    recordTimes(limit, 25, false);
    expect(limit.limit(SLOTS)).to.equal(SLOTS);
  });

  it("lets as many begin as succeed, where the service that they wait for has little room", () => {
    const limit = createLimit();
    // More than six at once fail.
    const shares = Array.from({ length: 400 }, () => {
      const slots = limit.limit(SLOTS);
      recordTimes(limit, 1, slots > 6);
      return slots;
    });
    const mean = shares.slice(100).reduce((sum, slots) => sum + slots, 0) / 300;
    expect(mean).to.be.within(4, 7);
  });
});
