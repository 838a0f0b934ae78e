/**
 * Admission of requests: priority queues, deadlines and early rejection at a backend server, and what a daemon still
 * accepts that stops or lacks processor time.
 */
export {
  Admission,
  type AdmissionOptions,
  type AdmissionRequest,
  type Slot,
  type WorkTarget,
} from "./admission.ts";
export { bodyLimits, BodyMemory, type BodyMemoryOptions, RequestMemory } from "./body_memory.ts";
export { DeadlineQueue } from "./deadline_queue.ts";
export { AdmissionError, AdmissionErrorKind } from "./errors.ts";
export { Gate, type GateOptions, type GateRequest } from "./gate.ts";
export { LoadShedder, type LoadShedderOptions, urgencyRank } from "./load_shedder.ts";
export { Quarantine, type ServerEnd, type SuspectRun } from "./quarantine.ts";
export { agedSlowness, Slowness } from "./slowness.ts";
export { RequestCosts, type RequestTraits } from "./request_costs.ts";
export { type RunningWork, startInMs } from "./work_left.ts";
export { StartRate, type StartRateOptions } from "./start_rate.ts";
export { TimelyLimit } from "./timely_limit.ts";
export { WorkTail } from "./work_tail.ts";
export { Shutdown, type ShutdownOptions } from "./shutdown.ts";
