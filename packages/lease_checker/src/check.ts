/**
 * Runs random schedules and shrinks the first one in which two processes own a shard at the same time.
 */
import fc from "fast-check";
import { ALL_RULES, type Rules } from "@bulrushwood/lease";
import { runSchedule, type Violation } from "./schedule_run.ts";
import { type Schedule, scheduleArbitrary } from "./schedule.ts";

/** Rules that can be disabled; the values are their names on the command line. */
export enum RuleName {
  Floors = "floors",
  RestartWait = "restart-wait",
  SealCheck = "seal-check",
  DriftMargin = "drift-margin",
  LastStepCheck = "last-step-check",
}

const RULE_FIELDS: Record<RuleName, keyof Rules> = {
  [RuleName.Floors]: "floors",
  [RuleName.RestartWait]: "restartWait",
  [RuleName.SealCheck]: "sealCheck",
  [RuleName.DriftMargin]: "driftMargin",
  [RuleName.LastStepCheck]: "lastStepCheck",
};

/** Options of a check. */
export interface CheckOptions {
  /** Number of random schedules to run. */
  schedules: number;
  seed: number;
  /** Rule to disable; all rules are enabled without it. */
  without?: RuleName;
  /** Whether to shrink the first schedule with two owners; true by default. */
  shrinks?: boolean;
}

/** Result of a check. */
export interface CheckReport {
  /** Number of schedules that were run, not counting those run for shrinking. */
  runs: number;
  /** Number of orders sent to backend servers, over all runs. */
  orders: number;
  /** Smallest schedule found that leads to two owners. */
  schedule: Schedule | undefined;
  violation: Violation | undefined;
}

/** Returns the rules with one of them disabled. */
export function rulesWithout(without: RuleName | undefined): Rules {
  return without === undefined ? ALL_RULES : { ...ALL_RULES, [RULE_FIELDS[without]]: false };
}

/** Runs random schedules until one leads to two owners or all have run. */
export async function checkLeases(options: CheckOptions): Promise<CheckReport> {
  const rules = rulesWithout(options.without);
  let orders = 0;
  let violation: Violation | undefined;
  const property = fc.asyncProperty(scheduleArbitrary, async (schedule) => {
    const report = await runSchedule(schedule, rules);
    orders += report.orders;
    violation = report.violation ?? violation;
    return report.violation === undefined;
  });
  const result = await fc.check(property, {
    seed: options.seed,
    numRuns: options.schedules,
    endOnFailure: !(options.shrinks ?? true),
  });
  const schedule = result.counterexample?.[0];
  return { runs: result.numRuns, orders, schedule, violation: schedule && violation };
}
