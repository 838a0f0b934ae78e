/**
 * Measures the cost of control: traffic between daemons, processor time and memory of each daemon without any requests,
 * at several numbers of daemons.
 */
import { readFileSync } from "node:fs";
import { request } from "node:http";
import { Deployment, despachoInstances } from "@bulrushwood/sessions";
import { sleep } from "@bulrushwood/types";
import { benchConfiguration } from "./bench_configuration.ts";
import type { Experiment, ExperimentOptions, Report, Row } from "./experiment.ts";

const DAEMON_COUNTS = [8, 32, 100];
const SHARDS = 4_096;
/** Time over which idle daemons are measured, in milliseconds. */
const OBSERVATION_MS = 10_000;
const BYTES_PER_KB = 1_000;
const BYTES_PER_MB = 1_000_000;

function fetchText(url: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const call = request(url, { agent: false });
    call.on("error", reject);
    call.on("response", async (response) => {
      let text = "";
      for await (const chunk of response) {
        text += chunk;
      }
      resolve(text);
    });
    call.end();
  });
}

/** Returns the value of a metric of a daemon; 0 when the daemon does not report it. */
async function readMetric(deployment: Deployment, name: string, metric: string): Promise<number> {
  const text = await fetchText(`http://${deployment.adminAddress(name)}/metrics`);
  const line = text.split("\n").find((one) => one.startsWith(`${metric} `));
  return Number(line?.split(" ")[1] ?? 0);
}

async function sumMetric(deployment: Deployment, metric: string): Promise<number> {
  const values = await Promise.all(
    deployment.names.map((name) => readMetric(deployment, name, metric)),
  );
  return values.reduce((sum, value) => sum + value, 0);
}

/** Returns the memory available on the machine, in bytes. */
function readAvailableMemoryBytes(): number {
  const line = readFileSync("/proc/meminfo", "utf8").split("\n").find((one) =>
    one.startsWith("MemAvailable")
  );
  return Number(line?.match(/\d+/)?.[0] ?? 0) * 1_024;
}

async function measureDeployment(count: number, options: ExperimentOptions): Promise<Row> {
  const instances = despachoInstances(count, { serviceMs: 1 });
  const deployment = await Deployment.start({
    instances,
    recordsWork: false,
    startConcurrency: 8,
    sharesBackends: true,
  });
  try {
    const entryInstance = deployment.names[0];
    const startedAt = performance.now();
    await deployment.publish(entryInstance, benchConfiguration(SHARDS), 0);
    await deployment.waitUntilSettled(entryInstance, { timeoutMs: 120_000 });
    const settledMs = performance.now() - startedAt;
    await sleep(3_000);
    return await observeIdleDaemons(deployment, { ...options, count, settledMs });
  } finally {
    await deployment.close();
  }
}

async function observeIdleDaemons(
  deployment: Deployment,
  options: ExperimentOptions & { count: number; settledMs: number },
): Promise<Row> {
  const { count, settledMs } = options;
  const daemons = deployment.names.map((name) => deployment.daemon(name));
  const metric = "bulrushwood_link_bytes";
  const bytesBefore = await sumMetric(deployment, metric);
  const cpuBefore = daemons.map((daemon) => daemon.cpuMs);
  const startedAt = performance.now();
  await sleep(OBSERVATION_MS * options.scale);
  const elapsedMs = performance.now() - startedAt;
  const cpuShares = daemons.map((daemon, index) => (daemon.cpuMs - cpuBefore[index]) / elapsedMs);
  const bytes = await sumMetric(deployment, metric) - bytesBefore;
  const memoryBytes = daemons.map((daemon) => daemon.memoryBytes);
  const links = await sumMetric(deployment, "bulrushwood_links");
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
  return {
    name: `${count} daemons`,
    figures: {
      daemons: count,
      "KB/s": bytes / count / (elapsedMs / 1_000) / BYTES_PER_KB,
      "links each": links / count,
      "% of a core": 100 * mean(cpuShares),
      "worst % of a core": 100 * Math.max(...cpuShares),
      "MB": mean(memoryBytes) / BYTES_PER_MB,
      "placed after ms": settledMs,
      "free GB": readAvailableMemoryBytes() / 1e9,
    },
  };
}

async function run(options: ExperimentOptions): Promise<Report> {
  const rows: Row[] = [];
  for (const count of DAEMON_COUNTS) {
    rows.push(await measureDeployment(count, options));
  }
  const largest = rows.at(-1)!.figures;
  return {
    name: "control",
    explanation: `Idle daemons with ${SHARDS} shards; bytes sent and received on links between ` +
      "daemons, processor time and resident memory of one daemon.",
    rows,
    goals: [
      { what: "KB/s of a daemon", measured: largest["KB/s"], atMost: 30 },
      { what: "% of a core of a daemon", measured: largest["% of a core"], atMost: 2.7 },
      { what: "MB of a daemon", measured: largest.MB, atMost: 256 },
    ],
    plots: [{ title: "Processor time of an idle daemon", column: "% of a core" }],
  };
}

/** Experiment that measures the cost of control. */
export const control: Experiment = {
  name: "control",
  description: "bytes, processor time and memory of idle daemons at 8, 32 and 100 daemons",
  run,
};
