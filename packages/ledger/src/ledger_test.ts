import { readFileSync } from "node:fs";
import { expect } from "chai";
import { LogErrorKind } from "@bulrushwood/log_client";
import { type Configuration, parseConfiguration } from "@bulrushwood/settings";
import { AppendMode } from "@bulrushwood/stand_ins";
import { MoveCause } from "@bulrushwood/types";
import { LogFixture, type Reader } from "./log_fixture.ts";
import {
  Effect,
  type Entry,
  formatEntry,
  Ledger,
  LedgerErrorKind,
  parseEntry,
  RecordKind,
  toChunks,
  toRanges,
} from "./mod.ts";

let nextId = 1;

function newId(): string {
  return `id-${nextId++}`;
}

function configuration(withinMs: number): Configuration {
  const parsed = parseConfiguration(readFileSync("examples/tamborin.jsonc", "utf8"), "c");
  const changed = structuredClone(parsed.isOk ? parsed.value : undefined!);
  changed.classes.quoting.target.withinMs = withinMs;
  changed.pools.despacho.shards = 8;
  return changed;
}

function publishRecord(expects: number, withinMs: number): Entry {
  const kind = RecordKind.ConfigurationPublished as const;
  return { id: newId(), kind, expects, by: "test", configuration: configuration(withinMs) };
}

function joinRecord(address: string, expects = 0): Entry {
  const server = { pool: "despacho", slots: 4, connections: 8, checksGrants: true };
  return {
    id: newId(),
    kind: RecordKind.InstanceJoined,
    address,
    expects,
    name: address,
    dataCentre: "dc",
    region: "r",
    admin: address,
    server,
  };
}

function moveRecord(from: number, to: number, shards: number[], claim = 1): Entry {
  return {
    id: newId(),
    kind: RecordKind.ShardsMoved,
    claim,
    pool: "despacho",
    shards: toRanges(shards),
    from,
    to,
    cause: MoveCause.Balance,
  };
}

/** Applies entries to a ledger, at the offsets that follow. */
function applyAll(ledger: Ledger, entries: Entry[]): Effect[] {
  return entries.map((entry) => ledger.apply(ledger.appliedOffset + 1, formatEntry(entry)).effect);
}

/** Creates a ledger with three instances at offsets 2 to 4, claim 1, and groups 6 and 7. */
function createLedger(): Ledger {
  const ledger = new Ledger();
  const group = (first: number, second: number, third: number): Entry => ({
    id: newId(),
    kind: RecordKind.GroupCreated,
    claim: 1,
    pool: "despacho",
    members: [first, second, third].map((n) => ({ address: `i${n}`, incarnation: n + 1 })),
  });
  applyAll(ledger, [
    publishRecord(0, 100),
    joinRecord("i1"),
    joinRecord("i2"),
    joinRecord("i3"),
    { id: newId(), kind: RecordKind.PlannerClaimed, expects: 0, address: "i1", incarnation: 2 },
    group(1, 2, 3),
    group(2, 3, 1),
  ]);
  return ledger;
}

