import { expect } from "chai";
import { createRandom } from "@bulrushwood/types";
import { OverloadBackoff } from "./overload_backoff.ts";

const DAEMON = "10.0.0.2:7000";
const URGENT = 0;
const USUAL = 1;
const BACKGROUND = 2;

describe("overload backoff", () => {
  let time: number;
  let backoff: OverloadBackoff;

  beforeEach(() => {
    time = 0;
    backoff = new OverloadBackoff(() => time);
  });

  /** Records the failures after which requests are held back, all but the last one. */
  function failAlmost(): void {
    for (let failure = 0; failure < 3; failure++) {
      backoff.recordRejected(DAEMON, USUAL, 100);
    }
  }

  it("holds requests back after four consecutive rejections, twice as long each time, and at most a second", () => {
    failAlmost();
    expect(backoff.remainingMs(DAEMON, USUAL)).to.equal(0);
    const waits = [];
    for (let probe = 0; probe < 6; probe++) {
      backoff.recordRejected(DAEMON, USUAL, 100);
      waits.push(backoff.remainingMs(DAEMON, USUAL));
      time += waits[probe];
    }
    expect(waits).to.deep.equal([100, 200, 400, 800, 1_000, 1_000]);
  });

  it("sends requests again once one was served", () => {
    failAlmost();
    backoff.recordUnanswered(DAEMON, USUAL);
    expect(backoff.remainingMs(DAEMON, USUAL)).to.equal(200);
    time += 200;
    backoff.recordServed(DAEMON, USUAL);
    failAlmost();
    expect(backoff.remainingMs(DAEMON, USUAL)).to.equal(0);
  });

  it("does not add up rejections that are more than a second apart", () => {
    for (let failure = 0; failure < 20; failure++) {
      backoff.recordRejected(DAEMON, USUAL, 100);
      time += 1_100;
    }
    expect(backoff.remainingMs(DAEMON, USUAL)).to.equal(0);
  });

  it("holds back requests of the same and of lower priority only", () => {
    failAlmost();
    backoff.recordRejected(DAEMON, USUAL, 100);
    expect(backoff.remainingMs(DAEMON, URGENT)).to.equal(0);
    expect(backoff.remainingMs(DAEMON, USUAL)).to.equal(100);
    expect(backoff.remainingMs(DAEMON, BACKGROUND)).to.equal(100);
    expect(backoff.remainingMs("10.0.0.3:7000", USUAL)).to.equal(0);
    backoff.recordServed(DAEMON, URGENT);
    expect(backoff.remainingMs(DAEMON, USUAL)).to.equal(100);
    backoff.recordServed(DAEMON, BACKGROUND);
    expect(backoff.remainingMs(DAEMON, USUAL)).to.equal(0);
  });

  it("does not wait longer for rejections of requests that were under way", () => {
    for (let request = 0; request < 20; request++) {
      backoff.recordRejected(DAEMON, USUAL, 100);
    }
    expect(backoff.remainingMs(DAEMON, USUAL)).to.equal(100);
  });

  /** Plays ingresses that send to one daemon of limited capacity; returns rates in requests a second. */
  function play(options: { ingresses: number; offered: number; capacity: number }) {
    const { ingresses, offered, capacity } = options;
    const random = createRandom(1);
    const backoffs = Array.from({ length: ingresses }, () => new OverloadBackoff(() => time));
    let [sent, served, held, room] = [0, 0, 0, 0];
    const seconds = 20;
    for (time = 0; time < seconds * 1_000; time++) {
      room = Math.min(capacity / 10, room + capacity / 1_000);
      for (const ingress of backoffs) {
        if (random() >= offered / ingresses / 1_000) {
          continue;
        }
        if (ingress.remainingMs(DAEMON, USUAL) > 0) {
          held++;
          continue;
        }
        sent++;
        if (room >= 1) {
          room--;
          served++;
          ingress.recordServed(DAEMON, USUAL);
        } else {
          ingress.recordRejected(DAEMON, USUAL, 60 + random() * 200);
        }
      }
    }
    return { sent: sent / seconds, served: served / seconds, held: held / seconds };
  }

  it("keeps a rush of sixteen times its capacity away from a daemon, which still serves what it can", () => {
    const { sent, served } = play({ ingresses: 76, offered: 840, capacity: 53 });
    expect(sent).to.be.below(840 / 3);
    expect(served).to.be.above(53 * 0.95);
  });

  it("does not hold back requests to a daemon that has room for nearly all of them", () => {
    const { held } = play({ ingresses: 10, offered: 45, capacity: 50 });
    expect(held).to.be.below(45 * 0.001);
  });

  it("leaves a daemon busy under mild overload, also with few ingresses", () => {
    for (const [ingresses, offered] of [[10, 75], [10, 55], [3, 100], [76, 75]]) {
      const { served } = play({ ingresses, offered, capacity: 50 });
      expect(served, `${ingresses} ingresses, ${offered} a second`).to.be.above(50 * 0.9);
    }
  });

  it("forgets a daemon whose address another one has taken", () => {
    failAlmost();
    backoff.recordRejected(DAEMON, USUAL, 100);
    backoff.forget(DAEMON);
    expect(backoff.remainingMs(DAEMON, USUAL)).to.equal(0);
  });
});
