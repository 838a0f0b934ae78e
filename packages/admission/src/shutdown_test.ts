import { expect } from "chai";
import { Shutdown } from "./shutdown.ts";

function createShutdown() {
  const clock = { now: 1_000 };
  return {
    clock,
    shutdown: new Shutdown({ now: () => clock.now, shutdownMs: 5_400, acceptAllMs: 2_800 }),
  };
}

describe("shutdown", () => {
  it("accepts every request before the stop signal and soon after it", () => {
    const { clock, shutdown } = createShutdown();
    expect([shutdown.isEnding, shutdown.mayAccept(60_000)]).to.deep.equal([false, true]);
    shutdown.begin();
    clock.now += 2_000;
    expect([shutdown.isEnding, shutdown.mayAccept(60_000)]).to.deep.equal([true, true]);
  });

  it("accepts late requests only if their deadlines pass before the end", () => {
    const { clock, shutdown } = createShutdown();
    shutdown.begin();
    clock.now += 3_000;
    expect(shutdown.mayAccept(clock.now + 1_500)).to.equal(true);
    expect(shutdown.mayAccept(clock.now + 3_000)).to.equal(false);
    expect(clock.now + shutdown.retryAfterMs).to.equal(shutdown.endAt);
  });

  it("counts from the first signal", () => {
    const { clock, shutdown } = createShutdown();
    shutdown.begin();
    const { endAt } = shutdown;
    clock.now += 1_000;
    shutdown.begin();
    expect(shutdown.endAt).to.equal(endAt);
  });
});
