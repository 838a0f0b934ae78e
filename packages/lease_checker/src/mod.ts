/**
 * A checker of the lease rules: random schedules over the code that the daemon runs.
 */
export {
  checkLeases,
  type CheckOptions,
  type CheckReport,
  RuleName,
  rulesWithout,
} from "./check.ts";
export { type RunReport, runSchedule, type Violation } from "./run.ts";
export { EventKind, type Schedule, type ScheduledEvent } from "./schedule.ts";
