/**
 * Measures how long keys have no owner after a killed instance, a suspended process, a planned move and a graceful
 * leave. Callers send requests for each key many times a second and see the gap as latency.
 */
import { Deployment, despachoInstances } from "@bulrushwood/sessions";
import { sleep } from "@bulrushwood/types";
import { benchConfiguration } from "./bench_configuration.ts";
import type { Experiment, ExperimentOptions, Report, Row } from "./experiment.ts";
import { applyLoad, type LoadRequest } from "./open_loop.ts";

const INSTANCES = 5;
const KEYS = 16;
const REQUESTS_PER_SECOND = 800;
const TRIALS_PER_FAULT = 20;
/** Duration of a trial's load after the fault, in milliseconds. */
const WINDOW_MS = 4_000;
/** Duration of a trial's load before the fault, in milliseconds. */
const BEFORE_FAULT_MS = 500;
const LOSS_TARGET_MS = 2_000;
const PLANNED_TARGET_MS = 50;

/** Fault or planned change in the middle of a trial; the values name rows of the report. */
enum Fault {
  Kill = "kill -9 of an instance",
  SuspendDaemon = "SIGSTOP of a daemon",
  SuspendServer = "SIGSTOP of a backend server",
  Join = "planned move to a new instance",
  Leave = "graceful leave",
}

/** Results of one trial for one key. */
interface KeyResult {
  key: string;
  /** Longest latency of a request for the key, in milliseconds. */
  worstMs: number;
  /** Hosts of the servers that responded. */
  owners: Set<string>;
}

async function findOwners(deployment: Deployment, via: string): Promise<Map<string, string>> {
  const owners = new Map<string, string>();
  for (let index = 0; index < KEYS; index++) {
    const key = `planta-${index}`;
    const explanation = await deployment.admin(via).explain("despacho", key);
    if (explanation.isOk) {
      owners.set(key, explanation.value.owner);
    }
  }
  return owners;
}

function createRequestSource(deployment: Deployment, via: string[]): () => LoadRequest {
  let index = 0;
  return () => {
    const key = `planta-${index % KEYS}`;
    const name = via[Math.floor(index / KEYS) % via.length];
    index++;
    return {
      address: deployment.callerAddress(name),
      method: "GET",
      path: `/plants/${key}/quotes`,
      headers: { "bulrushwood-deadline-ms": "8000" },
      workClass: key,
    };
  };
}

/** Applies load around a fault and returns the results of each key that changed its server. */
async function runTrial(
  deployment: Deployment,
  options: ExperimentOptions & { via: string[]; fault: () => Promise<void> | void },
): Promise<KeyResult[]> {
  const results = new Map<string, KeyResult>();
  const load = applyLoad({
    rate: REQUESTS_PER_SECOND,
    durationMs: BEFORE_FAULT_MS + WINDOW_MS,
    next: createRequestSource(deployment, options.via),
    random: options.random,
    onOutcome: ({ workClass: key }, outcome, latencyMs) => {
      const result = results.get(key) ?? { key, worstMs: 0, owners: new Set() };
      result.worstMs = Math.max(result.worstMs, latencyMs);
      result.owners.add(parseServerHost(outcome.body));
      results.set(key, result);
    },
  });
  await sleep(BEFORE_FAULT_MS);
  await options.fault();
  await load;
  return [...results.values()].filter((result) => result.owners.size > 1);
}

/** Returns the host that the stand-in put into its response; empty when the body is not JSON. */
function parseServerHost(body: string): string {
  try {
    return String(JSON.parse(body).host);
  } catch {
    return "";
  }
}

