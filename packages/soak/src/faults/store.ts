/**
 * Faults of the store: it comes back from a copy that lacks the last records which it had acknowledged. What the operator
 * wrote is written again.
 */
import { type Random, sleep } from "@bulrushwood/types";
import type { Deployment } from "../deployment.ts";
import type { Fault } from "./fault.ts";

/** Longest age of the copy when the store goes away, in milliseconds. */
const COPY_AGE_MS = 5_000;
/** Longest time for which the store is away, in milliseconds. */
const AWAY_MS = 1_000;

async function returnFromCopy(deployment: Deployment, random: Random): Promise<void> {
  const { store, history, outside } = deployment;
  const [ageMs, awayMs] = [random() * COPY_AGE_MS, random() * AWAY_MS];
  const copy = store.copy();
  await sleep(ageMs);
  const end = history.disrupt(`store comes back from a copy of ${Math.round(ageMs)} ms before`);
  store.isDown = true;
  await sleep(awayMs);
  store.restore(copy, { rewritten: [outside.manifestLocation.topic] });
  store.isDown = false;
  end();
}

/** Faults of the store. */
export const STORE: Fault[] = [
  { name: "return-from-copy", weight: 1, play: returnFromCopy },
];
