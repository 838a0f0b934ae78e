import { expect } from "chai";
import {
  BallotBox,
  DRIFT_MARGIN_MS,
  quorumOf,
  sealsOf,
  SUPPORT_MS,
  SuspensionDetector,
  Tenure,
} from "./mod.ts";

function createBox(clock: { now: number }, own = "own") {
  return new BallotBox({
    now: () => clock.now,
    supportMs: SUPPORT_MS,
    mustRefuse: (tenure) => tenure === "suspected",
    isOwn: (tenure) => tenure === own,
  });
}

describe("ballot box", () => {
  it("seals a tenure only after its support has run out, and then for good", () => {
    const clock = { now: 0 };
    const box = createBox(clock);
    expect(box.support("t")).to.equal(true);
    clock.now = SUPPORT_MS - 1;
    expect(box.seal("t")).to.equal(false);
    clock.now = SUPPORT_MS;
    expect(box.seal("t")).to.equal(true);
    expect(box.support("t")).to.equal(false);
  });

  it("seals a tenure that it never supported at once", () => {
    expect(createBox({ now: 0 }).seal("t")).to.equal(true);
  });

  it("never seals its own tenure, which counts on its own support", () => {
    expect(createBox({ now: 0 }).seal("own")).to.equal(false);
  });

  it("refuses a suspected tenure", () => {
    expect(createBox({ now: 0 }).support("suspected")).to.equal(false);
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
      supportMs: SUPPORT_MS,
    });
  }

  it("needs a majority, and counts a vote from when it was asked for", () => {
    const clock = { now: 100 };
    const tenure = createTenure(clock);
    expect(tenure.supportedUntil).to.equal(Number.NEGATIVE_INFINITY);
    tenure.noteSupport("b", "b1", 60);
    expect(tenure.supportedUntil).to.equal(60 + SUPPORT_MS - DRIFT_MARGIN_MS);
  });

  it("does not count the vote of a voter that started anew", () => {
    const tenure = createTenure({ now: 0 });
    tenure.noteSupport("b", "b2", 0);
    expect(tenure.supportedUntil).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("does not count the vote of a daemon that is no voter", () => {
    const tenure = createTenure({ now: 0 });
    tenure.noteSupport("d", "d1", 0);
    expect(tenure.supportedUntil).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("forgets all votes after a suspension", () => {
    const tenure = createTenure({ now: 0 });
    tenure.noteSupport("b", "b1", 0);
    tenure.forget();
    expect(tenure.supportedUntil).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("needs so many seals that no majority is left, for any number of voters", () => {
    for (let voters = 1; voters <= 9; voters++) {
      expect(voters - sealsOf(voters)).to.be.below(quorumOf(voters));
      expect(sealsOf(voters) + quorumOf(voters)).to.equal(voters + 1);
    }
  });
});

describe("suspension detector", () => {
  it("notices that the time of day went on while the monotonic clock stood still", () => {
    const clock = { monotonic: 0, timeOfDay: 1_000_000 };
    const detector = new SuspensionDetector(() => clock.monotonic, () => clock.timeOfDay);
    clock.monotonic += 500;
    clock.timeOfDay += 505;
    expect(detector.check()).to.equal(0);
    clock.timeOfDay += 2_000;
    expect(detector.check()).to.equal(2_000);
    expect(detector.check()).to.equal(0);
  });

  it("takes a time of day that was set back for no suspension, and notices the next one", () => {
    const clock = { monotonic: 0, timeOfDay: 1_000_000 };
    const detector = new SuspensionDetector(() => clock.monotonic, () => clock.timeOfDay);
    clock.timeOfDay -= 5_000;
    expect(detector.check()).to.equal(0);
    clock.timeOfDay += 300;
    expect(detector.check()).to.equal(300);
  });
});
