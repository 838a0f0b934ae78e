/**
 * Runs one schedule and looks, after each event, whether two processes own a shard at the same time: one
 * that would serve it, or whose backend server still runs work for it.
 */
import type { Permit, Rules } from "@bulrushwood/lease";
import { type Entry, formatEntry, type Ledger, RecordKind } from "@bulrushwood/ledger";
import { createRandom, MoveCause, type Random } from "@bulrushwood/types";
import { FakeLog } from "./fake_log.ts";
import { FakeNetwork } from "./network.ts";
import { EventKind, RUN_MS, type Schedule, type ScheduledEvent, SHARDS } from "./schedule.ts";
import { Scheduler } from "./scheduler.ts";
import { joinedEntry, SimProcess } from "./sim_process.ts";

const POOL = "pool";
const CLAIM = 1;
const THINK_MAX_MS = 400;

/** Work that a backend server runs. */
interface Work {
  process: SimProcess;
  shard: number;
  permit: Permit;
  /** When the work is done, in true time. */
  end: number;
  /** When the server ends the work since its grant has run out, in true time. */
  grantEnd: number;
  isOver: boolean;
}

/** Two owners at once. */
export interface Violation {
  at: number;
  shard: number;
  owners: string[];
}

/** What a run did. */
export interface RunReport {
  violation: Violation | undefined;
  /** Orders that were sent to backend servers. */
  orders: number;
}

/** One run of one schedule. */
class Run {
  readonly #scheduler = new Scheduler();
  readonly #random: Random;
  readonly #log: FakeLog;
  readonly #network: FakeNetwork;
  readonly #processes: SimProcess[];
  readonly #works: Work[] = [];
  #nextId = 1;
  #orders = 0;
  #violation: Violation | undefined;

