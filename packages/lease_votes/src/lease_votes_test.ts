import { expect } from "chai";
import {
  DRIFT_MARGIN_MS,
  quorumOf,
  sealQuorumOf,
  SUPPORT_MS,
  SuspensionDetector,
  Tenure,
  VoteManager,
} from "./mod.ts";

function createManager(clock: { now: number }, own = "own") {
  return new VoteManager({
    now: () => clock.now,
    mustReject: (tenure) => tenure === "suspected",
    isOwn: (tenure) => tenure === own,
  });
}

describe("vote manager", () => {
  it("seals a tenure only after its support has run out, and does not support it again", () => {
    const clock = { now: 0 };
    const manager = createManager(clock);
    expect(manager.support("t", SUPPORT_MS)).to.equal(true);
    clock.now = SUPPORT_MS - 1;
    expect(manager.seal("t")).to.equal(false);
    clock.now = SUPPORT_MS;
    expect(manager.seal("t")).to.equal(true);
    expect(manager.support("t", SUPPORT_MS)).to.equal(false);
  });

  it("seals a tenure only after its longest vote, also if a shorter one followed", () => {
    const clock = { now: 0 };
    const manager = createManager(clock);
    manager.support("t", 3 * SUPPORT_MS);
    clock.now = 10;
    manager.support("t", SUPPORT_MS);
    clock.now = 3 * SUPPORT_MS - 1;
    expect(manager.seal("t")).to.equal(false);
    clock.now = 3 * SUPPORT_MS;
    expect(manager.seal("t")).to.equal(true);
  });

  it("seals a tenure that it never supported immediately", () => {
    expect(createManager({ now: 0 }).seal("t")).to.equal(true);
  });

  it("never seals its own tenure, which relies on its own support", () => {
    expect(createManager({ now: 0 }).seal("own")).to.equal(false);
  });

  it("does not support a suspected tenure", () => {
    expect(createManager({ now: 0 }).support("suspected", SUPPORT_MS)).to.equal(false);
  });
});

describe("tenure", () => {
  const voters = ["a", "b", "c"].map((address) => ({ address, incarnation: `${address}1` }));

  function createTenure(clock: { now: number }) {
    return new Tenure({
      tenure: "t",
      voters,
      self: "a",
      now: () => clock.now,
      supportMs: () => SUPPORT_MS,
    });
  }

  it("needs a majority, and counts a vote from when it was requested", () => {
    const clock = { now: 100 };
    const tenure = createTenure(clock);
    expect(tenure.supportedUntil).to.equal(Number.NEGATIVE_INFINITY);
    tenure.recordSupport("b", "b1", { sentAt: 60, supportMs: SUPPORT_MS });
    expect(tenure.supportedUntil).to.equal(60 + SUPPORT_MS - DRIFT_MARGIN_MS);
  });

  it("does not count the vote of a restarted voter", () => {
    const tenure = createTenure({ now: 0 });
    tenure.recordSupport("b", "b2", { sentAt: 0, supportMs: SUPPORT_MS });
    expect(tenure.supportedUntil).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("does not count the vote of a daemon that is no voter", () => {
    const tenure = createTenure({ now: 0 });
    tenure.recordSupport("d", "d1", { sentAt: 0, supportMs: SUPPORT_MS });
    expect(tenure.supportedUntil).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("drops all votes after a suspension", () => {
    const tenure = createTenure({ now: 0 });
    tenure.recordSupport("b", "b1", { sentAt: 0, supportMs: SUPPORT_MS });
    tenure.dropSupport();
    expect(tenure.supportedUntil).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("needs enough seals to leave no majority, for any number of voters", () => {
    for (let voters = 1; voters <= 9; voters++) {
      expect(voters - sealQuorumOf(voters)).to.be.below(quorumOf(voters));
      expect(sealQuorumOf(voters) + quorumOf(voters)).to.equal(voters + 1);
    }
  });
});

describe("suspension detector", () => {
  it("detects that the time of day advanced while the monotonic clock stopped", () => {
    const clock = { monotonic: 0, timeOfDay: 1_000_000 };
    const detector = new SuspensionDetector(() => clock.monotonic, () => clock.timeOfDay);
    clock.monotonic += 500;
    clock.timeOfDay += 505;
    expect(detector.check()).to.equal(0);
    clock.timeOfDay += 2_000;
    expect(detector.check()).to.equal(2_000);
    expect(detector.check()).to.equal(0);
  });

  it("reports no suspension when the time of day is set back, and detects the next one", () => {
    const clock = { monotonic: 0, timeOfDay: 1_000_000 };
    const detector = new SuspensionDetector(() => clock.monotonic, () => clock.timeOfDay);
    clock.timeOfDay -= 5_000;
    expect(detector.check()).to.equal(0);
    clock.timeOfDay += 300;
    expect(detector.check()).to.equal(300);
  });
});
