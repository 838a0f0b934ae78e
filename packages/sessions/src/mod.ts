/**
 * Runs deployments of real processes on loopback, injects failures, and audits the outcomes of requests.
 */
export { audit, type AuditReport } from "./audit.ts";
export {
  type CallerOutcome,
  CallerOutcomeKind,
  type CallerRequest,
  sendRequest,
} from "./caller.ts";
export { Deployment, type DeploymentOptions, type InstanceOptions } from "./deployment.ts";
export { Process } from "./process.ts";
export { Session, type Transcript } from "./session.ts";
export { despachoInstances } from "./fixtures.ts";
