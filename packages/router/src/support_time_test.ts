import { expect } from "chai";
import { GrantDelivery } from "@bulrushwood/deployment";
import { SUPPORT_MS } from "@bulrushwood/lease_votes";
import { HEARTBEAT_MS } from "@bulrushwood/membership_beats";
import { SupportTime } from "./support_time.ts";

const TIMEOUT_MS = 2_500;
const GRANT_MS_MAX = 10_000;

function createSupportTime(
  workMs: number | undefined,
  options: { timeoutMs?: number; isLarge?: boolean } = {},
) {
  const { timeoutMs = TIMEOUT_MS, isLarge = false } = options;
  return new SupportTime({
    grantDelivery: GrantDelivery.Orders,
    reportEveryMs: 870,
    grantMsMax: GRANT_MS_MAX,
    workMs: () => workMs,
    timeoutMsMax: () => timeoutMs,
    isLarge: () => isLarge,
  });
}

describe("time of votes", () => {
  it("is the shortest while work is short or unknown, so that lost daemons cost little", () => {
    for (const workMs of [undefined, 100, 400]) {
      expect(createSupportTime(workMs).ms).to.equal(SUPPORT_MS);
    }
  });

  it("leaves each grant that is renewed in time long enough for the work", () => {
    const supportTime = createSupportTime(2_000);
    expect(supportTime.ms).to.be.above(2_000);
    expect(supportTime.grantLeftMs(supportTime.ms)).to.equal(2_000);
  });

  it("is bounded by the routes' timeouts and by the longest grant that servers accept", () => {
    expect(createSupportTime(60_000).ms).to.equal(createSupportTime(TIMEOUT_MS).ms);
    expect(createSupportTime(60_000, { timeoutMs: 60_000 }).msMax).to.equal(GRANT_MS_MAX);
  });

  // Guards against heartbeats that take up the time of the small machines of a large deployment.
  it("lets a large deployment with long work send half as many heartbeats, of which two may be lost", () => {
    const large = createSupportTime(1_500, { isLarge: true, timeoutMs: 5_000 });
    expect(large.heartbeatMs).to.equal(2 * HEARTBEAT_MS);
    expect(large.ms).to.be.above(3 * large.heartbeatMs);
    expect(large.ms).to.be.at.most(large.msMax);
    expect(large.grantLeftMs(large.ms)).to.equal(1_500);
    expect(createSupportTime(400, { isLarge: true }).heartbeatMs).to.equal(HEARTBEAT_MS);
    expect(createSupportTime(1_500).heartbeatMs).to.equal(HEARTBEAT_MS);
  });

  it("lets short work begin under a grant that is about to be renewed", () => {
    expect(createSupportTime(100).grantLeftMs(SUPPORT_MS)).to.equal(100);
    expect(createSupportTime(2_000).grantLeftMs(SUPPORT_MS)).to.be.below(SUPPORT_MS - HEARTBEAT_MS);
  });
});
