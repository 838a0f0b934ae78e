/**
 * Runs whole deployments of real processes on loopback, makes them fail, and audits what happened.
 */
export { audit, type AuditReport } from "./audit.ts";
export { type CallerRequest, sendRequest, type Told, ToldKind } from "./caller.ts";
export { Deployment, type DeploymentOptions, type InstanceOptions } from "./deployment.ts";
export { Process } from "./process.ts";
export { Session, type Transcript } from "./session.ts";
export { despachos } from "./fixtures.ts";
