import { expect } from "chai";
import { createStop, now, sleep } from "./time.ts";
import { everyTicks, pause, TICK_MS } from "./ticks.ts";

const TASKS_MS = [100, 200, 300, 300, 400];
const OBSERVED_MS = 1_250;

describe("pauses of periodic tasks", () => {
  // Guards against tasks that wake the process up one by one.
  it("end together, and about as often as each task asks for", async () => {
    const stop = createStop();
    const turns = new Set<string>();
    const counts = TASKS_MS.map(() => 0);
    const tasks = TASKS_MS.map((ms, index) =>
      everyTicks(ms, () => {
        counts[index]++;
        turns.add(String(Math.round(now() / TICK_MS)));
      }, stop.signal)
    );
    await sleep(OBSERVED_MS);
    stop.abort();
    await Promise.all(tasks);
    TASKS_MS.forEach((ms, index) =>
      expect(counts[index], `${ms} ms`).to.be.within(
        Math.floor(OBSERVED_MS / ms) - 2,
        Math.ceil(OBSERVED_MS / ms) + 1,
      )
    );
    expect(turns.size).to.be.at.most(Math.ceil(OBSERVED_MS / TICK_MS) + 1);
  });

  it("end when their signal aborts, and at once if it has", async () => {
    const stop = createStop();
    const startedAt = now();
    const timer = setTimeout(() => stop.abort(), 20);
    await pause(5_000, stop.signal);
    await pause(5_000, stop.signal);
    clearTimeout(timer);
    expect(now() - startedAt).to.be.below(1_000);
  });
});
