/**
 * The demonstration: both deployments in small, each with a changed target and the loss of a server
 * under load, and a table that compares what callers were told with what the servers ran.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseConfiguration } from "@bulrushwood/settings";
import { sleep } from "@bulrushwood/types";
import type { AuditReport } from "./audit.ts";
import { ToldKind } from "./caller.ts";
import { Deployment, type InstanceOptions } from "./deployment.ts";
import { Session } from "./session.ts";
import { Traffic, type TrafficKind } from "./traffic.ts";

const CALLERS = 12;
const PHASE_MS = 2_500;

/** One deployment of the demonstration. */
interface Scene {
  title: string;
  configuration: string;
  instances: InstanceOptions[];
  keys: string[];
  kinds: TrafficKind[];
  tenant: string;
  /** Class whose target is changed. */
  changedClass: string;
  /** Instance that is lost. */
  lost: string;
}

function namedKeys(name: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${name}-${index + 1}`);
}

const TAMBORIN: Scene = {
  title: "Tamborín Circular, sierra-norte",
  configuration: "examples/tamborin.jsonc",
  instances: [
    { name: "despacho-1", dataCentre: "carapungo", pool: "despacho", serviceMs: 3 },
    { name: "despacho-2", dataCentre: "calderon", pool: "despacho", serviceMs: 3 },
    { name: "despacho-3", dataCentre: "pomasqui", pool: "despacho", serviceMs: 3 },
    { name: "inspeccion-1", dataCentre: "carapungo", pool: "inspeccion", serviceMs: 5 },
    { name: "inspeccion-2", dataCentre: "pomasqui", pool: "inspeccion", serviceMs: 5 },
  ],
  keys: namedKeys("planta", 40),
  kinds: [
    {
      name: "quote",
      method: "GET",
      path: (key) => `/plants/${key}/quotes`,
      idempotent: true,
      bodyBytes: 0,
      weight: 6,
    },
    {
      name: "booking",
      method: "POST",
      path: (key) => `/plants/${key}/bookings`,
      idempotent: false,
      bodyBytes: 200,
      weight: 3,
    },
    {
      name: "photo",
      method: "PUT",
      path: (key) => `/photos/${key}`,
      idempotent: false,
      bodyBytes: 300_000,
      weight: 1,
    },
  ],
  tenant: "exportadora-quito",
  changedClass: "quoting",
  lost: "despacho-2",
};

const QUETZAL: Scene = {
  title: "Vestuarios Navideños Quetzal, region-centro",
  configuration: "examples/quetzal.jsonc",
  instances: [
    { name: "ventanilla-1", dataCentre: "centro-norte", pool: "ventanilla", slots: 9 },
    { name: "ventanilla-2", dataCentre: "centro-sur", pool: "ventanilla", slots: 9 },
    { name: "ventanilla-3", dataCentre: "centro-oeste", pool: "ventanilla", slots: 9 },
    { name: "almacen-1", dataCentre: "centro-norte", pool: "almacen", slots: 9 },
    { name: "almacen-2", dataCentre: "centro-sur", pool: "almacen", slots: 9 },
  ],
  keys: namedKeys("manto", 40),
  kinds: [
    {
      name: "availability",
      method: "GET",
      path: (key) => `/costumes/${key}/availability`,
      idempotent: true,
      bodyBytes: 0,
      weight: 5,
    },
    {
      name: "reservation",
      method: "POST",
      path: (key) => `/costumes/${key}/reservations`,
      idempotent: false,
      bodyBytes: 200,
      weight: 3,
    },
    {
      name: "stock",
      method: "GET",
      path: (key) => `/costumes/${key}/stock`,
      idempotent: true,
      bodyBytes: 0,
      weight: 2,
    },
    {
      name: "photo",
      method: "PUT",
      path: (key) => `/repairs/${key}`,
      idempotent: false,
      bodyBytes: 300_000,
      weight: 1,
    },
  ],
  tenant: "parroquia-antigua",
  changedClass: "availability",
  lost: "ventanilla-3",
};

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function changeTarget(configuration: string, workClass: string): unknown {
  const parsed = parseConfiguration(readFileSync(configuration, "utf8"), configuration);
  if (parsed.isErr) {
    throw parsed.error;
  }
  const changed = structuredClone(parsed.value);
  changed.classes[workClass].target.withinMs += 50;
  return changed;
}

function readConfiguration(path: string): unknown {
  const parsed = parseConfiguration(readFileSync(path, "utf8"), path);
  if (parsed.isErr) {
    throw parsed.error;
  }
  return parsed.value;
}

async function playScene(scene: Scene): Promise<boolean> {
  say(`\n${scene.title}`);
  const deployment = await Deployment.start({ instances: scene.instances });
  try {
    return await playOn(deployment, scene);
  } finally {
    await deployment.close();
  }
}

async function playOn(deployment: Deployment, scene: Scene): Promise<boolean> {
  const others = deployment.names.filter((name) => name !== scene.lost);
  const first = others[0];
  const version = await deployment.publish(first, readConfiguration(scene.configuration), 0);
  await deployment.settle(first);
  say(`  ${deployment.names.length} daemons are up, configuration ${version} is in force`);
  const session = new Session(deployment);
  const { kinds, keys, tenant } = scene;
  const random = Math.random;
  const traffic = new Traffic({
    session,
    kinds,
    keys,
    tenant,
    via: others,
    callers: CALLERS,
    random,
  });
  await sleep(PHASE_MS);
  await publishChange(deployment, scene, { via: first, expects: version });
  await sleep(PHASE_MS / 2);
  say(`  ${scene.lost} is killed, daemon and backend server, under load`);
  await deployment.killInstance(scene.lost);
  await sleep(PHASE_MS * 2);
  await traffic.close();
  await session.awaitRecords();
  showTold(session, traffic);
  await showMeasures(deployment, first);
  return showAudit(session.audit());
}

async function publishChange(
  deployment: Deployment,
  scene: Scene,
  options: { via: string; expects: number },
): Promise<void> {
  const startedAt = performance.now();
  const changed = changeTarget(scene.configuration, scene.changedClass);
  const version = await deployment.publish(options.via, changed, options.expects);
  const tookMs = Math.round(performance.now() - startedAt);
  say(
    `  the target of ${scene.changedClass} is changed: version ${version} is in force in all ` +
      `${deployment.names.length} daemons after ${tookMs} ms`,
  );
}

function showTold(session: Session, traffic: Traffic): void {
  say("  callers were told:");
  const counts = session.countTold();
  for (const kind of Object.values(ToldKind)) {
    say(`    ${kind.padEnd(10)} ${String(counts.get(kind) ?? 0).padStart(6)}`);
  }
  say(`    of these, sent again since they were not run: ${traffic.repeated}`);
}

async function showMeasures(deployment: Deployment, via: string): Promise<void> {
  const status = await deployment.status(via);
  for (const pool of status.pools) {
    say(`  imbalance of ${pool.pool}: max/mean ${pool.maxOverMean.toFixed(2)}`);
  }
  for (const { pool, cause, amount } of status.churn) {
    say(`  churn of ${pool} by ${cause}: ${amount} shards`);
  }
  for (const { pool, cause, amount } of status.unavailable) {
    say(`  unavailable time of ${pool} by ${cause}: ${(amount / 1_000).toFixed(2)} shard-seconds`);
  }
}

/** One thing that an audit looks for. */
interface Finding {
  what: string;
  found: string[];
}

function showAudit(report: AuditReport): boolean {
  const findings: Finding[] = [
    { what: "requests that may not be repeated and ran twice", found: report.ranTwice },
    { what: "requests told not-run that ran", found: report.falselyNotRun },
    { what: "keys served by two servers at once", found: report.sharedKeys },
    { what: "whole answers that went to another caller", found: report.wrongAnswers },
    { what: "answers without work", found: report.answeredNotRun },
  ];
  say(`  audit of ${report.requests} requests against ${report.works} pieces of work:`);
  for (const { what, found } of findings) {
    say(`    ${what.padEnd(50)} ${found.length}`);
    found.slice(0, 5).forEach((line) => say(`      ${line}`));
  }
  return findings.every(({ found }) => found.length === 0) && report.requests > 0;
}

async function main(): Promise<void> {
  const isSound = [await playScene(TAMBORIN), await playScene(QUETZAL)];
  const holds = isSound.every((sound) => sound);
  say(holds ? "\nThe audit holds" : "\nThe audit does not hold");
  process.exitCode = holds ? 0 : 1;
}

main().catch((error) => {
  process.stderr.write(`${(error as Error).stack}\n`);
  process.exitCode = 1;
});
