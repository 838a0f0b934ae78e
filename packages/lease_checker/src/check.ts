/**
 * Runs many random schedules and shrinks the first one in which two processes own a shard at once.
 */
import fc from "fast-check";
import { ALL_RULES, type Rules } from "@bulrushwood/lease";
import { runSchedule, type Violation } from "./run.ts";
import { type Schedule, schedules } from "./schedule.ts";

/** The rules that can be taken out, by their names on the command line. */
export enum RuleName {
  Floors = "floors",
  RestartWait = "restart-wait",
  SealCheck = "seal-check",
  DriftMargin = "drift-margin",
  LastStepCheck = "last-step-check",
}

const FIELD_OF_RULE: Record<RuleName, keyof Rules> = {
  [RuleName.Floors]: "floors",
  [RuleName.RestartWait]: "restartWait",
  [RuleName.SealCheck]: "sealCheck",
  [RuleName.DriftMargin]: "driftMargin",
  [RuleName.LastStepCheck]: "lastStepCheck",
};

/** What to check. */
export interface CheckOptions {
  schedules: number;
  seed: number;
  /** Rule to take out. */
  without?: RuleName;
  /** Whether to look for a smaller schedule once one is found. */
  shrinks?: boolean;
}

/** What a check found. */
export interface CheckReport {
  /** Schedules that were run, without those of shrinking. */
  runs: number;
  /** Orders that were sent to backend servers in all runs. */
  orders: number;
  /** The smallest schedule found with two owners. */
  schedule: Schedule | undefined;
  violation: Violation | undefined;
}

/** All rules, but for one. */
export function rulesWithout(without: RuleName | undefined): Rules {
  return without === undefined ? ALL_RULES : { ...ALL_RULES, [FIELD_OF_RULE[without]]: false };
}

/** Runs schedules until two owners are found or all are run. */
export async function checkLeases(options: CheckOptions): Promise<CheckReport> {
  const rules = rulesWithout(options.without);
  let orders = 0;
  let violation: Violation | undefined;
  const property = fc.asyncProperty(schedules, async (schedule) => {
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
