/**
 * The wire of the administration API: its paths, and the shapes of what it takes and gives. The command
 * line and other programs use the same.
 */
import { z } from "zod";

/** Paths of the administration API. */
export enum AdminPath {
  Health = "/healthz",
  Ready = "/readyz",
  Metrics = "/metrics",
  Status = "/v1/status",
  Configuration = "/v1/configuration",
  Force = "/v1/force",
  Explain = "/v1/explain",
  Drain = "/v1/drain",
  Lost = "/v1/lost",
}

/** Body of a request to publish a configuration. */
export const publicationSchema = z.strictObject({
  /** The version that the configuration builds on; 0 for the first. */
  expects: z.number().int().nonnegative(),
  /** Who publishes. */
  by: z.string().min(1).max(100),
  configuration: z.unknown(),
});
export type Publication = z.infer<typeof publicationSchema>;

/** Answer to an accepted publication. */
export const acceptedSchema = z.object({
  version: z.number(),
  offset: z.number(),
});
export type Accepted = z.infer<typeof acceptedSchema>;

/** Body of a request that names an instance. */
export const instanceRequestSchema = z.strictObject({
  /** Name or peer address of the instance. */
  instance: z.string().min(1),
  by: z.string().min(1).max(100).default("operator"),
});
export type InstanceRequest = z.infer<typeof instanceRequestSchema>;

const classCount = z.object({
  workClass: z.string(),
  answered: z.number(),
  withinTarget: z.number(),
  notRun: z.number(),
  unknown: z.number(),
});

/** Churn or time without an owner, by cause. */
const byCause = z.object({
  pool: z.string(),
  cause: z.string(),
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

/** One lease group that a daemon is holder or successor of. */
const leaseStatus = z.object({
  group: z.number(),
  /** 0 as holder, 1 as successor. */
  step: z.number(),
  /** The step that the daemon's own vote supports. */
  voterStep: z.number(),
  /** How long the lease still runs, in milliseconds; 0 when it is not held. */
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
  /** Requests answered by the backend server beside this daemon, since it started. */
  served: z.number(),
  classes: z.array(classCount),
  /** Shard-milliseconds without an owner that this daemon ended, by cause. */
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
  /** Shards whose lease group has a member that does not run: another loss may make them wait. */
  degraded: z.number(),
  /** Load over the pool's servers: the highest over the mean, and the coefficient of variation. */
  maxOverMean: z.number(),
  variation: z.number(),
});

/** State of the system as one daemon gathers it. */
export const systemStatusSchema = z.object({
  configurationVersion: z.number(),
  publishedBy: z.string(),
  folded: z.number(),
  planner: z.string(),
  daemons: z.array(daemonStatusSchema),
  /** Daemons that take part but did not answer. */
  silent: z.array(z.string()),
  pools: z.array(poolStatus),
  classes: z.array(classCount),
  /** Shards that changed their owner since the log began, by cause. */
  churn: z.array(byCause),
  unavailable: z.array(byCause),
});
export type SystemStatus = z.infer<typeof systemStatusSchema>;

/** Which configuration version each daemon has in force. */
export const forceSchema = z.object({
  version: z.number(),
  daemons: z.array(z.object({ instance: z.string(), version: z.number() })),
});
export type Force = z.infer<typeof forceSchema>;

/** Why a key is where it is. */
export const explanationSchema = z.object({
  pool: z.string(),
  key: z.string(),
  shard: z.number(),
  group: z.number(),
  /** Instances by name. */
  owner: z.string(),
  successor: z.string(),
  witness: z.string(),
  step: z.number(),
  /** Offset of the record that gave the shard to the group. */
  since: z.number(),
  /** Earlier groups that are not sealed yet. */
  sealing: z.array(z.number()),
  why: z.string(),
});
export type Explanation = z.infer<typeof explanationSchema>;

/** Body of an error answer. */
export const errorSchema = z.object({
  error: z.string(),
  faults: z.array(z.string()).default([]),
});
export type ErrorDocument = z.infer<typeof errorSchema>;