  constructor(schedule: Schedule, rules: Rules) {
    this.#random = createRandom(schedule.seed);
    const scheduler = this.#scheduler;
    const random = this.#random;
    this.#log = new FakeLog({ scheduler, random });
    this.#network = new FakeNetwork({
      scheduler,
      random,
      lossShare: schedule.lossShare,
      find: (address) => this.#processes.find((process) => process.address === address),
    });
    this.#processes = schedule.rates.map((rate, index) =>
      new SimProcess({
        address: `p${index}`,
        scheduler,
        network: this.#network,
        log: this.#log,
        random,
        rate,
        rules,
        checksGrants: schedule.checksGrants[index],
        newId: () => this.#newId(),
      })
    );
    this.#preload();
    schedule.events.forEach((event) => scheduler.at(event.at, () => this.#happen(event)));
  }

  #newId(): string {
    return `id-${this.#nextId++}`;
  }

  /** Puts into the log what every run begins with: the pool, the processes, two groups. */
  #preload(): void {
    this.#log.preload(formatEntry(configurationEntry(this.#newId())));
    const incarnations = this.#processes.map((process) => {
      const { address, checksGrants } = process;
      return this.#log.preload(formatEntry(joinedEntry(this.#newId(), address, 0, checksGrants)));
    });
    const kind = RecordKind.PlannerClaimed as const;
    const claim = { id: this.#newId(), kind, expects: 0, address: "p0", incarnation: 2 };
    this.#log.preload(formatEntry(claim));
    const member = (index: number) => ({ address: `p${index}`, incarnation: incarnations[index] });
    const groups = [[0, 1, 2], [3, 4, 5]].map((members) =>
      this.#log.preload(formatEntry(this.#groupEntry(members.map(member))))
    );
    const half = SHARDS / 2;
    groups.forEach((group, index) => {
      const shards = { first: index * half, last: (index + 1) * half - 1 };
      this.#log.preload(formatEntry(this.#moveEntry(shards, 0, group)));
    });
    this.#processes.forEach((process, index) => process.startAs(incarnations[index]));
  }

  #groupEntry(members: { address: string; incarnation: number }[]): Entry {
    const kind = RecordKind.GroupCreated as const;
    return { id: this.#newId(), kind, claim: CLAIM, pool: POOL, members };
  }

  #moveEntry(range: { first: number; last: number }, from: number, to: number): Entry {
    return {
      id: this.#newId(),
      kind: RecordKind.ShardsMoved,
      claim: CLAIM,
      pool: POOL,
      shards: [range],
      from,
      to,
      cause: MoveCause.Balance,
    };
  }

  #happen(event: ScheduledEvent): void {
    const process = this.#processes[event.process];
    const other = this.#processes[event.other];
    const until = this.#scheduler.now + event.lastsMs;
    switch (event.kind) {
      case EventKind.Pause:
        return process.pause(event.lastsMs);
      case EventKind.Restart:
        return this.#restart(process, event.lastsMs);
      case EventKind.Cut:
        return this.#network.cut(process.address, other.address, until);
      case EventKind.LogOutage:
        return this.#log.stopUntil(until);
      case EventKind.Move:
        return process.enter(() => this.#move(process.ledger, event));
      case EventKind.Group:
        return process.enter(() => this.#createGroup(process.ledger, event));
      case EventKind.Surrender:
        return process.enter(() => process.surrender());
      case EventKind.DeclareLost:
        return this.#declareLost(process);
      case EventKind.Order:
        return this.#orderFromOwner(event);
    }
  }

  #restart(process: SimProcess, afterMs: number): void {
    this.#endUncheckedWork(process);
    process.restart(afterMs);
  }

  /** A server that checks no grants takes the end of its daemon's connections as cancellation. */
  #endUncheckedWork(process: SimProcess): void {
    for (const work of this.#works) {
      if (work.process === process && !process.checksGrants) {
        work.isOver = true;
      }
    }
  }

  #declareLost(process: SimProcess): void {
    const { address, incarnation } = process;
    this.#endUncheckedWork(process);
    process.end();
    this.#log.append(formatEntry({
      id: this.#newId(),
      kind: RecordKind.InstanceLost,
      address,
      incarnation,
      by: "operator",
      declared: true,
    }));
  }

  #move(ledger: Ledger, event: ScheduledEvent): void {
    const from = ledger.pools.get(POOL)?.groupOf(event.shard) ?? 0;
    const groups = [...ledger.groups.keys()].filter((group) => group !== from);
    if (groups.length === 0) {
      return;
    }
    const to = groups[event.third % groups.length];
    const shards = { first: event.shard, last: event.shard };
    const delayMs = this.#random() < 0.2 ? event.lastsMs : 0;
    this.#log.append(formatEntry(this.#moveEntry(shards, from, to)), delayMs);
  }

  #createGroup(ledger: Ledger, event: ScheduledEvent): void {
    const { process, other, third } = event;
    if (process === other || other === third || process === third) {
      return;
    }
    const members = [process, other, third].map((index) => {
      const { address } = this.#processes[index];
      return { address, incarnation: ledger.instances.get(address)?.incarnation ?? 0 };
    });
    this.#log.append(formatEntry(this.#groupEntry(members)));
  }

  /** Sends an order for a shard from whatever process would serve it now. */
  #orderFromOwner(event: ScheduledEvent): void {
    const owner = this.#processes.find((process) =>
      !process.isPaused && process.isReady(POOL, event.shard)
    );
    const permit = owner?.begin(POOL, event.shard);
    if (owner === undefined || permit === undefined) {
      return;
    }
    owner.sleep(this.#random() * THINK_MAX_MS).then(() => {
      this.#order(owner, permit, event);
    });
  }

  #order(process: SimProcess, permit: Permit, event: ScheduledEvent): void {
    if (!permit.isValid()) {
      permit.end();
      return;
    }
    this.#orders++;
    this.#judge(event.shard, this.#ownersOf(event.shard).add(process.address));
    const end = this.#scheduler.now + event.lastsMs;
    const grantEnd = process.toTrue(permit.heldUntil());
    const work: Work = { process, shard: event.shard, permit, end, grantEnd, isOver: false };
    this.#works.push(work);
    process.sleep(event.lastsMs).then(() => {
      work.isOver = true;
      permit.end();
    });
  }

  /** A process that runs extends the grants of its work as its lease is renewed. */
  #isRunning(work: Work): boolean {
    if (work.isOver || this.#scheduler.now >= work.end) {
      return false;
    }
    if (!work.process.isPaused) {
      const heldUntil = work.process.toTrue(work.permit.heldUntil());
      work.grantEnd = Math.max(work.grantEnd, heldUntil);
    }
    return !work.process.checksGrants || this.#scheduler.now < work.grantEnd;
  }

  #ownersOf(shard: number): Set<string> {
    const owners = new Set<string>();
    for (const process of this.#processes) {
      if (process.isReady(POOL, shard)) {
        owners.add(process.address);
      }
    }
    for (const work of this.#works) {
      if (work.shard === shard && this.#isRunning(work)) {
        owners.add(work.process.address);
      }
    }
    return owners;
  }

  #judge(shard: number, owners: Set<string>): void {
    if (owners.size > 1) {
      this.#violation ??= { at: this.#scheduler.now, shard, owners: [...owners].sort() };
    }
  }

  #judgeAll(): void {
    for (let shard = 0; shard < SHARDS && this.#violation === undefined; shard++) {
      this.#judge(shard, this.#ownersOf(shard));
    }
  }

  async run(): Promise<RunReport> {
    await this.#scheduler.runUntil(RUN_MS, () => this.#judgeAll());
    return { violation: this.#violation, orders: this.#orders };
  }
}

function configurationEntry(id: string): Entry {
  const target = { share: 0.9, withinMs: 100 };
  return {
    id,
    kind: RecordKind.ConfigurationPublished,
    expects: 0,
    by: "checker",
    configuration: {
      tenantHeader: "x-tenant",
      pools: { [POOL]: { keyed: true, shards: SHARDS, prefer: "availability" as never } },
      classes: {
        work: { target, idempotent: false, priority: "foreground" as never, deadlineMs: 1_000 },
      },
      routes: [{
        method: "GET",
        path: "/:key",
        pool: POOL,
        class: "work",
        key: { pathPart: "key" },
      }],
    },
  };
}

/** Runs a schedule under some rules. */
export function runSchedule(schedule: Schedule, rules: Rules): Promise<RunReport> {
  return new Run(schedule, rules).run();
}
