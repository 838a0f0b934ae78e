/**
 * Faults by the operator: versions of the manifest, alone and in quick succession.
 */
import { type Random, sleep } from "@bulrushwood/types";
import type { Deployment } from "../deployment.ts";
import { pickNumber } from "../random.ts";
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

/** Faults by manifests. */
export const MANIFESTS: Fault[] = [
  { name: "manifest", weight: 2, play: publish },
  { name: "manifests-in-series", weight: 2, play: publishInSeries },
];
