import { expect } from "chai";
import { countKeys, KEYS, type KeySpan, without } from "@bulrushwood/ledger_store";
import { createRandom } from "@bulrushwood/types";
import { type Candidate, LoadMeter, rebalance } from "./mod.ts";

const PLAN_INTERVAL_MS = 250;
const COOL_DOWN_MS = 1_300;
const SLOTS = 5;
const SERVICE_MS = 170;

interface Server {
  address: string;
  own: KeySpan[];
  meter: LoadMeter;
}

/** Result of a simulated load. */
interface Outcome {
  /** Keys that moved, as a multiple of all keys. */
  moved: number;
  /** Load of the busiest server at the end, as a multiple of the mean. */
  busiestOverMean: number;
}

/**
 * Simulates random requests with rebalancing for `seconds`: evenly over all keys, and, after the first
 * second, `hotRate` more a second for 100 neighbouring keys of the first server.
 */
function simulate(
  options: { seed: number; ratePerServer: number; hotRate: number; seconds: number },
): Outcome {
  const { seed, ratePerServer, hotRate, seconds } = options;
  const random = createRandom(seed);
  const clock = { now: 0 };
  const count = 5;
  const size = Math.floor(KEYS / count);
  const servers = Array.from({ length: count }, (_, index): Server => ({
    address: `s${index}`,
    own: [{ first: index * size, last: index === count - 1 ? KEYS - 1 : (index + 1) * size - 1 }],
    meter: new LoadMeter(() => clock.now),
  }));
  const ownerOf = (key: number) =>
    servers.find(({ own }) => own.some(({ first, last }) => first <= key && key <= last))!;
  const toCandidate = ({ address, own, meter }: Server): Candidate => {
    const pieces = meter.cut(own);
    const rate = pieces.reduce((sum, piece) => sum + piece.rate, 0);
    const keys = countKeys(own);
    return {
      address,
      slots: SLOTS,
      serviceMs: SERVICE_MS,
      rate,
      waiting: 0,
      isCold: false,
      keys,
      pieces,
    };
  };
  let moved = 0;
  let movedAt = Number.NEGATIVE_INFINITY;
  for (; clock.now < seconds * 1_000; clock.now++) {
    const isHot = clock.now > 1_000;
    const rate = count * ratePerServer + (isHot ? hotRate : 0);
    if (random() < rate / 1_000) {
      const isForHot = random() < (isHot ? hotRate : 0) / rate;
      const key = isForHot ? Math.floor(random() * 100) : Math.floor(random() * KEYS);
      ownerOf(key).meter.record(key);
    }
    if (clock.now % PLAN_INTERVAL_MS === 0 && clock.now - movedAt >= COOL_DOWN_MS) {
      const moves = rebalance(servers.map(toCandidate));
      movedAt = moves.length > 0 ? clock.now : movedAt;
      for (const { first, last, from, to } of moves) {
        moved += (last - first + 1) / KEYS;
        const source = servers.find(({ address }) => address === from)!;
        source.own = source.own.flatMap((span) => without(span, [{ first, last }]));
        servers.find(({ address }) => address === to)!.own.push({ first, last });
      }
    }
  }
  const loads = servers.map(({ own }) => {
    const keys = countKeys(own);
    const hot = own.reduce(
      (sum, { first, last }) => sum + Math.max(0, Math.min(last, 99) - first + 1),
      0,
    );
    return count * ratePerServer * keys / KEYS + hotRate * hot / 100;
  });
  const mean = loads.reduce((sum, load) => sum + load) / count;
  return { moved, busiestOverMean: Math.max(...loads) / mean };
}

describe("rebalancing under random load", () => {
  const seeds = [1, 2, 3];

  it("moves few keys while shares are equal", () => {
    const moved = seeds.map((seed) =>
      simulate({ seed, ratePerServer: 18, hotRate: 0, seconds: 30 }).moved
    );
    const mean = moved.reduce((sum, value) => sum + value) / seeds.length;
    expect(mean, "times all keys moved in 30 s").to.be.below(0.3);
  });

  it("distributes hot neighbouring keys within six seconds", () => {
    for (const seed of seeds) {
      const { moved, busiestOverMean } = simulate({
        seed,
        ratePerServer: 14,
        hotRate: 30,
        seconds: 7,
      });
      expect(busiestOverMean, `seed ${seed}: 2.2 before`).to.be.below(1.5);
      expect(moved, `seed ${seed}: times all keys moved`).to.be.below(0.1);
    }
  });
});