describe("the ledger", () => {
  it("applies a record only if its preconditions hold", () => {
    const ledger = new Ledger();
    const first = publishRecord(0, 100);
    const effects = applyAll(ledger, [first, first, publishRecord(0, 120), publishRecord(1, 120)]);
    const { Applied, Conflict } = Effect;
    expect(effects).to.deep.equal([Applied, Conflict, Conflict, Applied]);
    expect(ledger.configuration?.version).to.equal(2);
  });

  it("ignores a late copy of an older configuration", () => {
    const ledger = new Ledger();
    const first = publishRecord(0, 100);
    applyAll(ledger, [first, publishRecord(1, 120), first]);
    expect(ledger.configuration?.configuration.classes.quoting.target.withinMs).to.equal(120);
  });

  it("skips corrupt and unknown records and names the wrong field", () => {
    const ledger = new Ledger();
    const bodies = [
      "not json",
      "{}",
      '{"kind":"from-the-future","id":"x"}',
      '{"kind":"group-retired","id":"x","claim":1,"group":"six"}',
    ];
    const outcomes = bodies.map((body) => ledger.apply(ledger.appliedOffset + 1, body));
    expect(outcomes.map((outcome) => outcome.effect)).to.deep.equal(
      bodies.map(() => Effect.Corrupt),
    );
    expect(outcomes[3].reason).to.contain("group:");
    expect(applyAll(ledger, [publishRecord(0, 100)])).to.deep.equal([Effect.Applied]);
  });

  it("keeps earlier owners of a shard until its move is activated", () => {
    const ledger = createLedger();
    applyAll(ledger, [moveRecord(0, 6, [0, 1, 2, 3]), moveRecord(6, 7, [2, 3])]);
    const table = ledger.pools.get("despacho")!;
    expect(table.predecessorsOf(1)).to.deep.equal([]);
    expect(table.predecessorsOf(2)).to.deep.equal([{ group: 6, move: 9 }]);
    applyAll(ledger, [moveRecord(7, 6, [3])]);
    expect(table.predecessorsOf(3)).to.deep.equal([{ group: 6, move: 9 }, { group: 7, move: 10 }]);
    const kind = RecordKind.MovesActivated as const;
    applyAll(ledger, [{ id: newId(), kind, group: 6, moves: [10] }]);
    expect(table.predecessorsOf(3)).to.deep.equal([]);
    expect(table.predecessorsOf(2)).to.have.length(1);
  });

  it("ignores proposals of a stale planner and moves of shards from a group that does not own them", () => {
    const ledger = createLedger();
    const claimed = RecordKind.PlannerClaimed as const;
    const effects = applyAll(ledger, [
      moveRecord(0, 6, [0, 1]),
      moveRecord(0, 7, [1, 2]),
      { id: newId(), kind: claimed, expects: 1, address: "i2", incarnation: 3 },
      moveRecord(0, 6, [4], 1),
      moveRecord(0, 6, [4], 2),
    ]);
    const { Applied, Conflict } = Effect;
    expect(effects).to.deep.equal([Applied, Conflict, Applied, Conflict, Applied]);
  });

  it("retires a group only when it owns no shards and is no predecessor", () => {
    const ledger = createLedger();
    const retired = (group: number): Entry => ({
      id: newId(),
      kind: RecordKind.GroupRetired,
      claim: 1,
      group,
    });
    applyAll(ledger, [moveRecord(0, 6, [0]), moveRecord(6, 7, [0])]);
    expect(applyAll(ledger, [retired(6), retired(7)])).to.deep.equal([
      Effect.Conflict,
      Effect.Conflict,
    ]);
    const kind = RecordKind.MovesActivated as const;
    applyAll(ledger, [{ id: newId(), kind, group: 7, moves: [9] }]);
    expect(applyAll(ledger, [retired(6)])).to.deep.equal([Effect.Applied]);
  });

  it("has the same state after a snapshot is restored", () => {
    const ledger = createLedger();
    applyAll(ledger, [moveRecord(0, 6, [0, 1, 2]), moveRecord(6, 7, [2])]);
    const copy = new Ledger();
    copy.restore(JSON.parse(JSON.stringify(ledger.toDocument())));
    applyAll(ledger, [moveRecord(7, 6, [2])]);
    applyAll(copy, [moveRecord(7, 6, [2])]);
    expect(copy.toDocument()).to.deep.equal(ledger.toDocument());
  });

  it("parses a record back to what was serialised", () => {
    const entry = joinRecord("i9");
    const parsed = parseEntry(formatEntry(entry));
    expect(parsed.isOk && parsed.value).to.deep.equal(entry);
  });
});

