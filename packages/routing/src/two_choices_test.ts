import { expect } from "chai";
import { createRandom } from "@bulrushwood/types";
import { TwoChoices } from "./mod.ts";

const CENTRES = ["north", "middle", "south"];
const SLOTS = 8;

interface Server {
  name: string;
  serviceMs: number;
  /** Requests a second that it accepts. */
  perSecond?: number;
  /** When the next request may start at that rate. */
  mayStartAt: number;
  /** Requests at the server; queued requests have later times. */
  requests: { startAt: number; endAt: number }[];
}

/** Share of requests that left the data centre, and mean response time. */
interface SimulationResult {
  remoteShare: number;
  meanMs: number;
  /** Requests that the first server got. */
  toFirst: number;
}

/** Simulates callers in three data centres with one server in each, whose load is reported every 200 ms. */
function simulate(
  options: {
    ratePerCentre: number;
    slowFactor: number;
    isLocalFirst: boolean;
    /** Requests a second that the first server accepts, and whether its daemon reports that. */
    limit?: { perSecond: number; isReported: boolean };
  },
): SimulationResult {
  const random = createRandom(3);
  const clock = { now: 0 };
  const servers = new Map(CENTRES.map((name, index): [string, Server] => [
    name,
    {
      name,
      serviceMs: index === 0 ? 100 * options.slowFactor : 100,
      perSecond: index === 0 ? options.limit?.perSecond : undefined,
      mayStartAt: 0,
      requests: [],
    },
  ]));
  const reported = new Map(CENTRES.map((name) => [name, { running: 0, waiting: 0 }]));
  const choosers = CENTRES.map((centre) =>
    new TwoChoices({
      now: () => clock.now,
      random,
      loadOf: (name) => {
        const { serviceMs, perSecond } = servers.get(name)!;
        const requestsPerSecond = options.limit?.isReported ? perSecond : undefined;
        return { ...reported.get(name)!, slots: SLOTS, serviceMs, requestsPerSecond };
      },
      isLocal: options.isLocalFirst ? (name) => name === centre : undefined,
    })
  );
  const inFlight: { at: number; end: (succeeded: boolean) => void }[] = [];
  let [sent, remote, totalMs, toFirst] = [0, 0, 0, 0];
  for (; clock.now < 20_000; clock.now++) {
    for (const server of servers.values()) {
      server.requests = server.requests.filter(({ endAt }) => endAt > clock.now);
      if (clock.now % 200 === 0) {
        const waiting = server.requests.filter(({ startAt }) => startAt > clock.now).length;
        reported.set(server.name, { running: server.requests.length - waiting, waiting });
      }
    }
    inFlight.filter(({ at }) => at === clock.now).forEach(({ end }) => end(true));
    CENTRES.forEach((centre, index) => {
      if (random() >= options.ratePerCentre / 1_000) {
        return;
      }
      const [name] = choosers[index].choose(CENTRES);
      const server = servers.get(name)!;
      const ends = server.requests.map(({ endAt }) => endAt).sort((left, right) => right - left);
      const startAt = Math.max(clock.now, ends[SLOTS - 1] ?? 0, server.mayStartAt);
      const at = Math.ceil(startAt + server.serviceMs);
      server.mayStartAt = startAt + 1_000 / (server.perSecond ?? Infinity);
      server.requests.push({ startAt, endAt: at });
      inFlight.push({ at, end: choosers[index].begin(name) });
      sent++;
      remote += name === centre ? 0 : 1;
      totalMs += at - clock.now;
      toFirst += name === CENTRES[0] ? 1 : 0;
    });
  }
  return { remoteShare: remote / sent, meanMs: totalMs / sent, toFirst };
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

  for (const [perSecond, ratePerCentre] of [[10, 20], [10, 50], [25, 40]]) {
    it(`sends a server that accepts ${perSecond} a second little more, at ${ratePerCentre} a second for each`, () => {
      const load = { ratePerCentre, slowFactor: 1, isLocalFirst: true };
      const aware = simulate({ ...load, limit: { perSecond, isReported: true } });
      const unaware = simulate({ ...load, limit: { perSecond, isReported: false } });
      expect(aware.toFirst / 20).to.be.below(1.15 * perSecond);
      expect(aware.meanMs).to.be.below(unaware.meanMs);
    });
  }

  it("chooses among remote servers where none is local", () => {
    const choices = new TwoChoices({ now: () => 0, random: Math.random, isLocal: () => false });
    expect(choices.choose(["a", "b"])).to.have.members(["a", "b"]);
  });

  // Guards against a new server that gets no requests because of the failures of the one that had its address.
  it("forgets the failures of a server whose address another one has taken", () => {
    const choices = new TwoChoices({ now: () => 0, random: Math.random });
    for (let failure = 0; failure < 10; failure++) {
      choices.begin("a")(false);
    }
    expect(choices.choose(["a", "b"])).to.deep.equal(["b"]);
    choices.forget("a");
    expect(choices.choose(["a", "b"])).to.have.members(["a", "b"]);
  });
});

describe("choosing a server for two requests at the same time", () => {
  const names = ["a", "b", "c", "d", "e", "f"];

  function createChoices(clock: { now: number }, running = 0): TwoChoices {
    return new TwoChoices({
      now: () => clock.now,
      random: createRandom(5),
      loadOf: () => ({ running, waiting: 0, slots: SLOTS, serviceMs: 100 }),
      pairMs: 5,
    });
  }

  // Guards against two messages, which each take the called daemon as long as a request, for two calls of one server.
  it("chooses the same one for both, and another one for the next", () => {
    const clock = { now: 0 };
    const choices = createChoices(clock);
    const pairs = Array.from({ length: 60 }, () => {
      clock.now += 50;
      const first = choices.choose(names);
      clock.now += 1;
      const second = choices.choose(names);
      expect(second[0]).to.equal(first[0]);
      expect(second[1]).to.not.equal(first[0]);
      return first[0];
    });
    expect(new Set(pairs)).to.have.lengthOf(names.length);
  });

  it("chooses anew while the server is full, excluded, or the second request comes later", () => {
    for (const options of [{ running: SLOTS }, { isExcluded: true }, { pauseMs: 6 }]) {
      const { running = 0, isExcluded = false, pauseMs = 1 } = options;
      const clock = { now: 0 };
      const choices = createChoices(clock, running);
      let same = 0;
      for (let round = 0; round < 200; round++) {
        clock.now += 50;
        const [first] = choices.choose(names);
        clock.now += pauseMs;
        const others = isExcluded ? names.filter((name) => name !== first) : names;
        same += Number(choices.choose(others)[0] === first);
      }
      expect(same).to.be.below(80);
    }
  });
});
