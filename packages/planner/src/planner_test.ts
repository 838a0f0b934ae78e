import { expect } from "chai";
import fc from "fast-check";
import { type Entry, Ledger, RecordKind, toRanges } from "@bulrushwood/ledger";
import { appendEntry, newRecordId, publishPool } from "@bulrushwood/stand_ins";
import { type Plan, planPool } from "./mod.ts";

const POOL = "despacho";
const ROUNDS_MAX = 60;

function append(ledger: Ledger, entry: Entry): number {
  return appendEntry(ledger, entry).offset;
}

interface InstancePlacement {
  dataCentre: number;
  region: number;
  isHolder: boolean;
}

function join(ledger: Ledger, name: string, placement: InstancePlacement): number {
  const server = { pool: POOL, slots: 4, connections: 8, checksGrants: true };
  return append(ledger, {
    id: newRecordId(),
    kind: RecordKind.InstanceJoined,
    address: name,
    expects: ledger.instances.get(name)?.incarnation ?? 0,
    name,
    dataCentre: `dc-${placement.dataCentre}`,
    region: `region-${placement.region}`,
    admin: name,
    server: placement.isHolder ? server : null,
  });
}

function lose(ledger: Ledger, name: string): void {
  append(ledger, {
    id: newRecordId(),
    kind: RecordKind.InstanceLost,
    address: name,
    incarnation: ledger.instances.get(name)!.incarnation,
    by: "test",
    declared: false,
  });
}

function applyPlan(ledger: Ledger, plan: Plan): void {
  const claim = ledger.claim!.claim;
  for (const members of plan.create) {
    append(ledger, {
      id: newRecordId(),
      kind: RecordKind.GroupCreated,
      claim,
      pool: POOL,
      members,
    });
  }
  for (const { shards, from, to, cause } of plan.moves) {
    const kind = RecordKind.ShardsMoved as const;
    const ranges = toRanges(shards);
    const move = append(ledger, {
      id: newRecordId(),
      kind,
      claim,
      pool: POOL,
      shards: ranges,
      from,
      to,
      cause,
    });
    append(ledger, {
      id: newRecordId(),
      kind: RecordKind.MovesActivated,
      group: to,
      moves: [move],
    });
  }
  for (const group of plan.retire) {
    append(ledger, { id: newRecordId(), kind: RecordKind.GroupRetired, claim, group });
  }
}

/** Plans and applies the plans until nothing is left to change; returns the number of rounds. */
function planUntilStable(ledger: Ledger): number {
  for (let round = 0; round < ROUNDS_MAX; round++) {
    const plan = planPool(ledger, ledger.pools.get(POOL)!);
    if (plan.create.length + plan.moves.length + plan.retire.length === 0) {
      return round;
    }
    applyPlan(ledger, plan);
  }
  return ROUNDS_MAX;
}

function createLedger(placements: InstancePlacement[]): Ledger {
  const ledger = new Ledger();
  publishPool(ledger, POOL, { shards: 32 });
  placements.forEach((placement, index) => join(ledger, `i${index}`, placement));
  const kind = RecordKind.PlannerClaimed as const;
  append(ledger, { id: newRecordId(), kind, expects: 0, address: "i0", incarnation: 2 });
  return ledger;
}

function shardsOf(ledger: Ledger): Map<string, number> {
  const counts = new Map<string, number>();
  for (const group of ledger.groups.values()) {
    const holder = group.members[0].address;
    counts.set(holder, (counts.get(holder) ?? 0) + group.shards);
  }
  return counts;
}

const placement: fc.Arbitrary<InstancePlacement> = fc.record({
  dataCentre: fc.integer({ min: 0, max: 3 }),
  region: fc.integer({ min: 0, max: 1 }),
  isHolder: fc.boolean(),
});

