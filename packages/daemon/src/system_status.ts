/**
 * Combines the statuses of all daemons and computes the three measures of the system: imbalance,
 * churn and unavailable time.
 */
import type { DaemonStatus, SystemStatus } from "@bulrushwood/admin";
import type { Ledger } from "@bulrushwood/ledger";

type ClassCount = SystemStatus["classes"][number];
type ByCause = SystemStatus["churn"][number];
type PoolStatus = SystemStatus["pools"][number];

/** Unevenness of a list of loads. */
export interface Spread {
  maxOverMean: number;
  /** Standard deviation over mean. */
  variation: number;
}

/** Computes how unevenly load is spread over servers; 1 and 0 without any load. */
export function measureSpread(loads: number[]): Spread {
  const total = loads.reduce((sum, load) => sum + load, 0);
  if (total === 0) {
    return { maxOverMean: 1, variation: 0 };
  }
  const mean = total / loads.length;
  const variance = loads.reduce((sum, load) => sum + (load - mean) ** 2, 0) /
    loads.length;
  return {
    maxOverMean: Math.max(...loads) / mean,
    variation: Math.sqrt(variance) / mean,
  };
}

/** Computes the status of the system from those of its daemons. */
export function summarise(
  ledger: Ledger,
  daemons: DaemonStatus[],
  options: { silent: string[] },
): SystemStatus {
  const claim = ledger.claim;
  const planner = claim === undefined ? "" : ledger.instances.get(claim.address)?.name ?? "";
  return {
    configurationVersion: ledger.configuration?.version ?? 0,
    publishedBy: ledger.configuration?.by ?? "",
    folded: ledger.appliedOffset,
    planner,
    daemons,
    silent: options.silent,
    pools: poolStatuses(ledger, daemons),
    classes: sumClasses(daemons),
    churn: [...ledger.churn].map((count) => ({ ...count })),
    unavailable: sumCauses(daemons.flatMap((daemon) => daemon.unavailable)),
  };
}

function poolStatuses(ledger: Ledger, daemons: DaemonStatus[]): PoolStatus[] {
  const pools = ledger.configuration?.configuration.pools ?? {};
  return Object.entries(pools).map(([pool, { keyed }]) => {
    const servers = daemons.filter((daemon) => daemon.server?.pool === pool);
    const table = keyed ? ledger.pools.get(pool) : undefined;
    const pending = [...ledger.pending.values()].filter((move) => move.pool === pool);
    return {
      pool,
      keyed,
      servers: servers.length,
      shards: table?.size ?? 0,
      unassigned: table?.shardsOf(0).length ?? 0,
      pendingMoves: pending.length,
      degraded: countDegraded(ledger, pool),
      ...measureSpread(servers.map((daemon) => daemon.served)),
    };
  });
}

/**
 * Counts the shards of groups with a member that is no longer trusted under the incarnation with
 * which the group names it.
 */
function countDegraded(ledger: Ledger, pool: string): number {
  let shards = 0;
  for (const group of ledger.groups.values()) {
    const isComplete = group.members.every(({ address, incarnation }) =>
      ledger.isTrusted(address, incarnation)
    );
    shards += group.pool === pool && !isComplete ? group.shards : 0;
  }
  return shards;
}

function sumClasses(daemons: DaemonStatus[]): ClassCount[] {
  const sums = new Map<string, ClassCount>();
  for (const count of daemons.flatMap((daemon) => daemon.classes)) {
    const sum = sums.get(count.workClass) ??
      {
        workClass: count.workClass,
        answered: 0,
        withinTarget: 0,
        notRun: 0,
        unknown: 0,
      };
    sum.answered += count.answered;
    sum.withinTarget += count.withinTarget;
    sum.notRun += count.notRun;
    sum.unknown += count.unknown;
    sums.set(count.workClass, sum);
  }
  return [...sums.values()].sort((left, right) => left.workClass < right.workClass ? -1 : 1);
}

function sumCauses(counts: ByCause[]): ByCause[] {
  const sums = new Map<string, ByCause>();
  for (const { pool, cause, amount } of counts) {
    const key = `${pool} ${cause}`;
    const sum = sums.get(key) ?? { pool, cause, amount: 0 };
    sum.amount += amount;
    sums.set(key, sum);
  }
  return [...sums.values()];
}
