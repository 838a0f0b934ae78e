/**
 * The HTTP protocol of the administration API: paths, and schemas of request and response bodies. The command
 * line and other programs share it.
 */
import { z } from "zod";

/** Paths of the administration API. */
export enum AdminPath {
  Health = "/healthz",
  Ready = "/readyz",
  Metrics = "/metrics",
  Status = "/v1/status",
  Configuration = "/v1/configuration",
  VersionsInForce = "/v1/force",
  Explain = "/v1/explain",
  Drain = "/v1/drain",
  Lost = "/v1/lost",
}

/** Body of a request to publish a configuration. */
export const publicationSchema = z.strictObject({
  /** Version that the configuration replaces; 0 for the first. */
  expects: z.number().int().nonnegative(),
  /** Who publishes. */
  by: z.string().min(1).max(100),
  configuration: z.unknown(),
});
export type Publication = z.infer<typeof publicationSchema>;

/** Response to an accepted publication. */
export const acceptedPublicationSchema = z.object({
  version: z.number(),
  /** Log offset of the publication. */
  offset: z.number(),
});
export type AcceptedPublication = z.infer<typeof acceptedPublicationSchema>;

/** Body of a request that names an instance. */
export const instanceRequestSchema = z.strictObject({
  /** Name or peer address of the instance. */
  instance: z.string().min(1),
  /** Who sends the request. */
  by: z.string().min(1).max(100).default("operator"),
});
export type InstanceRequest = z.infer<typeof instanceRequestSchema>;

/** Requests of one class of work, by outcome. */
const classCount = z.object({
  workClass: z.string(),
  answered: z.number(),
  withinTarget: z.number(),
  notRun: z.number(),
  unknown: z.number(),
});

/** Churn, or time without an owner, of one pool for one cause. */
const byCause = z.object({
  pool: z.string(),
  cause: z.string(),
  /** Number of shards for churn, shard-milliseconds for time without an owner. */
  amount: z.number(),
});

const serverStatus = z.object({
  pool: z.string(),
  slots: z.number(),
  running: z.number(),
  waiting: z.number(),
  limit: z.number(),
  draining: z.boolean(),
  checksGrants: z.boolean(),
});

/** Lease group of which a daemon is holder or successor. */
const leaseStatus = z.object({
  group: z.number(),
  /** 0 as holder, 1 as successor. */
  step: z.number(),
  /** Step that the daemon supports as a voter. */
  voterStep: z.number(),
  /** Remaining time of the lease, in milliseconds; 0 when it is not held. */
  heldMs: z.number(),
  inFlight: z.number(),
  isClosing: z.boolean(),
  shards: z.number(),
});

/** State of one daemon. */
export const daemonStatusSchema = z.object({
  instance: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  incarnation: z.number(),
  presence: z.string(),
  folded: z.number(),
  logReachable: z.boolean(),
  configurationVersion: z.number(),
  isPlanner: z.boolean(),
  groupsHeld: z.number(),
  shardsHeld: z.number(),
  inFlight: z.number(),
  leases: z.array(leaseStatus),
  server: serverStatus.nullable(),
  /** Requests to which the backend server beside this daemon responded, since the daemon started. */
  served: z.number(),
  classes: z.array(classCount),
  /** Shard-milliseconds without an owner, ended by this daemon, by cause. */
  unavailable: z.array(byCause),
});
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;

const poolStatus = z.object({
  pool: z.string(),
  keyed: z.boolean(),
  servers: z.number(),
  shards: z.number(),
  unassigned: z.number(),
  pendingMoves: z.number(),
  /** Shards whose lease group has a member that is not running; one more loss may make them unavailable. */
  degraded: z.number(),
  /** Highest load of any server of the pool, divided by the mean. */
  maxOverMean: z.number(),
  /** Coefficient of variation of the load of the pool's servers. */
  variation: z.number(),
});

/** State of the whole system, collected by one daemon. */
export const systemStatusSchema = z.object({
  configurationVersion: z.number(),
  publishedBy: z.string(),
  folded: z.number(),
  planner: z.string(),
  daemons: z.array(daemonStatusSchema),
  /** Names of active instances whose daemon did not respond. */
  silent: z.array(z.string()),
  pools: z.array(poolStatus),
  classes: z.array(classCount),
  /** Shards that changed their owner since the start of the log, by cause. */
  churn: z.array(byCause),
  unavailable: z.array(byCause),
});
export type SystemStatus = z.infer<typeof systemStatusSchema>;

/** Configuration version in force at each daemon; -1 when it did not respond. */
export const versionsInForceSchema = z.object({
  version: z.number(),
  daemons: z.array(z.object({ instance: z.string(), version: z.number() })),
});
export type VersionsInForce = z.infer<typeof versionsInForceSchema>;

/** Owner of a key, and the decisions that led to it. */
export const explanationSchema = z.object({
  pool: z.string(),
  key: z.string(),
  shard: z.number(),
  group: z.number(),
  /** Name of the instance, as in the next two fields. */
  owner: z.string(),
  successor: z.string(),
  witness: z.string(),
  step: z.number(),
  /** Log offset of the record that assigned the shard to the group. */
  since: z.number(),
  /** Earlier groups that are not sealed yet. */
  sealing: z.array(z.number()),
  why: z.string(),
});
export type Explanation = z.infer<typeof explanationSchema>;

/** Body of an error response. */
export const errorSchema = z.object({
  error: z.string(),
  faults: z.array(z.string()).default([]),
});
export type ErrorDocument = z.infer<typeof errorSchema>;
