import { expect } from "chai";
import { createRandom } from "@bulrushwood/types";
import { Gate, RequestCosts, startInMs } from "./mod.ts";

describe("costs of requests", () => {
  it("are learned by route and length of the body", () => {
    const costs = new RequestCosts();
    expect(costs.expectedMs({ route: "look" })).to.equal(undefined);
    for (let count = 0; count < 200; count++) {
      costs.record({ route: "look" }, 40);
      costs.record({ route: "photo", bytes: 2_000 }, 100);
      costs.record({ route: "photo", bytes: 400_000 }, 900);
    }
    expect(costs.expectedMs({ route: "look" })).to.be.within(39, 41);
    expect(costs.expectedMs({ route: "photo", bytes: 2_500 })).to.be.within(95, 130);
    expect(costs.expectedMs({ route: "photo", bytes: 300_000 })).to.be.within(850, 905);
    expect(costs.expectedMs({ route: "photo", bytes: 30_000_000 })).to.be.within(100, 900);
  });

  // Guards against routes, or lengths of bodies, without end that take up memory.
  it("are bounded in number, and one route's do not change another's", () => {
    const costs = new RequestCosts();
    for (let count = 0; count < 50; count++) {
      costs.record({ route: "cheap" }, 1);
      costs.record({ route: "dear" }, 500);
    }
    expect(costs.expectedMs({ route: "dear" })).to.equal(500);
    for (let count = 0; count < 2_000; count++) {
      costs.record({ route: `route-${count}` }, 1);
    }
    expect(costs.expectedMs({ route: "route-3" })).to.equal(undefined);
    expect(costs.expectedMs({ route: "route-1999" })).to.equal(1);
  });

  // Guards against callers who leave early and so make their requests look short.
  it("are not learned from requests without an answer", async () => {
    const clock = { now: 0 };
    const costs = new RequestCosts();
    const gate = new Gate({ now: () => clock.now, limit: () => 1, random: () => 0.5, costs });
    const { signal } = new AbortController();
    for (const [ms, isAnswered] of [[300, true], [5, false], [5, false]] as const) {
      const request = { workClass: "c", priority: 0, targetAt: 1e6, deadline: 1e6, signal };
      const slot = await gate.enter(request);
      clock.now += ms;
      slot.unwrapOr(undefined!).release({ isAnswered });
    }
    expect(costs.expectedMs({ route: "c" })).to.equal(300);
  });
});

describe("work left", () => {
  it("is the time until the first slot is free after the queue", () => {
    const run = (ageMs: number, expectedMs: number) => ({ ageMs, expectedMs });
    expect(startInMs([], [], { slots: 2 })).to.equal(0);
    expect(startInMs([run(10, 100)], [], { slots: 2 })).to.equal(0);
    expect(startInMs([run(10, 100), run(50, 100)], [], { slots: 2 })).to.equal(50);
    expect(startInMs([run(10, 100), run(50, 100)], [500], { slots: 2 })).to.equal(90);
    expect(startInMs([run(10, 100), run(50, 100)], [500, 20], { slots: 2 })).to.equal(110);
    // A request that is older than expected still takes a while.
    expect(startInMs([run(400, 100)], [], { slots: 1 })).to.equal(30);
  });

  it("grows with each queued request and is never negative, for any load", () => {
    const random = createRandom(7);
    for (let trial = 0; trial < 300; trial++) {
      const slots = 1 + Math.floor(random() * 6);
      const running = Array.from({ length: Math.floor(random() * 8) }, () => ({
        ageMs: random() * 300,
        expectedMs: random() * 300,
      }));
      const queuedMs = Array.from({ length: 6 }, () => random() * 300);
      let before = 0;
      for (let length = 0; length <= queuedMs.length; length++) {
        const ms = startInMs(running, queuedMs.slice(0, length), { slots });
        expect(ms).to.be.at.least(before);
        before = ms;
      }
    }
  });
});
