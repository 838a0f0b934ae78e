import { expect } from "chai";
import { createRandom } from "@bulrushwood/types";
import { TwoChoices } from "./mod.ts";

const CENTRES = ["north", "middle", "south"];
const SLOTS = 8;

interface Server {
  name: string;
  serviceMs: number;
  /** End time of each request at the server; queued requests have later end times. */
  ends: number[];
}

/** Share of requests that left the data centre, and mean response time. */
interface SimulationResult {
  remoteShare: number;
  meanMs: number;
}

/** Simulates callers in three data centres with one server in each, whose load is reported every 200 ms. */
function simulate(
  options: { ratePerCentre: number; slowFactor: number; isLocalFirst: boolean },
): SimulationResult {
  const random = createRandom(3);
  const clock = { now: 0 };
  const servers = new Map(CENTRES.map((name, index): [string, Server] => [
    name,
    { name, serviceMs: index === 0 ? 100 * options.slowFactor : 100, ends: [] },
  ]));
  const reported = new Map(CENTRES.map((name) => [name, 0]));
  const choosers = CENTRES.map((centre) =>
    new TwoChoices({
      now: () => clock.now,
      random,
      loadOf: (name) => {
        const open = reported.get(name)!;
        const { serviceMs } = servers.get(name)!;
        const running = Math.min(open, SLOTS);
        return { running, waiting: open - running, slots: SLOTS, serviceMs };
      },
      isLocal: options.isLocalFirst ? (name) => name === centre : undefined,
    })
  );
  const inFlight: { at: number; end: (succeeded: boolean) => void }[] = [];
  let [sent, remote, totalMs] = [0, 0, 0];
  for (; clock.now < 20_000; clock.now++) {
    for (const server of servers.values()) {
      server.ends = server.ends.filter((end) => end > clock.now);
      if (clock.now % 200 === 0) {
        reported.set(server.name, server.ends.length);
      }
    }
    inFlight.filter(({ at }) => at === clock.now).forEach(({ end }) => end(true));
    CENTRES.forEach((centre, index) => {
      if (random() >= options.ratePerCentre / 1_000) {
        return;
      }
      const [name] = choosers[index].choose(CENTRES);
      const server = servers.get(name)!;
      const busyUntil = [...server.ends].sort((left, right) => right - left)[SLOTS - 1] ??
        clock.now;
      const at = Math.ceil(Math.max(clock.now, busyUntil) + server.serviceMs);
      server.ends.push(at);
      inFlight.push({ at, end: choosers[index].begin(name) });
      sent++;
      remote += name === centre ? 0 : 1;
      totalMs += at - clock.now;
    });
  }
  return { remoteShare: remote / sent, meanMs: totalMs / sent };
}

describe("choosing a server of a service without keys", () => {
  it("stays in the data centre while its server has spare slots, without longer response times", () => {
    const localFirst = simulate({ ratePerCentre: 20, slowFactor: 1, isLocalFirst: true });
    const uniform = simulate({ ratePerCentre: 20, slowFactor: 1, isLocalFirst: false });
    expect(uniform.remoteShare).to.be.above(0.6);
    expect(localFirst.remoteShare).to.be.below(0.3);
    expect(localFirst.meanMs / uniform.meanMs).to.be.below(1.02);
  });

  it("shares heavy load between all servers", () => {
    const localFirst = simulate({ ratePerCentre: 72, slowFactor: 1, isLocalFirst: true });
    const uniform = simulate({ ratePerCentre: 72, slowFactor: 1, isLocalFirst: false });
    expect(localFirst.meanMs / uniform.meanMs).to.be.below(1.02);
  });

  it("sends requests to other data centres when the local server is slow", () => {
    const localFirst = simulate({ ratePerCentre: 30, slowFactor: 5, isLocalFirst: true });
    const uniform = simulate({ ratePerCentre: 30, slowFactor: 5, isLocalFirst: false });
    expect(localFirst.remoteShare).to.be.above(0.25);
    expect(localFirst.meanMs / uniform.meanMs).to.be.below(1.1);
  });

  it("chooses among remote servers where none is local", () => {
    const choices = new TwoChoices({ now: () => 0, random: Math.random, isLocal: () => false });
    expect(choices.choose(["a", "b"])).to.have.members(["a", "b"]);
  });
});
