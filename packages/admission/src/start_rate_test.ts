import { expect } from "chai";
import { StartRate } from "./mod.ts";

const WINDOW_MS = 4_000;
const STEP_MS = 1;

/** Largest number of requests that a server may get in a window, as the operators state it. */
function allowed(perSecond: number): number {
  return 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
}

function mostInWindow(starts: number[]): number {
  return Math.max(
    ...starts.map((from) => starts.filter((at) => at >= from && at < from + WINDOW_MS).length),
  );
}

/** Starts requests as often as the limit allows; returns when they started. */
function run(options: { perSecond: (at: number) => number | undefined; untilMs: number }) {
  const clock = { now: 0 };
  const { perSecond, untilMs } = options;
  const rate = new StartRate({ now: () => clock.now, perSecond: () => perSecond(clock.now) });
  const starts: number[] = [];
  for (; clock.now < untilMs; clock.now += STEP_MS) {
    while (perSecond(clock.now) !== undefined && rate.nextMs === 0) {
      rate.recordStart(0);
      starts.push(clock.now);
    }
  }
  return starts;
}

describe("start rate", () => {
  for (const perSecond of [0, 0.3, 1, 12.4, 29]) {
    it(`keeps a limit of ${perSecond} a second, and uses it`, () => {
      const starts = run({ perSecond: () => perSecond, untilMs: 12_000 });
      expect(mostInWindow(starts)).to.be.at.most(allowed(perSecond));
      expect(starts.length).to.be.at.least(Math.max(1, 11 * perSecond));
    });
  }

  it("keeps a limit after a pause, and one that falls", () => {
    const perSecond = (at: number) => at < 5_000 ? 0 : at < 9_000 ? 40 : 10;
    const starts = run({ perSecond, untilMs: 16_000 }).filter((at) => at >= 9_000);
    expect(mostInWindow(starts)).to.be.at.most(allowed(10));
  });

  it("saves no starts while there is no limit", () => {
    const perSecond = (at: number) => at < 10_000 ? undefined : 20;
    expect(run({ perSecond, untilMs: 10_040 })).to.deep.equal([]);
  });

  it("tells how long the next requests wait", () => {
    const rate = new StartRate({ now: () => 0, perSecond: () => 20 });
    expect([rate.nextMs, rate.expectedMs(0, 0), rate.expectedMs(3, 0)]).to.deep.equal([
      50,
      50,
      200,
    ]);
  });

  it("expects less urgent requests to wait for the more urgent ones that keep coming", () => {
    const clock = { now: 0 };
    const rate = new StartRate({ now: () => clock.now, perSecond: () => 20 });
    for (; clock.now < 5_000; clock.now += 100) {
      rate.recordStart(1);
    }
    // Ten urgent starts a second leave half of the rate, and the bucket is full or empty by at most five starts.
    const urgentMs = rate.expectedMs(8, 1);
    expect(rate.expectedMs(8, 2) / urgentMs).to.be.within(1.8, 2.3);
    expect(rate.expectedMs(8, 0)).to.equal(urgentMs);
  });
});
