/**
 * Runs a soak: a deployment under a seeded schedule of faults that overlap, and the checks of what was seen.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRandom, now, type Random, sleep } from "@bulrushwood/types";
import { checkRequests } from "./checks.ts";
import { Deployment } from "./deployment.ts";
import type { Fault } from "./faults/fault.ts";
import { type Finding, type History, Rule } from "./history.ts";
import type { Outside } from "./outside.ts";
import { BOUNDS } from "./machine.ts";
import { Ending, type SentRequest } from "./requests.ts";

/** Time before the first fault in which grants of keys reach the servers, in milliseconds. */
const SETTLE_MS = 1_500;
/** Shortest and longest time between two faults, in milliseconds. */
const GAP_MS = { least: 100, most: 1_000 };
/** Time without faults before the callers stop, in milliseconds. */
const CALM_MS = 2_000;
/** Longest time until the last requests have ended, in milliseconds. */
const LAST_REQUESTS_MS = 7_000;
const POLL_MS = 50;
/** Longest time in which keys may have no server once all daemons are stable, in milliseconds. */
const UNHELD_MS_MAX = 2_000;

/** Options of a soak. */
export interface SoakOptions {
  seed: number;
  /** Time in which faults start, in seconds. */
  seconds: number;
  daemons: number;
  /** Path of the binary. */
  binary: string;
  faults: Fault[];
  outside: Outside;
}

/** Fault at a time of the schedule. */
export interface Step {
  /** Time from the start of the schedule, in milliseconds. */
  atMs: number;
  fault: Fault;
  /** Seed of the fault's own random numbers. */
  seed: number;
}

/** Result of a soak. */
export interface SoakReport {
  seed: number;
  schedule: Step[];
  findings: Finding[];
  history: History;
  /** Number of requests by status, or by ending where there was no response. */
  endings: Map<string, number>;
  /** Daemons with the ends of their processes and their largest readings. */
  daemons: Pick<Deployment["nodes"][number]["daemon"], "name" | "ends" | "peak">[];
  /** Folder with the output of the daemons; undefined if nothing was found. */
  folder: string | undefined;
}

function pickFault(faults: Fault[], random: Random): Fault {
  let remaining = random() * faults.reduce((sum, { weight }) => sum + weight, 0);
  return faults.find(({ weight }) => (remaining -= weight) < 0) ?? faults[0];
}

/** Creates the schedule of a seed. */
export function createSchedule(
  options: Pick<SoakOptions, "seed" | "seconds" | "faults">,
): Step[] {
  const random = createRandom(options.seed);
  const steps: Step[] = [];
  const gap = () => GAP_MS.least + random() * (GAP_MS.most - GAP_MS.least);
  for (let atMs = gap(); atMs < options.seconds * 1_000; atMs += gap()) {
    const seed = Math.floor(random() * 2 ** 31);
    steps.push({ atMs, fault: pickFault(options.faults, random), seed });
  }
  return steps;
}

async function play(deployment: Deployment, schedule: Step[]): Promise<void> {
  const startedAt = now();
  const played: (Promise<void> | void)[] = [];
  for (const { atMs, fault, seed } of schedule) {
    await sleep(startedAt + atMs - now());
    deployment.history.add(`fault: ${fault.name}`);
    played.push(fault.play(deployment, createRandom(seed)));
  }
  await Promise.all(played);
}

async function waitForLastRequests(deployment: Deployment): Promise<void> {
  const until = now() + LAST_REQUESTS_MS;
  const isPending = ({ ending }: SentRequest) => ending === Ending.Pending;
  while (now() < until && deployment.requests.sent.some(isPending)) {
    await sleep(POLL_MS);
  }
}

/** Checks that all keys are held again once the faults have ended and all daemons are ready. */
async function checkHeldKeys(deployment: Deployment): Promise<void> {
  const until = now() + BOUNDS.stableWindowMs + UNHELD_MS_MAX;
  while (deployment.unheldKeys > 0 && now() < until) {
    await sleep(POLL_MS);
  }
  const { unheldKeys, history, names } = deployment;
  if (unheldKeys > 0) {
    history.report(Rule.Owner, names, `${unheldKeys} keys are held by no server`);
  }
}

async function checkReadiness({ nodes, history }: Deployment): Promise<void> {
  await Promise.all(nodes.map(async ({ daemon }) => {
    if (!await daemon.waitUntilReady()) {
      history.report(Rule.Fault, [daemon.name], "the daemon does not become ready");
    }
  }));
}

function countEndings(requests: SentRequest[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { ending, status } of requests) {
    const key = ending === Ending.Answered ? String(status) : ending;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return new Map([...counts].sort(([one], [other]) => one < other ? -1 : 1));
}

/** Plays a soak to its end, and resolves to what it found. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed } = options;
  const folder = mkdtempSync(join(tmpdir(), `bulrushwood-soak-${seed}-`));
  const schedule = createSchedule(options);
  const deployment = await Deployment.start({
    ...options,
    folder,
    hasProxies: options.faults.some((fault) => fault.needsProxies),
  });
  const { nodes, history, requests, operator } = deployment;
  try {
    await sleep(SETTLE_MS);
    nodes.forEach(({ callers }) => callers.start());
    await play(deployment, schedule);
    await sleep(CALM_MS);
    nodes.forEach(({ callers }) => callers.stop());
    await Promise.all([
      waitForLastRequests(deployment),
      checkReadiness(deployment).then(() => checkHeldKeys(deployment)),
    ]);
  } finally {
    await deployment.close();
  }
  const observed = { history, requests, versions: operator.versions };
  const findings = [...history.findings, ...checkRequests(observed)];
  if (findings.length === 0) {
    rmSync(folder, { recursive: true, force: true });
  }
  return {
    seed,
    schedule,
    findings: findings.sort((one, other) => one.at - other.at),
    history,
    endings: countEndings(requests.sent),
    daemons: nodes.map(({ daemon }) => daemon),
    folder: findings.length === 0 ? undefined : folder,
  };
}
