import { expect } from "chai";
import { KEYS, sizeOf } from "@bulrushwood/ledger_store";
import {
  type Candidate,
  interleave,
  LoadMeter,
  type Piece,
  rebalance,
  spread,
  spreadEvenly,
} from "./mod.ts";

function candidate(address: string, fields: Partial<Candidate> = {}): Candidate {
  return {
    address,
    slots: 12,
    serviceMs: 100,
    rate: 0,
    waiting: 0,
    isCold: false,
    keys: 100,
    pieces: [],
    ...fields,
  };
}

/** Creates a server with its load in 20 equal pieces of ten keys. */
function loaded(address: string, first: number, rate: number): Candidate {
  const pieces = Array.from({ length: 20 }, (_, index) => ({
    first: first + index * 10,
    last: first + index * 10 + 9,
    rate: rate / 20,
  }));
  return candidate(address, { rate, pieces, keys: 200 });
}

describe("spreading keys", () => {
  it("assigns every key, in about equal shares for equal servers", () => {
    const all = [{ first: 0, last: KEYS - 1 }];
    const assignments = spreadEvenly(all, ["a", "b", "c"].map((address) => candidate(address)));
    const shares = new Map<string | null, number>();
    for (const assignment of assignments) {
      shares.set(assignment.to, (shares.get(assignment.to) ?? 0) + sizeOf(assignment));
    }
    expect([...shares.keys()]).to.have.members(["a", "b", "c"]);
    expect([...shares.values()].reduce((sum, size) => sum + size)).to.equal(KEYS);
    expect(Math.max(...shares.values()) / Math.min(...shares.values())).to.be.below(1.1);
  });

  // Guards against first owners of which some get all busy keys, which are neighbours, and others none.
  it("gives every server some of any neighbouring keys at the first start", () => {
    const names = Array.from({ length: 48 }, (_, index) => `server${index}`);
    const assignments = interleave(
      [{ first: 0, last: KEYS - 1 }],
      names.map((address) => candidate(address)),
    );
    const owners = new Array<string>(KEYS);
    assignments.forEach(({ first, last, to }) => owners.fill(to!, first, last + 1));
    for (let start = 0; start < KEYS; start += KEYS / 4) {
      const shares = new Map(names.map((name) => [name, 0]));
      owners.slice(start, start + KEYS / 4)
        .forEach((owner) => shares.set(owner, shares.get(owner)! + 1));
      const sizes = [...shares.values()];
      expect(Math.max(...sizes) * names.length / (KEYS / 4)).to.be.below(1.25);
      expect(Math.min(...sizes) * names.length / (KEYS / 4)).to.be.above(0.75);
    }
  });

  it("gives servers first keys in proportion to their slots", () => {
    const servers = [candidate("small", { slots: 4 }), candidate("large", { slots: 12 })];
    const assignments = interleave([{ first: 0, last: KEYS - 1 }], servers);
    const keysOf = (server: string) =>
      assignments.filter(({ to }) => to === server).reduce((sum, span) => sum + sizeOf(span), 0);
    expect(keysOf("small") + keysOf("large")).to.equal(KEYS);
    expect(keysOf("large") / keysOf("small")).to.be.within(2.5, 3.5);
  });

  // Guards against ranges that become ever smaller with each restart: each one costs its owner a grant.
  it("gives each server neighbouring keys, also after many servers have left in turn", () => {
    const servers = ["a", "b", "c", "d", "e", "f", "g"];
    const owners = new Array<string>(KEYS);
    const apply = (assignments: { first: number; last: number; to: string | null }[]) =>
      assignments.forEach(({ first, last, to }) => owners.fill(to!, first, last + 1));
    const runsOf = (server?: string) => {
      const runs: { first: number; last: number; owner: string }[] = [];
      owners.forEach((owner, key) => {
        const previous = runs.at(-1);
        if (previous?.owner === owner) {
          previous.last = key;
        } else {
          runs.push({ first: key, last: key, owner });
        }
      });
      return server === undefined ? runs : runs.filter(({ owner }) => owner === server);
    };
    const rateOf = (server: string) => owners.filter((owner) => owner === server).length / 600;
    const piecesOf = (server: string): Piece[] => {
      const size = Math.ceil(owners.filter((owner) => owner === server).length / 24);
      return runsOf(server).flatMap(({ first, last }) =>
        Array.from({ length: Math.ceil((last - first + 1) / size) }, (_, index) => {
          const start = first + index * size;
          const end = Math.min(last, start + size - 1);
          return { first: start, last: end, rate: (end - start + 1) / 600 };
        })
      );
    };
    apply(spreadEvenly([{ first: 0, last: KEYS - 1 }], servers.map((name) => candidate(name))));
    for (let stop = 0; stop < 28; stop++) {
      const leaving = servers[stop % servers.length];
      const others = servers.filter((server) => server !== leaving)
        .map((server) => candidate(server, { rate: rateOf(server) }));
      const ownerOf = (key: number) => owners[key] ?? null;
      apply(spread(piecesOf(leaving), others, { ownerOf }));
      const rates = others.map(({ address }) => rateOf(address));
      expect(Math.max(...rates) / Math.min(...rates)).to.be.below(1.5);
      // The server comes back and gets keys of the others.
      const back = servers.map((server) =>
        candidate(server, {
          rate: rateOf(server),
          pieces: piecesOf(server),
          keys: owners.filter((owner) => owner === server).length,
        })
      );
      apply(rebalance(back));
    }
    expect(runsOf().length / servers.length).to.be.below(10);
  });

  it("leaves keys without an owner when there is no server", () => {
    expect(spreadEvenly([{ first: 3, last: 3 }], [])).to.deep.equal([
      { first: 3, last: 3, to: null, handover: null },
    ]);
  });

  it("assigns no keys to a slow or busy server while another has room", () => {
    const servers = [
      candidate("slow", { serviceMs: 1_000 }),
      candidate("busy", { rate: 100 }),
      candidate("free"),
    ];
    const [assignment] = spread([{ first: 0, last: 9, rate: 20 }], servers);
    expect(assignment.to).to.equal("free");
  });
});

