import { expect } from "chai";
import { createRandom } from "@bulrushwood/types";
import { LoadShedder } from "./mod.ts";

/** Wait of work while there is little, in milliseconds. */
const SHORT_MS = 5;
/** Time between pieces of work, in milliseconds. */
const PIECE_MS = 10;

/** A shedder whose clock advances with the waits that are recorded. */
class Scenario {
  readonly shedder: LoadShedder;
  readonly overloads: boolean[] = [];
  #time = 0;

  constructor() {
    this.shedder = new LoadShedder({
      now: () => this.#time,
      random: createRandom(7),
      onOverload: (isOverloaded) => this.overloads.push(isOverloaded),
    });
  }

  /** Lets the next piece of work begin, which has waited for some time. */
  wait(ms: number): void {
    this.#time += PIECE_MS;
    this.shedder.recordWait(ms);
  }

  /** Lets time pass in which the event loop waits. */
  pause(ms: number): void {
    this.#time += ms;
  }

  waits(ms: number, durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += PIECE_MS) {
      this.wait(ms);
    }
  }

  /** Share of 1,000 requests of a priority that are accepted now. */
  share(priority: number): number {
    const accepted = Array.from({ length: 1_000 }, () => this.shedder.mayAccept(priority));
    return accepted.filter(Boolean).length / 1_000;
  }

  /** Shares of 3,000 requests that are accepted now, of which every so many are urgent. */
  mixedShares(options: { urgentEvery: number }): { urgent: number; other: number; all: number } {
    const [urgent, other] = [1, 2].map(() => ({ accepted: 0, count: 0 }));
    for (let request = 0; request < 3_000; request++) {
      const isUrgent = request % options.urgentEvery === 0;
      const counts = isUrgent ? urgent : other;
      counts.accepted += Number(this.shedder.mayAccept(isUrgent ? 1 : 2));
      counts.count++;
    }
    const shareOf = ({ accepted, count }: typeof urgent) => accepted / count;
    const all = { accepted: urgent.accepted + other.accepted, count: urgent.count + other.count };
    return { urgent: shareOf(urgent), other: shareOf(other), all: shareOf(all) };
  }
}

describe("load shedding", () => {
  it("accepts all requests while waits are short, also after single long ones", () => {
    const scenario = new Scenario();
    for (let pause = 0; pause < 20; pause++) {
      scenario.waits(SHORT_MS, 50);
      scenario.wait(100);
      expect(scenario.share(1)).to.equal(1);
    }
    expect(scenario.overloads).to.deep.equal([]);
  });

  it("accepts all requests when a long wait is the only one in an interval", () => {
    const scenario = new Scenario();
    for (let pause = 0; pause < 20; pause++) {
      scenario.pause(300);
      scenario.wait(100);
      expect(scenario.share(1)).to.equal(1);
    }
    expect(scenario.overloads).to.deep.equal([]);
  });

  it("rejects the less urgent requests first while all waits are long", () => {
    const scenario = new Scenario();
    [1, 2].forEach((priority) => scenario.share(priority));
    scenario.waits(75, 300);
    const [urgent, other] = [scenario.share(1), scenario.share(2)];
    expect(urgent).to.equal(1);
    expect(other).to.be.within(0.2, 0.9);
    scenario.waits(150, 1_000);
    expect(scenario.share(1)).to.be.below(0.9);
    expect(scenario.share(2)).to.be.above(0);
  });

  // Guards against rejecting more requests than needed when urgent ones are the smaller part.
  it("accepts the share that there is processor time for, however many requests are urgent", () => {
    for (const urgentEvery of [4, 10]) {
      const scenario = new Scenario();
      scenario.mixedShares({ urgentEvery });
      scenario.waits(75, 300);
      const { acceptedShare } = scenario.shedder;
      const { urgent, other, all } = scenario.mixedShares({ urgentEvery });
      expect(acceptedShare).to.be.within(0.3, 0.9);
      expect(all).to.be.within(acceptedShare - 0.05, acceptedShare + 0.05);
      expect(urgent).to.equal(1);
      expect(other).to.be.within(0.2, 0.9);
    }
  });

  it("accepts the share that there is processor time for after the mix of requests has changed", () => {
    const scenario = new Scenario();
    scenario.mixedShares({ urgentEvery: 2 });
    scenario.waits(SHORT_MS, 300);
    scenario.pause(10_000);
    scenario.mixedShares({ urgentEvery: 10 });
    scenario.waits(75, 300);
    const { acceptedShare } = scenario.shedder;
    const { all } = scenario.mixedShares({ urgentEvery: 10 });
    expect(all).to.be.within(acceptedShare - 0.05, acceptedShare + 0.05);
  });

  // Guards against rejecting, after half the work, requests that another daemon has already accepted and sent on.
  it("rejects callers' requests before forwarded ones of the same priority, and after less urgent ones", () => {
    const scenario = new Scenario();
    const accepted = () => {
      const counts = { urgent: 0, forwarded: 0, other: 0 };
      for (let round = 0; round < 1_000; round++) {
        counts.urgent += Number(scenario.shedder.mayAccept(1));
        counts.forwarded += Number(scenario.shedder.mayAccept(2, { isForwarded: true }));
        counts.other += Number(scenario.shedder.mayAccept(2));
      }
      return counts;
    };
    accepted();
    scenario.waits(60, 300);
    expect(scenario.shedder.acceptedShare).to.be.within(0.7, 0.9);
    const { urgent, forwarded, other } = accepted();
    expect([urgent, forwarded]).to.deep.equal([1_000, 1_000]);
    expect(other).to.be.within(300, 700);
  });

  it("accepts all requests within some seconds after the load ended, also without work", () => {
    for (const pauseMs of [0, 3_000]) {
      const scenario = new Scenario();
      scenario.waits(150, 2_000);
      expect(scenario.overloads).to.deep.equal([true]);
      scenario.waits(SHORT_MS, 20);
      scenario.pause(pauseMs);
      scenario.waits(SHORT_MS, 3_000);
      expect(scenario.share(2)).to.equal(1);
      expect(scenario.overloads).to.deep.equal([true, false]);
    }
  });

  it("lets callers return at different times", () => {
    const { shedder } = new Scenario();
    const times = Array.from({ length: 20 }, () => shedder.retryAfterMs);
    expect(Math.max(...times) - Math.min(...times)).to.be.above(100);
    expect(Math.min(...times)).to.be.above(0);
  });
});
