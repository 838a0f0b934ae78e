/**
 * Measures the cost of a request: the latency added to a direct call of the stand-in, and the processor time at the
 * ingress and at the holder.
 */
import { Deployment, despachoInstances, type Process } from "@bulrushwood/sessions";
import { sleep } from "@bulrushwood/types";
import { benchConfiguration } from "./bench_configuration.ts";
import type { Experiment, ExperimentOptions, Report, Row } from "./experiment.ts";
import { applyLoad, type LoadRequest, type LoadResult } from "./open_loop.ts";

const REQUESTS_PER_SECOND = 800;
const DURATION_MS = 8_000;
/** Time over which the processor time of idle daemons is measured, in milliseconds. */
const IDLE_MS = 3_000;
const US_PER_MS = 1_000;
/** Largest number of keys whose owner is looked up. */
const CANDIDATE_KEYS = 2_000;

/** Part of the experiment that sends all requests by one path. */
interface Phase {
  name: string;
  request: (index: number) => LoadRequest;
}

/** Outcomes of a phase, and processor time per request in microseconds. */
interface Costs {
  result: LoadResult;
  ingressUs: number;
  holderUs: number;
}

/** Returns up to 40 keys that one instance owns. */
async function findKeysOwnedBy(deployment: Deployment, owner: string): Promise<string[]> {
  const keys: string[] = [];
  for (let index = 0; index < CANDIDATE_KEYS && keys.length < 40; index++) {
    const key = `planta-${index}`;
    const explanation = await deployment.admin(owner).explain("despacho", key);
    if (explanation.isOk && explanation.value.owner === owner) {
      keys.push(key);
    }
  }
  return keys;
}

function createPhases(deployment: Deployment, keys: string[]): Phase[] {
  const common = { method: "POST", body: "x".repeat(200), headers: { "x-tenant": "bench" } };
  const pathOf = (index: number) => `/plants/${keys[index % keys.length]}/bookings`;
  const createPhase = (name: string, address: string): Phase => ({
    name,
    request: (index) => ({ ...common, address, path: pathOf(index), workClass: name }),
  });
  return [
    createPhase("direct to the stand-in", deployment.backendAddress("despacho-2")),
    createPhase("at the holder", deployment.callerAddress("despacho-2")),
    createPhase("forwarded", deployment.callerAddress("despacho-1")),
  ];
}

/** Returns the share of a core that each process uses without requests; it is subtracted from the cost of requests. */
async function measureIdleCpuShares(processes: Process[]): Promise<number[]> {
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
  const idleCpuShares = await measureIdleCpuShares(processes);
  let index = 0;
  const load = {
    rate: REQUESTS_PER_SECOND,
    next: () => phase.request(index++),
    random: options.random,
  };
  await applyLoad({ ...load, durationMs: 1_500 });
  index = 0;
  const before = processes.map((process) => process.cpuMs);
  const startedAt = performance.now();
  const result = await applyLoad({ ...load, durationMs: DURATION_MS * options.scale });
  const elapsedMs = performance.now() - startedAt;
  const usPerRequest = processes.map((process, processIndex) =>
    (process.cpuMs - before[processIndex] - idleCpuShares[processIndex] * elapsedMs) * US_PER_MS /
    index
  );
  return { result, ingressUs: usPerRequest[0], holderUs: usPerRequest[1] };
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
    const keys = await findKeysOwnedBy(deployment, "despacho-2");
    const rows: Row[] = [];
    for (const phase of createPhases(deployment, keys)) {
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
      `${REQUESTS_PER_SECOND} requests/s of 200 bytes, 2 ms of work, one run; latency from the intended ` +
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

/** Experiment that measures the cost of a request. */
export const forwarding: Experiment = {
  name: "forwarding",
  description: "time and processor time that a request costs, against the stand-in called directly",
  run,
};
