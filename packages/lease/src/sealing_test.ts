import { expect } from "chai";
import { Result } from "true-myth";
import { type Entry, formatEntry, Ledger, RecordKind } from "@bulrushwood/ledger";
import { MoveCause, now, Preference, Priority, sleep } from "@bulrushwood/types";
import { LeaseMethod } from "./messages.ts";
import { Sealing } from "./sealing.ts";
import { Tenure } from "./tenure.ts";

const POOL = "despacho";
const DURATION_MS = 100;

let nextId = 1;

function newId(): string {
  return `id-${nextId++}`;
}

function append(ledger: Ledger, entry: Entry): number {
  const folded = ledger.fold(ledger.folded + 1, formatEntry(entry));
  expect(folded.reason).to.equal("");
  return folded.offset;
}

function publish(ledger: Ledger): void {
  const target = { share: 0.9, withinMs: 100 };
  const work = { target, idempotent: false, priority: Priority.Foreground, deadlineMs: 1_000 };
  append(ledger, {
    id: newId(),
    kind: RecordKind.ConfigurationPublished,
    expects: 0,
    by: "test",
    configuration: {
      tenantHeader: "x-tenant",
      pools: { [POOL]: { keyed: true, shards: 1, prefer: Preference.Availability } },
      classes: { work },
      routes: [{
        method: "GET",
        path: "/:key",
        pool: POOL,
        class: "work",
        key: { pathPart: "key" },
      }],
    },
  });
}

/** A daemon beside a server that checks no grants. */
function join(ledger: Ledger, address: string): number {
  return append(ledger, {
    id: newId(),
    kind: RecordKind.InstanceJoined,
    address,
    expects: ledger.instances.get(address)?.incarnation ?? 0,
    name: address,
    dataCentre: "dc",
    region: "region",
    admin: address,
    server: { pool: POOL, slots: 4, connections: 8, checksGrants: false },
  });
}

describe("sealing of earlier owners", () => {
  it("ends when the log proves a silent successor gone after the others have answered", async () => {
    const ledger = new Ledger();
    publish(ledger);
    const members = ["holder", "successor", "witness"].map((address) => ({
      address,
      incarnation: join(ledger, address),
    }));
    append(ledger, {
      id: newId(),
      kind: RecordKind.PlannerClaimed,
      expects: 0,
      ...members[0],
    });
    const claim = ledger.claim!.claim;
    const create = (of: typeof members) =>
      append(ledger, {
        id: newId(),
        kind: RecordKind.GroupCreated,
        claim,
        pool: POOL,
        members: of,
      });
    const earlier = create(members);
    const later = create([members[0]]);
    const move = (from: number, to: number) =>
      append(ledger, {
        id: newId(),
        kind: RecordKind.ShardsMoved,
        claim,
        pool: POOL,
        shards: [{ first: 0, last: 0 }],
        from,
        to,
        cause: MoveCause.Loss,
      });
    move(0, earlier);
    const second = move(earlier, later);
    const appended: Entry[] = [];
    const asked: string[] = [];
    const stop = new AbortController();
    const sealing = new Sealing({
      ledger,
      ...members[0],
      now,
      sleep,
      call: (peer, method) => {
        asked.push(`${peer} ${method}`);
        return Promise.resolve(Result.ok({ granted: peer === "witness" }));
      },
      append: (entry) => appended.push(entry),
      newId,
      durationMs: DURATION_MS,
      driftMarginMs: 0,
      signal: stop.signal,
      sealHere: () => true,
      onSealed: () => {},
    });
    sealing.start(new Tenure(ledger.groups.get(later)!, 0, { succeedAfter: 0 }));
    await sleep(DURATION_MS);
    expect(asked).to.include(`successor ${LeaseMethod.Seal}`);
    expect(appended, "before the successor is proven gone").to.deep.equal([]);
    join(ledger, "successor");
    await sleep(DURATION_MS);
    expect(appended.map((entry) => entry.kind)).to.deep.equal([RecordKind.MovesActivated]);
    expect((appended[0] as { moves: number[] }).moves).to.deep.equal([second]);
    stop.abort();
    await sealing.close();
  });
});
