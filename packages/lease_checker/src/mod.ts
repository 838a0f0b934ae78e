/**
 * Checker of the lease rules: runs the daemon's own lease code in random schedules of faults.
 */
export {
  checkLeases,
  type CheckOptions,
  type CheckReport,
  RuleName,
  rulesWithout,
} from "./check.ts";
export { type RunReport, runSchedule, type Violation } from "./schedule_run.ts";
export { EventKind, type Schedule, type ScheduledEvent } from "./schedule.ts";
