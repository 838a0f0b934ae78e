import { expect } from "chai";
import { RequestCosts, type RunningWork, startInMs } from "@bulrushwood/admission";
import { createRandom, type Random } from "@bulrushwood/types";
import { TwoChoices } from "@bulrushwood/routing";

/**
 * Plays the load of a service whose requests differ in cost: short calls beside long look-ups with a heavy tail, on
 * servers of 0.5 to 1.6 times the usual speed, whose load ingresses know with a delay. The choice by cost is compared
 * with the choice by number of requests.
 */
const SPEEDS = [0.5, 0.7, 1, 1, 1.3, 1.6];
const SLOTS = 4;
const INGRESSES = 8;
const REPORT_MS = 300;
const DURATION_MS = 60_000;
const SEEDS = [1, 2, 3, 4, 5, 6];

interface Kind {
  route: string;
  meanMs: number;
  targetMs: number;
  /** Share of the requests that take this many times as long. */
  tail: { share: number; factor: number };
  perSecond: number;
}

const KINDS: Kind[] = [
  { route: "call", meanMs: 40, targetMs: 150, tail: { share: 0, factor: 1 }, perSecond: 60 },
  { route: "look", meanMs: 540, targetMs: 2_000, tail: { share: 0.03, factor: 7 }, perSecond: 17 },
];

interface Work {
  kind: Kind;
  sentAt: number;
  costMs: number;
  startedAt: number;
}

class SimulatedServer {
  readonly speed: number;
  running: Work[] = [];
  queue: Work[] = [];
  readonly costs = new RequestCosts();
  meanMs = 0;

  constructor(speed: number) {
    this.speed = speed;
  }

  /** Ends and starts work; calls `end` with each piece of work that has ended. */
  advance(now: number, end: (work: Work, ranMs: number) => void): void {
    for (const work of [...this.running]) {
      const ranMs = work.costMs / this.speed;
      if (work.startedAt + ranMs <= now) {
        this.running.splice(this.running.indexOf(work), 1);
        this.costs.record(work.kind, ranMs);
        this.meanMs = this.meanMs === 0 ? ranMs : this.meanMs + 0.08 * (ranMs - this.meanMs);
        end(work, ranMs);
      }
    }
    while (this.running.length < SLOTS && this.queue.length > 0) {
      const work = this.queue.shift()!;
      work.startedAt = now;
      this.running.push(work);
    }
  }

  load(now: number, usesCosts: boolean) {
    const expected = ({ kind }: Work) => this.costs.expectedMs(kind) ?? this.meanMs;
    const running = this.running.map((work): RunningWork => ({
      ageMs: now - work.startedAt,
      expectedMs: expected(work),
    }));
    return {
      running: running.length,
      waiting: this.queue.length,
      slots: SLOTS,
      serviceMs: this.meanMs,
      startInMs: usesCosts
        ? startInMs(running, this.queue.map(expected), { slots: SLOTS })
        : undefined,
    };
  }
}

function drawCost({ meanMs, tail }: Kind, random: Random): number {
  const isTail = random() < tail.share;
  return meanMs * (0.5 + random()) * (isTail ? tail.factor : 1) /
    (1 + tail.share * (tail.factor - 1));
}

interface Result {
  inTarget: number;
  p99Ms: number;
}

/** Plays the load; returns what the callers of each kind get. */
function play(usesCosts: boolean, seed: number): Record<string, Result> {
  const random = createRandom(seed);
  const clock = { now: 0 };
  const servers = SPEEDS.map((speed) => new SimulatedServer(speed));
  const names = servers.map((_, index) => String(index));
  let reported = servers.map((server) => server.load(0, usesCosts));
  const seen = new RequestCosts();
  const choosers = Array.from({ length: INGRESSES }, () =>
    new TwoChoices({
      now: () => clock.now,
      random,
      loadOf: (name) => reported[Number(name)],
    }));
  const ends = new Map<Work, (succeeded: boolean) => void>();
  const times = new Map(KINDS.map(({ route }) => [route, [] as number[]]));
  for (; clock.now < DURATION_MS; clock.now++) {
    servers.forEach((server) =>
      server.advance(clock.now, (work, ranMs) => {
        ends.get(work)!(true);
        seen.record(work.kind, ranMs);
        seen.record({ route: "*" }, ranMs);
        if (work.sentAt > DURATION_MS / 6) {
          times.get(work.kind.route)!.push(clock.now - work.sentAt);
        }
      })
    );
    if (clock.now % REPORT_MS === 0) {
      reported = servers.map((server) => server.load(clock.now, usesCosts));
    }
    for (const kind of KINDS) {
      if (random() < kind.perSecond / 1_000) {
        const [own, all] = [seen.expectedMs(kind), seen.expectedMs({ route: "*" })];
        const costRatio = usesCosts && own !== undefined && all !== undefined ? own / all : 1;
        const chooser = choosers[Math.floor(random() * INGRESSES)];
        const [name] = chooser.choose(names, { costRatio });
        const work = { kind, sentAt: clock.now, costMs: drawCost(kind, random), startedAt: 0 };
        ends.set(work, chooser.begin(name));
        servers[Number(name)].queue.push(work);
      }
    }
  }
  return Object.fromEntries(KINDS.map(({ route, targetMs }) => {
    const sorted = times.get(route)!.sort((one, other) => one - other);
    const inTarget = sorted.filter((ms) => ms <= targetMs).length / sorted.length;
    return [route, { inTarget, p99Ms: sorted[Math.floor(sorted.length * 0.99)] }];
  }));
}

/** Returns the mean of a figure over all seeds. */
function meanOf(
  results: Record<string, Result>[],
  figure: (result: Record<string, Result>) => number,
) {
  return results.reduce((sum, result) => sum + figure(result), 0) / results.length;
}

describe("choosing a server by what requests cost", () => {
  it("serves more calls in time than by the number of requests, and no less of the rest", () => {
    const byNumber = SEEDS.map((seed) => play(false, seed));
    const byCost = SEEDS.map((seed) => play(true, seed));
    const compare = (figure: (result: Record<string, Result>) => number) => ({
      byNumber: meanOf(byNumber, figure),
      byCost: meanOf(byCost, figure),
    });
    const calls = compare(({ call }) => call.inTarget);
    const waits = compare(({ call }) => call.p99Ms);
    const looks = compare(({ look }) => look.inTarget);
    const longest = compare(({ look }) => look.p99Ms);
    const text = JSON.stringify({ calls, waits, looks, longest });
    expect(calls.byCost, text).to.be.above(calls.byNumber + 0.01);
    expect(waits.byCost, text).to.be.below(waits.byNumber);
    expect(looks.byCost, text).to.be.at.least(looks.byNumber - 0.01);
    expect(longest.byCost, text).to.be.below(longest.byNumber * 1.1);
  });
});
