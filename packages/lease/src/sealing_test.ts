import { expect } from "chai";
import { Result } from "true-myth";
import { type Entry, Ledger, RecordKind } from "@bulrushwood/ledger";
import { appendEntry, newRecordId, publishPool } from "@bulrushwood/stand_ins";
import { MoveCause, now, sleep } from "@bulrushwood/types";
import { LeaseMethod } from "./messages.ts";
import { Sealing } from "./sealing.ts";
import { Tenure } from "./tenure.ts";

const POOL = "despacho";
const DURATION_MS = 100;

function append(ledger: Ledger, entry: Entry): number {
  const outcome = appendEntry(ledger, entry);
  expect(outcome.reason).to.equal("");
  return outcome.offset;
}

/** Joins a daemon whose backend server does not check grants. */
function join(ledger: Ledger, address: string): number {
  return append(ledger, {
    id: newRecordId(),
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

interface Fixture {
  ledger: Ledger;
  /** Creates a group of the first `count` members and returns its id. */
  create: (count: number) => number;
  /** Moves the shard and returns the offset of the move. */
  move: (from: number, to: number) => number;
  sealing: Sealing;
  appended: Entry[];
  calls: string[];
  close: () => Promise<void>;
}

/** Sets up three daemons of which the first seals; the callback decides whether a peer seals a group. */
function createFixture(sealsGroup: (peer: string, group: number) => boolean): Fixture {
  const ledger = new Ledger();
  publishPool(ledger, POOL, { shards: 1 });
  const members = ["holder", "successor", "witness"].map((address) => ({
    address,
    incarnation: join(ledger, address),
  }));
  append(ledger, { id: newRecordId(), kind: RecordKind.PlannerClaimed, expects: 0, ...members[0] });
  const claim = ledger.claim!.claim;
  const appended: Entry[] = [];
  const calls: string[] = [];
  const stop = new AbortController();
  const sealing = new Sealing({
    ledger,
    ...members[0],
    now,
    sleep,
    call: (peer, method, payload) => {
      calls.push(`${peer} ${method}`);
      const { group } = payload as { group: number };
      return Promise.resolve(Result.ok({ granted: sealsGroup(peer, group) }));
    },
    append: (entry) => appended.push(entry),
    newId: newRecordId,
    durationMs: DURATION_MS,
    driftMarginMs: 0,
    signal: stop.signal,
    sealLocally: () => true,
    onSealed: () => {},
  });
  return {
    ledger,
    create: (count) =>
      append(ledger, {
        id: newRecordId(),
        kind: RecordKind.GroupCreated,
        claim,
        pool: POOL,
        members: members.slice(0, count),
      }),
    move: (from, to) =>
      append(ledger, {
        id: newRecordId(),
        kind: RecordKind.ShardsMoved,
        claim,
        pool: POOL,
        shards: [{ first: 0, last: 0 }],
        from,
        to,
        cause: MoveCause.Loss,
      }),
    sealing,
    appended,
    calls,
    close: () => {
      stop.abort();
      return sealing.close();
    },
  };
}

/** Makes the first daemon hold a group. */
function hold({ ledger, sealing }: Fixture, group: number): void {
  sealing.start(new Tenure(ledger.groups.get(group)!, 0, { succeedAfter: 0 }));
}

function activated(group: number, move: number): object {
  return { kind: RecordKind.MovesActivated, group, moves: [move] };
}

function withoutIds(entries: Entry[]): object[] {
  return entries.map(({ id: _, ...rest }) => rest);
}

describe("sealing of earlier owners", () => {
  it("completes once the log proves, after the other seals, that an unresponsive successor has stopped", async () => {
    const fixture = createFixture((peer) => peer === "witness");
    const earlier = fixture.create(3);
    const later = fixture.create(1);
    fixture.move(0, earlier);
    const move = fixture.move(earlier, later);
    hold(fixture, later);
    await sleep(DURATION_MS);
    expect(fixture.calls).to.include(`successor ${LeaseMethod.Seal}`);
    expect(fixture.appended, "before the successor is proven to have stopped").to.deep.equal([]);
    join(fixture.ledger, "successor");
    await sleep(DURATION_MS);
    expect(withoutIds(fixture.appended)).to.deep.equal([activated(later, move)]);
    await fixture.close();
  });

  it("reports a move whose last seal was requested for an earlier move of the same keys", async () => {
    let isSealing = false;
    const fixture = createFixture(() => isSealing);
    const earlier = fixture.create(3);
    const [between, later] = [fixture.create(1), fixture.create(1)];
    fixture.move(0, earlier);
    fixture.move(earlier, between);
    hold(fixture, between);
    await sleep(DURATION_MS);
    const move = fixture.move(between, later);
    hold(fixture, later);
    await sleep(DURATION_MS);
    expect(fixture.appended, "before the earliest owner is sealed").to.deep.equal([]);
    isSealing = true;
    await sleep(DURATION_MS);
    expect(withoutIds(fixture.appended)).to.deep.equal([activated(later, move)]);
    await fixture.close();
  });
});
