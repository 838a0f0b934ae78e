import { expect } from "chai";
import { ServerLimit } from "./server_limit.ts";

const LIMITED = { requestsPerSecond: 20, isLeaving: false };
const UNLIMITED = { requestsPerSecond: undefined, isLeaving: false };

describe("server limit", () => {
  it("is unknown until a response, and ends with a response that does not name it", () => {
    const clock = { now: 100 };
    const limit = new ServerLimit(() => clock.now);
    expect(limit.isKnown).to.equal(false);
    expect(limit.apply(LIMITED, { sentAt: 50 })).to.equal(true);
    expect([limit.isKnown, limit.requestsPerSecond]).to.deep.equal([true, 20]);
    clock.now = 200;
    expect(limit.apply(UNLIMITED, { sentAt: 150 })).to.equal(true);
    expect(limit.requestsPerSecond).to.equal(undefined);
  });

  it("does not end with a response to a request that was sent before the limit was named", () => {
    const limit = new ServerLimit(() => 100);
    limit.apply(LIMITED, { sentAt: 90 });
    expect(limit.apply(UNLIMITED, { sentAt: 95 })).to.equal(false);
    expect(limit.requestsPerSecond).to.equal(20);
  });

  it("does not end with a response whose limit is malformed", () => {
    const limit = new ServerLimit(() => 100);
    limit.apply(LIMITED, { sentAt: 90 });
    expect(limit.apply({ ...UNLIMITED, limitError: "malformed" }, { sentAt: 100 })).to.equal(false);
    expect(limit.requestsPerSecond).to.equal(20);
  });

  it("does not keep a server without requests from being chosen again", () => {
    const clock = { now: 100 };
    const limit = new ServerLimit(() => clock.now);
    limit.apply({ ...LIMITED, requestsPerSecond: 0 }, { sentAt: 90 });
    expect(limit.recentRequestsPerSecond).to.equal(0);
    clock.now += 10_000;
    expect([limit.requestsPerSecond, limit.recentRequestsPerSecond]).to.deep.equal([0, undefined]);
  });
});
