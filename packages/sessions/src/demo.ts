/**
 * Demonstration: runs both example deployments at small size. In each, a target changes and an instance is lost
 * under load; afterwards an audit compares the outcomes that callers saw with the work that servers recorded.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseConfiguration } from "@bulrushwood/settings";
import { sleep } from "@bulrushwood/types";
import type { AuditReport } from "./audit.ts";
import { CallerOutcomeKind } from "./caller.ts";
import { Deployment, type InstanceOptions } from "./deployment.ts";
import { Session } from "./session.ts";
import { Traffic, type TrafficKind } from "./traffic.ts";

const CALLERS = 12;
/** Length of one phase of the load, in milliseconds. */
const PHASE_MS = 2_500;

/** Deployment of the demonstration, with its load. */
interface Scenario {
  title: string;
  configuration: string;
  instances: InstanceOptions[];
  keys: string[];
  kinds: TrafficKind[];
  tenant: string;
  /** Work class whose target changes. */
  changedClass: string;
  /** Name of the instance that is killed. */
  lost: string;
}

function namedKeys(name: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${name}-${index + 1}`);
}

const TAMBORIN: Scenario = {
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

const QUETZAL: Scenario = {
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

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function readWithChangedTarget(configuration: string, workClass: string): unknown {
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

async function runScenario(scenario: Scenario): Promise<boolean> {
  print(`\n${scenario.title}`);
  const deployment = await Deployment.start({ instances: scenario.instances });
  try {
    return await runInDeployment(deployment, scenario);
  } finally {
    await deployment.close();
  }
}

async function runInDeployment(deployment: Deployment, scenario: Scenario): Promise<boolean> {
  const others = deployment.names.filter((name) => name !== scenario.lost);
  const first = others[0];
  const version = await deployment.publish(first, readConfiguration(scenario.configuration), 0);
  await deployment.waitUntilSettled(first);
  print(`  ${deployment.names.length} daemons are ready, configuration ${version} is in force`);
  const session = new Session(deployment);
  const { kinds, keys, tenant } = scenario;
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
  await publishChange(deployment, scenario, { via: first, expects: version });
  await sleep(PHASE_MS / 2);
  print(`  ${scenario.lost} is killed, daemon and backend server, under load`);
  await deployment.killInstance(scenario.lost);
  await sleep(PHASE_MS * 2);
  await traffic.close();
  await session.awaitRecords();
  printOutcomes(session, traffic);
  await printMetrics(deployment, first);
  return printAudit(session.audit());
}

async function publishChange(
  deployment: Deployment,
  scenario: Scenario,
  options: { via: string; expects: number },
): Promise<void> {
  const startedAt = performance.now();
  const changed = readWithChangedTarget(scenario.configuration, scenario.changedClass);
  const version = await deployment.publish(options.via, changed, options.expects);
  const tookMs = Math.round(performance.now() - startedAt);
  print(
    `  the target of ${scenario.changedClass} is changed: version ${version} is in force in all ` +
      `${deployment.names.length} daemons after ${tookMs} ms`,
  );
}

function printOutcomes(session: Session, traffic: Traffic): void {
  print("  outcomes that callers saw:");
  const counts = session.countOutcomes();
  for (const kind of Object.values(CallerOutcomeKind)) {
    print(`    ${kind.padEnd(10)} ${String(counts.get(kind) ?? 0).padStart(6)}`);
  }
  print(`    of these, retried since they were not run: ${traffic.retries}`);
}

async function printMetrics(deployment: Deployment, via: string): Promise<void> {
  const status = await deployment.status(via);
  for (const pool of status.pools) {
    print(`  imbalance of ${pool.pool}: max/mean ${pool.maxOverMean.toFixed(2)}`);
  }
  for (const { pool, cause, amount } of status.churn) {
    print(`  churn of ${pool} by ${cause}: ${amount} shards`);
  }
  for (const { pool, cause, amount } of status.unavailable) {
    print(
      `  unavailable time of ${pool} by ${cause}: ${(amount / 1_000).toFixed(2)} shard-seconds`,
    );
  }
}

/** Kind of fault that an audit looks for, with the requests or keys found. */
interface Finding {
  what: string;
  found: string[];
}

function printAudit(report: AuditReport): boolean {
  const findings: Finding[] = [
    { what: "non-idempotent requests that ran twice", found: report.ranTwice },
    { what: "requests that ran despite the outcome not-run", found: report.falselyNotRun },
    { what: "keys served by two servers at the same time", found: report.sharedKeys },
    { what: "complete responses to another request", found: report.wrongAnswers },
    { what: "responses without work", found: report.answeredNotRun },
  ];
  print(`  audit of ${report.requests} requests against ${report.works} pieces of work:`);
  for (const { what, found } of findings) {
    print(`    ${what.padEnd(50)} ${found.length}`);
    found.slice(0, 5).forEach((line) => print(`      ${line}`));
  }
  return findings.every(({ found }) => found.length === 0) && report.requests > 0;
}

async function main(): Promise<void> {
  const results = [await runScenario(TAMBORIN), await runScenario(QUETZAL)];
  const passed = results.every((passed) => passed);
  print(passed ? "\nThe audit found no faults" : "\nThe audit found faults");
  process.exitCode = passed ? 0 : 1;
}

main().catch((error) => {
  process.stderr.write(`${(error as Error).stack}\n`);
  process.exitCode = 1;
});
