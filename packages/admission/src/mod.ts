/**
 * Admission of requests to a backend server: class queues, deadlines, early refusal.
 */
export {
  Admission,
  type AdmissionOptions,
  type Applicant,
  type Slot,
  type WorkTarget,
} from "./admission.ts";
export { DeadlineQueue } from "./deadline_queue.ts";
export { AdmissionError, AdmissionErrorKind } from "./errors.ts";
export { type Entrant, Gate, type GateOptions } from "./gate.ts";
