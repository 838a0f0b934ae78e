import { expect } from "chai";
import { createRandom } from "@bulrushwood/types";
import { AdaptiveThrottle } from "./mod.ts";

const SERVICE = "despacho";
const URGENT = 0;
const USUAL = 1;

/** Owners of one service that together accept a rate of requests; the urgent ones first. */
interface Load {
  ingresses: number;
  /** Requests a second of each priority at all ingresses together, and what the owners accept of all. */
  urgent: number;
  usual: number;
  capacity: number;
  seconds: number;
}

interface Ingress {
  throttle: AdaptiveThrottle;
}

/** Plays loads one after the other; returns the rates of forwarded and accepted requests a second of each load. */
function play(loads: Load[]) {
  let time = 0;
  const random = createRandom(3);
  const ingresses: Ingress[] = Array.from({ length: loads[0].ingresses }, () => ({
    throttle: new AdaptiveThrottle({ now: () => time, random }),
  }));
  return loads.map(({ urgent, usual, capacity, seconds }) => {
    const forwarded = [0, 0];
    const accepted = [0, 0];
    let room = 0;
    for (const until = time + seconds * 1_000; time < until; time++) {
      room = Math.min(capacity / 10, room + capacity / 1_000);
      for (const { throttle } of ingresses) {
        for (const priority of [URGENT, USUAL]) {
          const rate = priority === URGENT ? urgent : usual;
          if (
            random() >= rate / ingresses.length / 1_000 || !throttle.mayForward(SERVICE, priority)
          ) {
            continue;
          }
          forwarded[priority]++;
          const reserved = priority === URGENT ? 0 : Math.min(urgent, capacity) / 50;
          const isAccepted = room >= 1 + reserved;
          room -= isAccepted ? 1 : 0;
          accepted[priority] += isAccepted ? 1 : 0;
          throttle.recordForwarded(SERVICE, priority, { isAccepted });
        }
      }
    }
    return {
      forwarded: forwarded.map((count) => count / seconds),
      accepted: accepted.map((count) => count / seconds),
    };
  });
}

describe("adaptive throttle", () => {
  // Guards against a rush in which daemons spend their time on requests that are forwarded and rejected.
  it("forwards about twice what is accepted in a rush, and enough to keep the owners busy", () => {
    for (const ingresses of [10, 61]) {
      const [, { forwarded, accepted }] = play([
        { ingresses, urgent: 0, usual: 3_200, capacity: 800, seconds: 3 },
        { ingresses, urgent: 0, usual: 3_200, capacity: 800, seconds: 10 },
      ]);
      expect(accepted[USUAL], `${ingresses} ingresses`).to.be.above(800 * 0.95);
      expect(forwarded[USUAL], `${ingresses} ingresses`).to.be.below(800 * 2.25);
    }
  });

  it("forwards nearly all requests while at least three of four are accepted", () => {
    const [{ forwarded }] = play([
      { ingresses: 10, urgent: 0, usual: 800, capacity: 600, seconds: 20 },
    ]);
    expect(forwarded[USUAL]).to.be.above(800 * 0.97);
  });

  it("stays within a tenth of what can be served once a second has passed after a rush", () => {
    const load = { ingresses: 10, urgent: 0, capacity: 800 };
    const [, , { accepted }] = play([
      { ...load, usual: 3_200, seconds: 6 },
      { ...load, usual: 600, seconds: 1 },
      { ...load, usual: 600, seconds: 4 },
    ]);
    expect(accepted[USUAL]).to.be.above(600 * 0.9);
  });

  it("holds back the priority that is rejected, and no other", () => {
    const load = { ingresses: 10, urgent: 400, usual: 1_600, capacity: 600 };
    const [, { forwarded }] = play([{ ...load, seconds: 3 }, { ...load, seconds: 10 }]);
    expect(forwarded[URGENT]).to.be.above(400 * 0.97);
    expect(forwarded[USUAL]).to.be.below(1_600 / 2);
  });

  it("holds nothing back before it knows anything of the load", () => {
    const throttle = new AdaptiveThrottle({ now: () => 0, random: () => 0 });
    for (let request = 0; request < 6; request++) {
      expect(throttle.mayForward(SERVICE, USUAL)).to.equal(true);
      throttle.recordForwarded(SERVICE, USUAL, { isAccepted: false });
    }
  });
});