describe("the planner", () => {
  it("reaches a stable placement for any set of instances, with every shard owned", () => {
    fc.assert(
      fc.property(fc.array(placement, { minLength: 1, maxLength: 9 }), (placements) => {
        placements[0].isHolder = true;
        const ledger = createLedger(placements);
        expect(planUntilStable(ledger)).to.be.lessThan(ROUNDS_MAX);
        expect(ledger.pools.get(POOL)!.shardsOf(0)).to.deep.equal([]);
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  it("reaches a stable placement after any losses that leave a holder", () => {
    const losses = fc.array(fc.integer({ min: 1, max: 8 }), { maxLength: 5 });
    fc.assert(
      fc.property(
        fc.array(placement, { minLength: 9, maxLength: 9 }),
        losses,
        (placements, lost) => {
          placements[0].isHolder = true;
          const ledger = createLedger(placements);
          planUntilStable(ledger);
          new Set(lost).forEach((index) => lose(ledger, `i${index}`));
          expect(planUntilStable(ledger)).to.be.lessThan(ROUNDS_MAX);
          const owners = [...ledger.groups.values()].filter((group) => group.shards > 0);
          const lostNames = new Set(lost.map((index) => `i${index}`));
          expect(owners.some((group) => lostNames.has(group.members[0].address))).to.equal(false);
        },
      ),
      { seed: 6, numRuns: 300 },
    );
  });

  it("spreads each group over three data centres where there are three", () => {
    const placements = [0, 1, 2, 0, 1].map((dataCentre) => ({
      dataCentre,
      region: 0,
      isHolder: true,
    }));
    const ledger = createLedger(placements);
    planUntilStable(ledger);
    for (const group of ledger.groups.values()) {
      const centres = group.members.map((member) =>
        ledger.instances.get(member.address)!.dataCentre
      );
      expect(new Set(centres).size).to.equal(3);
    }
  });

  it("balances the shards and then makes no more changes", () => {
    const placements = [0, 1, 2, 0].map((dataCentre) => ({
      dataCentre,
      region: 0,
      isHolder: true,
    }));
    const ledger = createLedger(placements);
    planUntilStable(ledger);
    expect([...shardsOf(ledger).values()]).to.deep.equal([8, 8, 8, 8]);
    const before = ledger.appliedOffset;
    expect(planUntilStable(ledger)).to.equal(0);
    expect(ledger.appliedOffset).to.equal(before);
  });

  it("prefers the successors of a lost holder as new owners of its shards", () => {
    const placements = [0, 1, 2].map((dataCentre) => ({ dataCentre, region: 0, isHolder: true }));
    const ledger = createLedger(placements);
    planUntilStable(ledger);
    const successors = new Map<number, string>();
    for (const group of ledger.groups.values()) {
      if (group.members[0].address === "i1") {
        const shards = ledger.pools.get(POOL)!.shardsOf(group.group);
        shards.forEach((shard) => successors.set(shard, group.members[1].address));
      }
    }
    lose(ledger, "i1");
    const table = ledger.pools.get(POOL)!;
    applyPlan(ledger, planPool(ledger, table));
    applyPlan(ledger, planPool(ledger, table));
    const kept = [...successors].filter(([shard, successor]) =>
      ledger.groups.get(table.groupOf(shard))!.members[0].address === successor
    );
    expect(kept.length).to.be.greaterThan(successors.size / 2);
  });

  it("assigns no keys to a daemon that was succeeded until its next record in the log", () => {
    const placements = [0, 1, 2].map((dataCentre) => ({ dataCentre, region: 0, isHolder: true }));
    const ledger = createLedger(placements);
    planUntilStable(ledger);
    const group = [...ledger.groups.values()].find((one) => one.members[0].address === "i1")!;
    const successor = group.members[1];
    const kind = RecordKind.GroupSucceeded as const;
    const incarnation = successor.incarnation;
    append(ledger, { id: newRecordId(), kind, group: group.group, incarnation });
    planUntilStable(ledger);
    expect(shardsOf(ledger).get("i1") ?? 0).to.equal(0);
    const own = ledger.instances.get("i1")!;
    append(ledger, {
      id: newRecordId(),
      kind: RecordKind.ServerChanged,
      address: "i1",
      incarnation: own.incarnation,
      server: own.server,
    });
    planUntilStable(ledger);
    expect(shardsOf(ledger).get("i1")).to.be.greaterThan(8);
  });

  it("assigns every shard after two losses, to owners that depend on the time between the losses", () => {
    const ownersAfter = (losses: string[][]) => {
      const placements = [0, 1, 2, 0].map((dataCentre) => ({
        dataCentre,
        region: 0,
        isHolder: true,
      }));
      const ledger = createLedger(placements);
      planUntilStable(ledger);
      for (const lost of losses) {
        lost.forEach((name) => lose(ledger, name));
        planUntilStable(ledger);
      }
      const table = ledger.pools.get(POOL)!;
      return Array.from({ length: table.size }, (_, shard) => {
        const group = ledger.groups.get(table.groupOf(shard))!;
        return group.members[0].address;
      });
    };
    const apart = ownersAfter([["i1"], ["i2"]]);
    const together = ownersAfter([["i1", "i2"]]);
    expect([...new Set([...apart, ...together])].sort()).to.deep.equal(["i0", "i3"]);
    expect(apart).to.not.deep.equal(together);
  });
});
