/**
 * How long keys have no owner: after a kill, a freeze, a planned move and a graceful leave, seen by callers
 * that ask for each key many times a second.
 */
import { Deployment, despachoInstances } from "@bulrushwood/sessions";
import { sleep } from "@bulrushwood/types";
import { benchConfiguration } from "./deployments.ts";
import type { Experiment, ExperimentOptions, Report, Row } from "./experiment.ts";
import { applyLoad, type LoadRequest } from "./open_loop.ts";

const INSTANCES = 5;
const KEYS = 16;
const RATE = 800;
const TRIALS = 20;
/** From the fault to the end of a trial's load, in milliseconds. */
const WINDOW_MS = 4_000;
const BEFORE_MS = 500;
const LOSS_TARGET_MS = 2_000;
const PLANNED_TARGET_MS = 50;

/** What happens in the middle of a trial. */
enum Fault {
  Kill = "kill -9 of an instance",
  Freeze = "SIGSTOP of a daemon",
  FreezeServer = "SIGSTOP of a backend server",
  Join = "planned move to a new instance",
  Leave = "graceful leave",
}

interface KeyTrial {
  key: string;
  /** Longest time that a request for the key took, in milliseconds. */
  worstMs: number;
  owners: Set<string>;
}

async function ownersOf(deployment: Deployment, via: string): Promise<Map<string, string>> {
  const owners = new Map<string, string>();
  for (let index = 0; index < KEYS; index++) {
    const key = `planta-${index}`;
    const explained = await deployment.admin(via).explain("despacho", key);
    if (explained.isOk) {
      owners.set(key, explained.value.owner);
    }
  }
  return owners;
}

function nextRequest(deployment: Deployment, via: string[]): () => LoadRequest {
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

/** Runs load around a fault; gives the worst time for each key whose owner the fault took. */
async function runTrial(
  deployment: Deployment,
  options: ExperimentOptions & { via: string[]; fault: () => Promise<void> | void },
): Promise<KeyTrial[]> {
  const trials = new Map<string, KeyTrial>();
  const load = applyLoad({
    rate: RATE,
    durationMs: BEFORE_MS + WINDOW_MS,
    next: nextRequest(deployment, options.via),
    random: options.random,
    onTold: ({ workClass: key }, told, latencyMs) => {
      const trial = trials.get(key) ?? { key, worstMs: 0, owners: new Set() };
      trial.worstMs = Math.max(trial.worstMs, latencyMs);
      trial.owners.add(serverOf(told.body));
      trials.set(key, trial);
    },
  });
  await sleep(BEFORE_MS);
  await options.fault();
  await load;
  return [...trials.values()].filter((trial) => trial.owners.size > 1);
}

function serverOf(body: string): string {
  try {
    return String(JSON.parse(body).host);
  } catch {
    return "";
  }
}

/** Chooses the instance that owns most of the keys, other than those that callers use. */
function chooseVictim(owners: Map<string, string>, spared: string[]): string {
  const counts = new Map<string, number>();
  for (const owner of owners.values()) {
    if (!spared.includes(owner)) {
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
  }
  return [...counts].sort((left, right) => right[1] - left[1])[0][0];
}

async function trialOf(
  deployment: Deployment,
  fault: Fault,
  options: ExperimentOptions,
): Promise<number[]> {
  const via = deployment.names.slice(0, 2);
  const last = deployment.names.at(-1)!;
  const run = async (act: () => Promise<void> | void) =>
    (await runTrial(deployment, { ...options, via, fault: act })).map((trial) => trial.worstMs);
  const victim = chooseVictim(await ownersOf(deployment, via[0]), via);
  switch (fault) {
    case Fault.Kill: {
      const worst = await run(() => deployment.killInstance(victim));
      await deployment.startInstance(victim);
      return worst;
    }
    case Fault.Freeze: {
      const worst = await run(() => deployment.daemon(victim).signal("SIGSTOP"));
      deployment.daemon(victim).signal("SIGCONT");
      return worst;
    }
    case Fault.FreezeServer: {
      const worst = await run(() => deployment.backend(victim).signal("SIGSTOP"));
      deployment.backend(victim).signal("SIGCONT");
      return worst;
    }
    case Fault.Leave: {
      const worst = await run(() => deployment.daemon(last).signal("SIGTERM"));
      await deployment.killInstance(last);
      return worst;
    }
    case Fault.Join:
      return await run(() => deployment.startInstance(last));
  }
}

async function runFaults(
  deployment: Deployment,
  faults: Fault[],
  options: ExperimentOptions,
): Promise<Row[]> {
  const samples = new Map<Fault, number[]>(faults.map((fault) => [fault, []]));
  const trials = Math.max(1, Math.round(TRIALS * options.scale));
  for (let trial = 0; trial < trials; trial++) {
    for (const fault of faults) {
      samples.get(fault)!.push(...await trialOf(deployment, fault, options));
      await sleep(1_500);
      await deployment.waitUntilSettled(deployment.names[0]);
    }
  }
  return faults.map((fault) => toRow(fault, samples.get(fault)!));
}

function toRow(fault: Fault, samples: number[]): Row {
  const sorted = [...samples].sort((left, right) => left - right);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
  return {
    name: fault,
    figures: {
      "keys moved": sorted.length,
      "median ms": at(0.5) ?? 0,
      "p99 ms": at(0.99) ?? 0,
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
      [Fault.Kill, Fault.Freeze, Fault.FreezeServer],
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

/** How long keys have no owner. */
export const unavailability: Experiment = {
  name: "unavailability",
  describes: "time during which keys have no owner, for each kind of loss and for planned moves",
  run,
};
