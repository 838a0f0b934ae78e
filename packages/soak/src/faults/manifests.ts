/**
 * Faults by the operator: versions of the manifest, alone and in quick succession, and evacuations of data centres.
 */
import { now, type Random, sleep } from "@bulrushwood/types";
import type { Deployment } from "../deployment.ts";
import { BOUNDS } from "../machine.ts";
import { pick, pickNumber } from "../random.ts";
import type { Fault } from "./fault.ts";

const GAP_MS = 300;

/** Publishes the next version of the manifest. */
export async function publish(deployment: Deployment): Promise<void> {
  const version = await deployment.operator.publish();
  deployment.history.add(`manifest ${version}`);
}

async function publishInSeries(deployment: Deployment, random: Random): Promise<void> {
  for (let count = pickNumber(2, 5, random); count > 0; count--) {
    await publish(deployment);
    await sleep(random() * GAP_MS);
  }
}

/** Longest time of an evacuation beyond its bound, in milliseconds. */
const EVACUATED_MS_MAX = 4_000;

/** Evacuates the data centre of a random machine, one at a time, for longer than the bound. */
async function evacuate(deployment: Deployment, random: Random): Promise<void> {
  const { nodes, operator, history } = deployment;
  if (history.evacuations.some(({ until }) => until === Infinity)) {
    return;
  }
  const { dataCentre } = pick(nodes, random).machine.settings;
  const machines = nodes.map(({ machine }) => machine)
    .filter(({ settings }) => settings.dataCentre === dataCentre).map(({ name }) => name);
  const evacuation = { machines, from: Infinity, until: Infinity };
  history.evacuations.push(evacuation);
  await operator.evacuate(dataCentre, true);
  evacuation.from = now();
  const end = history.begin(`evacuation of ${dataCentre}`);
  await sleep(BOUNDS.evacuationMs + random() * EVACUATED_MS_MAX);
  evacuation.until = now();
  await operator.evacuate(dataCentre, false);
  end();
}

/** Faults by manifests. */
export const MANIFESTS: Fault[] = [
  { name: "manifest", weight: 2, play: publish },
  { name: "manifests-in-series", weight: 2, play: publishInSeries },
  { name: "evacuation", weight: 1, play: evacuate },
];
