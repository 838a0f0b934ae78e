/**
 * The command `status`: shows all daemons, pools and classes, with imbalance, churn and unavailability.
 */
import { AdminClient, type SystemStatus } from "@bulrushwood/admin";
import { type CommonOptions, formatTable, writeAdminError, writeResult } from "./output.ts";

const MS_PER_SECOND = 1_000;

/** Fetches and shows the state of the system. */
export async function runStatus(options: CommonOptions): Promise<void> {
  const status = await new AdminClient(options.admin).status();
  if (status.isErr) {
    writeAdminError(status.error, options);
    return;
  }
  writeResult(status.value, { json: options.json, format: formatStatus });
}

/** Formats the state of the system as tables. */
export function formatStatus(status: SystemStatus): string {
  const { configurationVersion, publishedBy, planner, folded, silent } = status;
  const by = publishedBy === "" ? "" : ` by ${publishedBy}`;
  const parts = [
    `configuration ${configurationVersion}${by}; planner ${
      planner || "none"
    }; log offset ${folded}`,
    formatDaemons(status),
    formatPools(status),
    formatClasses(status),
    formatChurnAndUnavailability(status),
  ];
  if (silent.length > 0) {
    parts.push(`no response from: ${silent.join(", ")}`);
  }
  return parts.filter((part) => part !== "").join("\n\n");
}

function formatDaemons(status: SystemStatus): string {
  const headings = [
    "instance",
    "data centre",
    "presence",
    "pool",
    "groups",
    "shards",
    "served",
    "log",
  ];
  const rows = status.daemons.map((daemon) => [
    daemon.instance,
    daemon.dataCentre,
    daemon.presence,
    daemon.server?.pool ?? "-",
    daemon.groupsHeld,
    daemon.shardsHeld,
    daemon.served,
    daemon.logReachable ? "reachable" : "not reachable",
  ]);
  return formatTable(headings, rows);
}

function formatPools(status: SystemStatus): string {
  if (status.pools.length === 0) {
    return "";
  }
  const headings = [
    "pool",
    "servers",
    "shards",
    "unassigned",
    "degraded",
    "moving",
    "max/mean",
    "variation",
  ];
  const rows = status.pools.map((pool) => [
    pool.pool,
    pool.servers,
    pool.keyed ? pool.shards : "-",
    pool.keyed ? pool.unassigned : "-",
    pool.keyed ? pool.degraded : "-",
    pool.pendingMoves,
    pool.maxOverMean.toFixed(2),
    pool.variation.toFixed(2),
  ]);
  return formatTable(headings, rows);
}

function formatClasses(status: SystemStatus): string {
  if (status.classes.length === 0) {
    return "";
  }
  const headings = ["class", "answered", "within target", "not run", "unknown"];
  const rows = status.classes.map((count) => [
    count.workClass,
    count.answered,
    count.answered === 0 ? "-" : `${(100 * count.withinTarget / count.answered).toFixed(1)}%`,
    count.notRun,
    count.unknown,
  ]);
  return formatTable(headings, rows);
}

function formatChurnAndUnavailability(status: SystemStatus): string {
  const churn = status.churn.map((count) =>
    `churn ${count.pool} by ${count.cause}: ${count.amount} shards`
  );
  const unavailable = status.unavailable.map((count) => {
    const seconds = (count.amount / MS_PER_SECOND).toFixed(2);
    return `unavailable ${count.pool} by ${count.cause}: ${seconds} shard-seconds`;
  });
  return [...churn, ...unavailable].join("\n");
}
