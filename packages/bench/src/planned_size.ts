/**
 * Measures the cost of the ledger and the planner at the planned size, 890 daemons and 65,536 shards. Applies records
 * to a ledger in this process.
 */
import { type Entry, formatEntry, Ledger, RecordKind, toRanges } from "@bulrushwood/ledger";
import process from "node:process";
import { planPool } from "@bulrushwood/planner";
import { benchConfiguration } from "./bench_configuration.ts";
import type { Experiment, Report, Row } from "./experiment.ts";

const DAEMONS = 890;
const SHARDS = 65_536;
const POOL = "despacho";
const US_PER_MS = 1_000;
const BYTES_PER_MB = 1_000_000;
/** Largest number of planning rounds until no move is left. */
const PLANNING_ROUNDS_MAX = 100;
/** Longest time that one step may block a daemon's leases and requests, in milliseconds. */
const STEP_MAX_MS = 100;

/** Durations of repeated steps. */
class StepTimes {
  readonly #ms: number[] = [];

  /** Runs a step and records its duration. */
  measure<T>(step: () => T): T {
    const startedAt = performance.now();
    const result = step();
    this.#ms.push(performance.now() - startedAt);
    return result;
  }

  get summary(): Row["figures"] {
    const total = this.#ms.reduce((sum, ms) => sum + ms, 0);
    return {
      times: this.#ms.length,
      "mean us": total * US_PER_MS / this.#ms.length,
      "worst ms": Math.max(...this.#ms),
    };
  }
}

/** Fills a ledger by applying records as the log would deliver them, and measures each step. */
class LedgerBuilder {
  readonly ledger = new Ledger();
  readonly applyTimes = new StepTimes();
  readonly planTimes = new StepTimes();
  readonly idlePlanTimes = new StepTimes();
  recordBytes = 0;
  records = 0;
  #nextId = 1;

  #append(entry: Entry): void {
    const body = formatEntry(entry);
    this.recordBytes += body.length;
    this.records++;
    this.applyTimes.measure(() => this.ledger.apply(this.ledger.appliedOffset + 1, body));
  }

  #newId(): string {
    return `00000000-0000-0000-0000-${String(this.#nextId++).padStart(12, "0")}`;
  }

  /** Publishes a configuration, joins all instances and lets the first one claim the planner. */
  appendInstances(): void {
    this.#append({
      id: this.#newId(),
      kind: RecordKind.ConfigurationPublished,
      expects: 0,
      by: "bench",
      configuration: benchConfiguration(SHARDS) as never,
    });
    for (let index = 0; index < DAEMONS; index++) {
      const address = `10.0.${index >> 8}.${index & 255}:7000`;
      this.#append({
        id: this.#newId(),
        kind: RecordKind.InstanceJoined,
        address,
        expects: 0,
        name: `despacho-${index}`,
        dataCentre: `centre-${index % 4}`,
        region: `region-${index % 2}`,
        admin: address,
        server: { pool: POOL, slots: 12, connections: 110, checksGrants: true },
      });
    }
    const first = this.ledger.instances.values().next().value!;
    this.#append({
      id: this.#newId(),
      kind: RecordKind.PlannerClaimed,
      expects: 0,
      address: first.address,
      incarnation: first.incarnation,
    });
  }

  /** Plans until all shards have owners and no move is left; then measures plans that change nothing. */
  placeShards(): void {
    const table = this.ledger.pools.get(POOL)!;
    for (let round = 0; round < PLANNING_ROUNDS_MAX; round++) {
      const plan = this.planTimes.measure(() => planPool(this.ledger, table));
      if (plan.create.length + plan.moves.length === 0) {
        break;
      }
      for (const members of plan.create) {
        const kind = RecordKind.GroupCreated as const;
        this.#append({ id: this.#newId(), kind, claim: 1, pool: POOL, members });
      }
      for (const { shards, from, to, cause } of plan.moves) {
        const kind = RecordKind.ShardsMoved as const;
        const ranges = toRanges(shards);
        const move = { pool: POOL, shards: ranges, from, to, cause };
        this.#append({ id: this.#newId(), kind, claim: 1, ...move });
      }
    }
    for (let round = 0; round < 10; round++) {
      this.idlePlanTimes.measure(() => planPool(this.ledger, table));
    }
  }
}

function memoryBytes(): number {
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function run(): Promise<Report> {
  const memoryBefore = memoryBytes();
  const builder = new LedgerBuilder();
  builder.appendInstances();
  builder.placeShards();
  const memoryMb = (memoryBytes() - memoryBefore) / BYTES_PER_MB;
  const snapshotTimes = new StepTimes();
  let bytes = 0;
  for (let round = 0; round < 5; round++) {
    bytes = snapshotTimes.measure(() => JSON.stringify(builder.ledger.toDocument())).length;
  }
  const rows: Row[] = [
    { name: "fold of a record", figures: builder.applyTimes.summary },
    { name: "plan with something to do", figures: builder.planTimes.summary },
    { name: "plan with nothing to do", figures: builder.idlePlanTimes.summary },
    { name: "snapshot", figures: snapshotTimes.summary },
  ];
  const zeroFigures = { times: 0, "mean us": 0, "worst ms": 0 };
  rows.push({ name: "ledger, MB", figures: { ...zeroFigures, times: memoryMb } });
  rows.push({ name: "snapshot, MB", figures: { ...zeroFigures, times: bytes / BYTES_PER_MB } });
  const recordBytes = builder.recordBytes / builder.records;
  rows.push({ name: "record, bytes", figures: { ...zeroFigures, times: recordBytes } });
  return Promise.resolve(toReport(rows));
}

function toReport(rows: Row[]): Report {
  const goals = rows.slice(0, 4).map(({ name, figures }) => ({
    what: `worst ms of a ${name}`,
    measured: figures["worst ms"],
    atMost: STEP_MAX_MS,
  }));
  return {
    name: "planned-size",
    explanation:
      `${DAEMONS} daemons and ${SHARDS} shards in one ledger, in this process; a step of ` +
      "more than 100 ms keeps a daemon from renewing its leases.",
    rows,
    goals,
    plots: [{ title: "Longest step at the planned size", column: "worst ms" }],
  };
}

/** Experiment that measures the ledger and the planner at the planned size. */
export const plannedSize: Experiment = {
  name: "planned-size",
  description: "cost of ledger and planner with 890 daemons and 65,536 shards",
  run,
};
