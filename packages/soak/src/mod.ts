/**
 * Fault soak: plays seeded schedules of faults against real processes of the binary.
 */
export { chooseFaults, FAULTS } from "./faults/mod.ts";
export type { Fault } from "./faults/fault.ts";
export type { Outside, ReceivedRequest, ReportCall, SentResponse, ServerOrder } from "./outside.ts";
export { formatReport } from "./report.ts";
export { runSoak, type SoakOptions, type SoakReport } from "./soak.ts";