describe("rebalancing", () => {
  it("distributes a few hot keys of one server in one round of moves", () => {
    const servers = [
      loaded("hot", 0, 110),
      loaded("b", 1_000, 30),
      loaded("c", 2_000, 30),
      loaded("d", 3_000, 30),
    ];
    const moves = rebalance(servers);
    const moved = moves.reduce((sum, move) => sum + sizeOf(move) / 10 * 110 / 20, 0);
    expect(moves.every(({ from }) => from === "hot")).to.equal(true);
    expect(new Set(moves.map(({ to }) => to)).size).to.be.above(1);
    expect(moved).to.be.within(45, 66);
  });

  // Guards against servers whose few requests only test the manifest, and which look a hundred times as fast.
  it("moves keys from a busy server while others have few requests that take hardly any time", () => {
    const usual = Array.from({ length: 120 }, (_, index) => ({
      ...loaded(`usual${index}`, 300 * index, 8),
      slots: 6,
      serviceMs: 400,
    }));
    const quiet = Array.from({ length: 37 }, (_, index) => ({
      ...loaded(`quiet${index}`, 40_000 + 300 * index, 0.6),
      slots: 6,
      serviceMs: 6,
    }));
    const hot = { ...loaded("hot", 60_000, 30), slots: 6, serviceMs: 400 };
    const moves = rebalance([...usual, ...quiet, hot]);
    expect(new Set(moves.map(({ from }) => from))).to.deep.equal(new Set(["hot"]));
    const receivers = new Set(moves.map(({ to }) => to));
    const movedTo = (address: string) =>
      moves.filter(({ to }) => to === address)
        .reduce((sum, move) => sum + sizeOf(move) / 200 * 30, 0);
    // A server runs 15 such requests a second.
    receivers.forEach((address) => expect(movedTo(address)).to.be.below(15));
  });

  it("moves keys from servers that name a request limit to those without one", () => {
    const servers = [
      loaded("free", 0, 40),
      loaded("limited", 1_000, 40),
      loaded("none", 2_000, 40),
    ];
    const limited = (perSecond: number, server: Candidate) => ({
      ...server,
      requestsPerSecond: perSecond,
    });
    const moves = rebalance([servers[0], limited(20, servers[1]), limited(0, servers[2])]);
    const movedFrom = (address: string) =>
      moves.filter(({ from }) => from === address).reduce((sum, move) => sum + sizeOf(move), 0);
    expect(moves.every(({ to }) => to === "free")).to.equal(true);
    // All servers together accept 140 requests a second, 20 of them at the limited one, and get 120.
    expect(movedFrom("limited") / 200).to.be.within(0.4, 0.65);
    expect(movedFrom("none") / 200).to.be.above(0.9);
    expect(rebalance(servers)).to.deep.equal([]);
  });

  it("moves keys to servers with room while the others reject more than all can run", () => {
    const limited = Array.from({ length: 6 }, (_, index) => ({
      ...loaded(`limited${index}`, 1_000 * index, 30),
      requestsPerSecond: 20,
    }));
    const free = ["free1", "free2"].map((address, index) =>
      loaded(address, 10_000 * (index + 1), 96)
    );
    const moves = rebalance([...limited, ...free]);
    const movedRate = moves.reduce((sum, move) => sum + sizeOf(move) / 200 * 30, 0);
    // The free servers could run 48 requests a second more, the limited ones get 60 too many.
    expect(movedRate).to.be.within(40, 60);
    expect(moves.every(({ from, to }) => from.startsWith("limited") && to.startsWith("free")))
      .to.equal(true);
  });

  // Guards against writes of the table that conflict with each other, all of which count as calls to the store.
  it("moves the keys of a few of the busiest servers in one round, however many are busy", () => {
    const busy = Array.from(
      { length: 40 },
      (_, index) => loaded(`busy${index}`, 1_000 * index, 110 + index),
    );
    const idle = Array.from(
      { length: 100 },
      (_, index) => loaded(`idle${index}`, 41_000 + 220 * index, 10),
    );
    const donors = new Set(rebalance([...busy, ...idle]).map(({ from }) => from));
    expect(donors.size).to.be.within(1, 6);
    expect(donors).to.include("busy39");
  });

  it("moves keys from a server with queued requests before its rate shows the load", () => {
    const hot = { ...loaded("hot", 0, 40), waiting: 12 };
    const rest = [loaded("b", 1_000, 12), loaded("c", 2_000, 12)];
    expect(rebalance([{ ...hot, waiting: 0 }, ...rest])).to.deep.equal([]);
    expect(rebalance([hot, ...rest]).map(({ from }) => from)).to.include("hot");
  });

  it("moves no keys from a cold server, however slow it is", () => {
    const slow = { ...loaded("slow", 0, 40), serviceMs: 500 };
    const rest = [loaded("b", 1_000, 40), loaded("c", 2_000, 40)];
    expect(rebalance([slow, ...rest])).to.not.deep.equal([]);
    expect(rebalance([{ ...slow, isCold: true }, ...rest])).to.deep.equal([]);
  });

  it("moves no keys while all servers are about equally overloaded", () => {
    const servers = [loaded("a", 0, 260), loaded("b", 1_000, 200), loaded("c", 2_000, 180)];
    expect(rebalance(servers)).to.deep.equal([]);
  });

  it("moves keys from a server that became slow", () => {
    const slow = { ...loaded("slow", 0, 40), serviceMs: 500 };
    const moves = rebalance([slow, loaded("b", 1_000, 40), loaded("c", 2_000, 40)]);
    expect(moves.length).to.be.above(0);
    expect(moves[0].from).to.equal("slow");
  });

  it("moves no keys for small differences or between idle servers", () => {
    expect(rebalance([loaded("a", 0, 64), loaded("b", 1_000, 56)])).to.deep.equal([]);
    expect(rebalance([loaded("a", 0, 20), loaded("b", 1_000, 2)])).to.deep.equal([]);
  });

  it("moves keys to a server that joined without any", () => {
    const moves = rebalance([
      loaded("a", 0, 40),
      loaded("b", 1_000, 40),
      candidate("new", { keys: 0 }),
    ]);
    expect(new Set(moves.map(({ to }) => to))).to.deep.equal(new Set(["new"]));
  });
});

describe("load meter", () => {
  it("cuts hot neighbouring keys into many pieces, within the given span", () => {
    const clock = { now: 0 };
    const meter = new LoadMeter(() => clock.now);
    for (let count = 0; count < 1_000; count++) {
      meter.record(500 + count % 60);
      meter.record((count * 61) % 4_000);
    }
    const pieces = meter.cut([{ first: 0, last: 3_999 }]);
    const inHotKeys = pieces.filter(({ first, last }) => first >= 490 && last <= 570);
    expect(inHotKeys.length).to.be.above(8);
    expect(pieces[0].first).to.equal(0);
    expect(pieces.at(-1)!.last).to.equal(3_999);
  });

  it("drops old requests within some seconds", () => {
    const clock = { now: 0 };
    const meter = new LoadMeter(() => clock.now);
    meter.record(5);
    clock.now = 6_000;
    const rate = meter.cut([{ first: 0, last: 10 }]).reduce((sum, piece) => sum + piece.rate, 0);
    expect(rate).to.be.below(0.01);
  });
});
