/**
 * Runs one schedule and checks after each event that no two processes own a shard at the same time. A process owns a
 * shard if it would serve a request for it or its backend server still runs work for it.
 */
import type { Permit, Rules } from "@bulrushwood/lease";
import { type Entry, formatEntry, type Ledger, RecordKind } from "@bulrushwood/ledger";
import { createRandom, MoveCause, type Random } from "@bulrushwood/types";
import { FakeLog } from "./fake_log.ts";
import { FakeNetwork } from "./fake_network.ts";
import { EventKind, RUN_MS, type Schedule, type ScheduledEvent, SHARD_COUNT } from "./schedule.ts";
import { Scheduler } from "./scheduler.ts";
import { joinedEntry, SimProcess } from "./sim_process.ts";

const POOL = "pool";
/** Claim of the only planner; all records of groups and moves name it. */
const CLAIM = 1;
/** Longest time between the beginning of a request and its order to the backend server, in milliseconds. */
const ORDER_DELAY_MAX_MS = 400;

/** Work for a shard that a backend server runs. */
interface WorkItem {
  process: SimProcess;
  shard: number;
  permit: Permit;
  /** True time at which the work is done. */
  end: number;
  /** True time at which the grant expires, when a server that checks grants ends the work. */
  grantEnd: number;
  hasEnded: boolean;
}

/** Shard with two owners at the same time. */
export interface Violation {
  at: number;
  shard: number;
  owners: string[];
}

/** Result of a run. */
export interface RunReport {
  violation: Violation | undefined;
  /** Number of orders sent to backend servers. */
  orders: number;
}

/** Simulation of one schedule. */
class ScheduleRun {
  readonly #scheduler = new Scheduler();
  readonly #random: Random;
  readonly #log: FakeLog;
  readonly #network: FakeNetwork;
  readonly #processes: SimProcess[];
  readonly #workItems: WorkItem[] = [];
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
      findEndpoint: (address) => this.#processes.find((process) => process.address === address),
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
    this.#preloadLog();
    schedule.events.forEach((event) => scheduler.at(event.at, () => this.#execute(event)));
  }

  #newId(): string {
    return `id-${this.#nextId++}`;
  }

  /** Writes the initial records: a pool, the processes, a planner, and two groups with half the shards each. */
  #preloadLog(): void {
    this.#log.preload(formatEntry(configurationEntry(this.#newId())));
    const incarnations = this.#processes.map((process) => {
      const { address, checksGrants } = process;
      return this.#log.preload(formatEntry(joinedEntry(this.#newId(), address, 0, checksGrants)));
    });
    const kind = RecordKind.PlannerClaimed as const;
    const claim = { id: this.#newId(), kind, expects: 0, address: "p0", incarnation: 2 };
    this.#log.preload(formatEntry(claim));
    const member = (index: number) => ({ address: `p${index}`, incarnation: incarnations[index] });
    const groupIds = [[0, 1, 2], [3, 4, 5]].map((members) =>
      this.#log.preload(formatEntry(this.#groupEntry(members.map(member))))
    );
    const shardsPerGroup = SHARD_COUNT / 2;
    groupIds.forEach((group, index) => {
      const shards = { first: index * shardsPerGroup, last: (index + 1) * shardsPerGroup - 1 };
      this.#log.preload(formatEntry(this.#moveEntry(shards, 0, group)));
    });
    this.#processes.forEach((process, index) => process.startWithIncarnation(incarnations[index]));
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

  #execute(event: ScheduledEvent): void {
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
        return this.#log.failUntil(until);
      case EventKind.Move:
        return process.runInProcess(() => this.#appendMove(process.ledger, event));
      case EventKind.Group:
        return process.runInProcess(() => this.#appendGroup(process.ledger, event));
      case EventKind.Surrender:
        return process.runInProcess(() => process.surrender());
      case EventKind.DeclareLost:
        return this.#declareLost(process);
      case EventKind.Order:
        return this.#scheduleOrder(event);
    }
  }

  #restart(process: SimProcess, afterMs: number): void {
    this.#endUncheckedWork(process);
    process.restart(afterMs);
  }

  /** Ends the work of a server that checks no grants: it cancels work when its daemon's connections end. */
  #endUncheckedWork(process: SimProcess): void {
    for (const work of this.#workItems) {
      if (work.process === process && !process.checksGrants) {
        work.hasEnded = true;
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

  #appendMove(ledger: Ledger, event: ScheduledEvent): void {
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

  #appendGroup(ledger: Ledger, event: ScheduledEvent): void {
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

  /** Begins a request at the process that would serve the shard now, and sends its order after a random delay. */
  #scheduleOrder(event: ScheduledEvent): void {
    const owner = this.#processes.find((process) =>
      !process.isPaused && process.isReady(POOL, event.shard)
    );
    const permit = owner?.begin(POOL, event.shard);
    if (owner === undefined || permit === undefined) {
      return;
    }
    owner.sleep(this.#random() * ORDER_DELAY_MAX_MS).then(() => {
      this.#sendOrder(owner, permit, event);
    });
  }

  #sendOrder(process: SimProcess, permit: Permit, event: ScheduledEvent): void {
    if (!permit.isValid()) {
      permit.end();
      return;
    }
    this.#orders++;
    this.#checkOwners(event.shard, this.#ownersOf(event.shard).add(process.address));
    const end = this.#scheduler.now + event.lastsMs;
    const grantEnd = process.toTrueTime(permit.heldUntil());
    const work: WorkItem = { process, shard: event.shard, permit, end, grantEnd, hasEnded: false };
    this.#workItems.push(work);
    process.sleep(event.lastsMs).then(() => {
      work.hasEnded = true;
      permit.end();
    });
  }

  /** Whether a server still runs the work. While its process is not paused, lease renewals extend the grant. */
  #isRunning(work: WorkItem): boolean {
    if (work.hasEnded || this.#scheduler.now >= work.end) {
      return false;
    }
    if (!work.process.isPaused) {
      const heldUntil = work.process.toTrueTime(work.permit.heldUntil());
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
    for (const work of this.#workItems) {
      if (work.shard === shard && this.#isRunning(work)) {
        owners.add(work.process.address);
      }
    }
    return owners;
  }

  #checkOwners(shard: number, owners: Set<string>): void {
    if (owners.size > 1) {
      this.#violation ??= { at: this.#scheduler.now, shard, owners: [...owners].sort() };
    }
  }

  #checkAllOwners(): void {
    for (let shard = 0; shard < SHARD_COUNT && this.#violation === undefined; shard++) {
      this.#checkOwners(shard, this.#ownersOf(shard));
    }
  }

  async run(): Promise<RunReport> {
    await this.#scheduler.runUntil(RUN_MS, () => this.#checkAllOwners());
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
      pools: { [POOL]: { keyed: true, shards: SHARD_COUNT, prefer: "availability" as never } },
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

/** Runs a schedule with the given lease rules. */
export function runSchedule(schedule: Schedule, rules: Rules): Promise<RunReport> {
  return new ScheduleRun(schedule, rules).run();
}
