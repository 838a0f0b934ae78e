import { expect } from "chai";
import { TimelyLimit } from "./mod.ts";

const TIMELY_MS = 100;
const DEADLINE_MS = 500;

function record(limit: TimelyLimit, isTimely: boolean): void {
  if (isTimely) {
    limit.recordTimely(TIMELY_MS);
  } else {
    limit.recordLate(DEADLINE_MS);
  }
}

function createLimit(outcomes: boolean[]): TimelyLimit {
  const limit = new TimelyLimit();
  outcomes.forEach((isTimely) => record(limit, isTimely));
  return limit;
}

function repeat(count: number, isTimely: boolean): boolean[] {
  return new Array(count).fill(isTimely);
}

describe("the limit of a server that responds late", () => {
  it("leaves all slots to a server that loses single responses", () => {
    const outcomes = Array.from({ length: 60 }, (_, index) => index % 4 !== 0);
    expect(createLimit(outcomes).limit(40)).to.equal(40);
  });

  it("leaves one request at a time to a server that lets every deadline pass", () => {
    const limit = createLimit(repeat(60, false));
    expect([limit.limit(40), limit.limit(1), limit.limit(0)]).to.deep.equal([1, 1, 0]);
  });

  it("does not count requests that had less time than the server usually takes", () => {
    const limit = createLimit(repeat(60, true));
    repeat(60, false).forEach(() => limit.recordLate(TIMELY_MS / 2));
    expect(limit.limit(40)).to.equal(40);
  });

  it("ends within few requests once the server responds in time", () => {
    const limit = createLimit(repeat(60, false));
    const limits = repeat(7, true).map((isTimely) => {
      record(limit, isTimely);
      return limit.limit(40);
    });
    expect(limits[0]).to.be.above(1);
    expect(limits.at(-1)).to.equal(40);
  });
});
