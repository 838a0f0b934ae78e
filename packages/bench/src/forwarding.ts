/**
 * What a request costs: the time added to a call of the stand-in itself, and the processor time at the
 * ingress and at the holder.
 */
import { Deployment, despachoInstances, type Process } from "@bulrushwood/sessions";
import { sleep } from "@bulrushwood/types";
import { benchConfiguration } from "./deployments.ts";
import type { Experiment, ExperimentOptions, Report, Row } from "./experiment.ts";
import { applyLoad, type LoadRequest, type LoadResult } from "./open_loop.ts";

const RATE = 800;
const DURATION_MS = 8_000;
const IDLE_MS = 3_000;
const US_PER_MS = 1_000;
const KEYS = 2_000;

interface Phase {
  name: string;
  request: (index: number) => LoadRequest;
}

interface Costs {
  result: LoadResult;
  ingressUs: number;
  holderUs: number;
}

/** Finds keys that one instance owns. */
async function keysOf(deployment: Deployment, owner: string): Promise<string[]> {
  const keys: string[] = [];
  for (let index = 0; index < KEYS && keys.length < 40; index++) {
    const key = `planta-${index}`;
    const explained = await deployment.admin(owner).explain("despacho", key);
    if (explained.isOk && explained.value.owner === owner) {
      keys.push(key);
    }
  }
  return keys;
}

function phases(deployment: Deployment, keys: string[]): Phase[] {
  const common = { method: "POST", body: "x".repeat(200), headers: { "x-tenant": "bench" } };
  const pathOf = (index: number) => `/plants/${keys[index % keys.length]}/bookings`;
  const through = (name: string, address: string): Phase => ({
    name,
    request: (index) => ({ ...common, address, path: pathOf(index), workClass: name }),
  });
  return [
    through("direct to the stand-in", deployment.backendAddress("despacho-2")),
    through("at the holder", deployment.callerAddress("despacho-2")),
    through("forwarded", deployment.callerAddress("despacho-1")),
  ];
}

async function measureIdle(processes: Process[]): Promise<number[]> {
  const before = processes.map((process) => process.cpuMs);
  await sleep(IDLE_MS);
  return processes.map((process, index) => (process.cpuMs - before[index]) / IDLE_MS);
}

async function runPhase(
  deployment: Deployment,
  phase: Phase,
  options: ExperimentOptions,
): Promise<Costs> {
  const processes = [deployment.daemon("despacho-1"), deployment.daemon("despacho-2")];
  const idle = await measureIdle(processes);
  let index = 0;
  const load = {
    rate: RATE,
    next: () => phase.request(index++),
    random: options.random,
  };
  await applyLoad({ ...load, durationMs: 1_500 });
  index = 0;
  const before = processes.map((process) => process.cpuMs);
  const startedAt = performance.now();
  const result = await applyLoad({ ...load, durationMs: DURATION_MS * options.scale });
  const tookMs = performance.now() - startedAt;
  const spent = processes.map((process, place) =>
    (process.cpuMs - before[place] - idle[place] * tookMs) * US_PER_MS / index
  );
  return { result, ingressUs: spent[0], holderUs: spent[1] };
}

function toRow(phase: Phase, costs: Costs): Row {
  const { result, ingressUs, holderUs } = costs;
  const counts = result.classOf(phase.name);
  return {
    name: phase.name,
    figures: {
      requests: counts.answered,
      "not answered": counts.notRun + counts.unknown,
      "p50 ms": result.latencyMs(phase.name, 50),
      "p99 ms": result.latencyMs(phase.name, 99),
      "despacho-1 us/request": ingressUs,
      "despacho-2 us/request": holderUs,
    },
  };
}

async function run(options: ExperimentOptions): Promise<Report> {
  const deployment = await Deployment.start({
    instances: despachoInstances(3, { slots: 64 }),
    recordsWork: false,
  });
  try {
    await deployment.publish("despacho-1", benchConfiguration(64), 0);
    await deployment.waitUntilSettled("despacho-1");
    const keys = await keysOf(deployment, "despacho-2");
    const rows: Row[] = [];
    for (const phase of phases(deployment, keys)) {
      rows.push(toRow(phase, await runPhase(deployment, phase, options)));
    }
    return toReport(rows);
  } finally {
    await deployment.close();
  }
}

function toReport(rows: Row[]): Report {
  const [direct, , forwarded] = rows.map((row) => row.figures);
  return {
    name: "forwarding",
    explanation:
      `${RATE} requests/s of 200 bytes, 2 ms of work, one run; latency from the intended ` +
      "start. despacho-1 is the ingress of the forwarded requests, despacho-2 holds their keys.",
    rows,
    goals: [
      {
        what: "ms added at p99 for a forwarded request",
        measured: forwarded["p99 ms"] - direct["p99 ms"],
        atMost: 1.5,
      },
      {
        what: "us of processor time at the ingress",
        measured: forwarded["despacho-1 us/request"],
        atMost: 100,
      },
      {
        what: "us of processor time at the holder",
        measured: forwarded["despacho-2 us/request"],
        atMost: 100,
      },
    ],
    plots: [{ title: "p99 of a request", column: "p99 ms" }],
  };
}

/** What a request costs. */
export const forwarding: Experiment = {
  name: "forwarding",
  describes: "time and processor time that a request costs, against the stand-in called directly",
  run,
};