/** Returns the instance that owns the most keys among those that are not excluded. */
function chooseVictim(owners: Map<string, string>, excluded: string[]): string {
  const counts = new Map<string, number>();
  for (const owner of owners.values()) {
    if (!excluded.includes(owner)) {
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
  }
  return [...counts].sort((left, right) => right[1] - left[1])[0][0];
}

/**
 * Runs one trial and returns the longest latency of each key that changed its server. Restores the killed or suspended
 * instance; the instance that leaves is started again by the next join.
 */
async function runFaultTrial(
  deployment: Deployment,
  fault: Fault,
  options: ExperimentOptions,
): Promise<number[]> {
  const via = deployment.names.slice(0, 2);
  const last = deployment.names.at(-1)!;
  const measureWorst = async (injectFault: () => Promise<void> | void) =>
    (await runTrial(deployment, { ...options, via, fault: injectFault })).map((result) =>
      result.worstMs
    );
  const victim = chooseVictim(await findOwners(deployment, via[0]), via);
  switch (fault) {
    case Fault.Kill: {
      const worstTimes = await measureWorst(() => deployment.killInstance(victim));
      await deployment.startInstance(victim);
      return worstTimes;
    }
    case Fault.SuspendDaemon: {
      const worstTimes = await measureWorst(() => deployment.daemon(victim).signal("SIGSTOP"));
      deployment.daemon(victim).signal("SIGCONT");
      return worstTimes;
    }
    case Fault.SuspendServer: {
      const worstTimes = await measureWorst(() => deployment.backend(victim).signal("SIGSTOP"));
      deployment.backend(victim).signal("SIGCONT");
      return worstTimes;
    }
    case Fault.Leave: {
      const worstTimes = await measureWorst(() => deployment.daemon(last).signal("SIGTERM"));
      await deployment.killInstance(last);
      return worstTimes;
    }
    case Fault.Join:
      return await measureWorst(() => deployment.startInstance(last));
  }
}

async function runFaults(
  deployment: Deployment,
  faults: Fault[],
  options: ExperimentOptions,
): Promise<Row[]> {
  const samples = new Map<Fault, number[]>(faults.map((fault) => [fault, []]));
  const trials = Math.max(1, Math.round(TRIALS_PER_FAULT * options.scale));
  for (let trial = 0; trial < trials; trial++) {
    for (const fault of faults) {
      samples.get(fault)!.push(...await runFaultTrial(deployment, fault, options));
      await sleep(1_500);
      await deployment.waitUntilSettled(deployment.names[0]);
    }
  }
  return faults.map((fault) => toRow(fault, samples.get(fault)!));
}

function toRow(fault: Fault, samples: number[]): Row {
  const sorted = [...samples].sort((left, right) => left - right);
  const quantile = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
  return {
    name: fault,
    figures: {
      "keys moved": sorted.length,
      "median ms": quantile(0.5) ?? 0,
      "p99 ms": quantile(0.99) ?? 0,
      "worst ms": sorted.at(-1) ?? 0,
    },
  };
}

async function run(options: ExperimentOptions): Promise<Report> {
  const instances = despachoInstances(INSTANCES, { serviceMs: 1, slots: 32 });
  const deployment = await Deployment.start({ instances, recordsWork: false });
  try {
    await deployment.publish("despacho-1", benchConfiguration(64), 0);
    await deployment.waitUntilSettled("despacho-1");
    const planned = await runFaults(deployment, [Fault.Leave, Fault.Join], options);
    const losses = await runFaults(
      deployment,
      [Fault.Kill, Fault.SuspendDaemon, Fault.SuspendServer],
      options,
    );
    return toReport([...losses, ...planned]);
  } finally {
    await deployment.close();
  }
}

function toReport(rows: Row[]): Report {
  const lossGoals = rows.slice(0, 3).map(({ name, figures }) => ({
    what: `worst ms without an owner after ${name}`,
    measured: figures["worst ms"],
    atMost: LOSS_TARGET_MS,
  }));
  const plannedGoals = rows.slice(3).map(({ name, figures }) => ({
    what: `p99 ms without an owner in a ${name}`,
    measured: figures["p99 ms"],
    atMost: PLANNED_TARGET_MS,
  }));
  return {
    name: "unavailability",
    explanation: "The longest that a request for a key took around the fault, for each key that " +
      "changed its server; a lease is 1,000 ms. Times from the intended start of the request.",
    rows,
    goals: [...lossGoals, ...plannedGoals],
    plots: [{ title: "Worst time without an owner", column: "worst ms" }],
  };
}

/** Experiment that measures how long keys have no owner. */
export const unavailability: Experiment = {
  name: "unavailability",
  description: "time during which keys have no owner, for each kind of loss and for planned moves",
  run,
};