describe("submissions to the log", () => {
  let log: LogFixture;
  let readers: Reader[];

  beforeEach(async () => {
    log = await LogFixture.start();
    readers = [];
  });

  afterEach(async () => {
    await Promise.all(readers.map((reader) => reader.close()));
    await log.close();
  });

  async function read(): Promise<Reader> {
    const reader = await log.read({ requestTimeoutMs: 300 });
    readers.push(reader);
    return reader;
  }

  it("settle an append whose response was lost", async () => {
    const reader = await read();
    await log.control({ appendMode: AppendMode.LoseResponse, appendCount: 1 });
    const submitted = await reader.submitter.submit(publishRecord(0, 100), { timeoutMs: 5_000 });
    expect(submitted.isOk && submitted.value).to.equal(1);
    expect(reader.ledger.configuration?.version).to.equal(1);
  });

  it("settle an append that takes effect after it was retried", async () => {
    const reader = await read();
    const applyLate = { appendMode: AppendMode.ApplyLate, lateMs: 1_500, appendCount: 1 };
    await log.control(applyLate);
    const submitted = await reader.submitter.submit(publishRecord(0, 100), { timeoutMs: 5_000 });
    expect(submitted.isOk).to.equal(true);
    const later = await reader.submitter.submit(publishRecord(1, 120), { timeoutMs: 5_000 });
    expect(later.isOk).to.equal(true);
    expect(reader.ledger.configuration?.version).to.equal(2);
  });

  it("append a lost record again", async () => {
    const reader = await read();
    await log.control({ appendMode: AppendMode.LoseRequest, appendCount: 1 });
    const submitted = await reader.submitter.submit(publishRecord(0, 100), { timeoutMs: 5_000 });
    expect(submitted.isOk).to.equal(true);
  });

  it("do not succeed for a record that has not appeared in the log", async () => {
    const reader = await read();
    await log.control({ appendMode: AppendMode.LoseRequest });
    const submitted = await reader.submitter.submit(publishRecord(0, 100), { timeoutMs: 1_500 });
    expect(submitted.isErr && submitted.error.kind).to.equal(LedgerErrorKind.Unsettled);
    await log.control({ down: true });
    const failed = await reader.log.append("x");
    expect(failed.isErr && failed.error.kind).to.equal(LogErrorKind.Ambiguous);
  });

  it("let one of two racing publishers win and report a conflict to the other", async () => {
    const [left, right] = [await read(), await read()];
    const both = await Promise.all([
      left.submitter.submit(publishRecord(0, 100), { timeoutMs: 5_000 }),
      right.submitter.submit(publishRecord(0, 120), { timeoutMs: 5_000 }),
    ]);
    const winners = both.filter((submitted) => submitted.isOk);
    const losers = both.filter((submitted) => submitted.isErr);
    expect(winners).to.have.length(1);
    expect(losers[0].isErr && losers[0].error.kind).to.equal(LedgerErrorKind.Conflict);
    expect(losers[0].isErr && losers[0].error.message).to.contain("version 1, not 0");
  });

  it("start from a snapshot and the records after it when older records have expired", async () => {
    const reader = await read();
    await reader.submitter.submit(publishRecord(0, 100), { timeoutMs: 5_000 });
    await reader.submitter.submit(joinRecord("i1"), { timeoutMs: 5_000 });
    for (const chunk of toChunks(reader.ledger.toDocument(), "snapshot-1")) {
      await reader.log.append(formatEntry(chunk));
    }
    await reader.submitter.submit(publishRecord(1, 120), { timeoutMs: 5_000 });
    await log.control({ keepNewest: 2 });
    const late = await read();
    expect(late.ledger.toDocument()).to.deep.equal(reader.ledger.toDocument());
  });

  it("wait at the start when a record between the snapshot and the retained records is missing", async () => {
    const reader = await read();
    for (const chunk of toChunks(reader.ledger.toDocument(), "snapshot-1")) {
      await reader.submitter.submit(publishRecord(0, 100), { timeoutMs: 5_000 });
      await reader.log.append(formatEntry(chunk));
    }
    await log.control({ keepNewest: 1 });
    const started = log.read();
    const waited = new Promise((resolve) => setTimeout(() => resolve("waits"), 700));
    expect(await Promise.race([started, waited])).to.equal("waits");
    await log.control({ down: true });
    started.then((late) => late.close());
  });
});
