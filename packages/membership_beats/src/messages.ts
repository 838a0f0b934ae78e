/**
 * Messages between daemons about membership: heartbeats several times a second, and requests to seal a tenure.
 */
import { z } from "zod";
import { ServerState } from "@bulrushwood/deployment";
import { hostSchema } from "@bulrushwood/ledger_store";

/** Longest time for which a vote may be requested, in milliseconds. */
const SUPPORT_MS_MAX = 60_000;

const keySpanSchema = z.object({ first: z.number().int(), last: z.number().int() });

/** Schema of the load of one backend server. */
export const serverLoadSchema = z.object({
  /** Requests that arrived for the server, per second. */
  rate: z.number(),
  /** Mean time from sending a request to its response, in milliseconds; 0 before the first. */
  serviceMs: z.number(),
  /** Time within which nearly all requests of the server's own work end, in milliseconds; left out before the first. */
  workMs: z.number().nonnegative().optional(),
  running: z.number(),
  waiting: z.number(),
  /** Time until the server could begin one more request, in milliseconds; left out where costs are not estimated. */
  startInMs: z.number().nonnegative().optional(),
  /** How much longer than usual work took when the load was measured; left out where the server does not say. */
  slowness: z.number().positive().optional(),
  /** The server's own keys, as spans of about equal load with the requests per second for each. */
  pieces: z.array(keySpanSchema.extend({ rate: z.number() })).max(400),
});

/** Schema of the status of a backend server, as its daemon reports it. */
export const serverStatusSchema = z.object({
  id: z.string(),
  bornMs: z.number(),
  slots: z.number(),
  /** Requests a second that the server accepts; left out where it named no limit recently. */
  requestsPerSecond: z.number().nonnegative().optional(),
  state: z.enum(ServerState),
  /** Whether the server started recently and is still slow. */
  isCold: z.boolean(),
  /** Whether the daemon can reach the server. */
  isReachable: z.boolean(),
  load: serverLoadSchema,
});

/** Schema of the status that a daemon reports of itself. */
export const daemonStatusSchema = z.object({
  address: z.string(),
  incarnation: z.string(),
  service: z.string(),
  dataCentre: z.string(),
  /** Whether the daemon is shutting down, so that it gets no keys and no duties. */
  isLeaving: z.boolean(),
  /** Whether its server takes requests; a daemon that is shutting down goes on for a while. */
  isServing: z.boolean(),
  /** Whether the daemon accepts new callers in time. */
  acceptsCallers: z.boolean(),
  /** Whether the daemon reaches the store directly, not through peers. */
  hasStore: z.boolean(),
  /** The backend server beside the daemon; null where there is none. */
  server: serverStatusSchema.nullable(),
});

/** Schema of a daemon's status as another daemon passes it on. */
export const statusUpdateSchema = daemonStatusSchema.extend({
  /** Time since the status was received from the daemon itself, in milliseconds. */
  ageMs: z.number().nonnegative(),
});

/** Schema of an entry in the ownership table that a daemon asks the planner to write. */
export const ownershipEntrySchema = z.object({
  host: hostSchema,
  /** Tenure that the table must have for the daemon, or null for none; otherwise the entry is outdated. */
  replaces: z.string().nullable(),
});

/** Schema of a heartbeat. */
export const heartbeatSchema = daemonStatusSchema.extend({
  /** Tenures that the receiver is asked to support. */
  tenures: z.array(z.string()),
  /** How long the votes should last, in milliseconds; left out by daemons that always request the same. */
  supportMs: z.number().positive().max(SUPPORT_MS_MAX).optional(),
  /** Offset after the last record that the sender has, for each topic that daemons follow. */
  storeEnds: z.array(z.number()),
  /** Entry that the receiver should write into the ownership table, or null for none. */
  entry: ownershipEntrySchema.nullable(),
  /**
   * Whether the reply should include the receiver's status. Set by senders that do not receive heartbeats
   * from all daemons.
   */
  wantsStatus: z.boolean(),
  /** Whether the reply should also include the status of all servers that the receiver hears from itself. */
  wantsNews: z.boolean(),
  /** Services whose servers this is about; left out by daemons that ask for the receiver's own. */
  newsOf: z.array(z.string()).optional(),
});

/** Schema of the reply to a heartbeat. */
export const heartbeatReplySchema = z.object({
  incarnation: z.string(),
  /** Tenures that the replying daemon supports. */
  supported: z.array(z.string()),
  /** How long these votes last, in milliseconds; left out by daemons whose votes all last the same. */
  supportMs: z.number().positive().optional(),
  storeEnds: z.array(z.number()),
  /** Status of the replying daemon and of others; empty unless the heartbeat asked for it. */
  news: z.array(statusUpdateSchema),
});

/** Schema of a request to seal a tenure. */
export const sealSchema = z.object({ tenure: z.string() });
/** Schema of the reply to a request to seal a tenure. */
export const sealReplySchema = z.object({
  incarnation: z.string(),
  isSealed: z.boolean(),
  /** Time since the replying process started, in milliseconds. */
  uptimeMs: z.number(),
});

export type ServerLoadReport = z.infer<typeof serverLoadSchema>;
export type ServerStatus = z.infer<typeof serverStatusSchema>;
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;
export type StatusUpdate = z.infer<typeof statusUpdateSchema>;
export type OwnershipEntry = z.infer<typeof ownershipEntrySchema>;
export type Heartbeat = z.infer<typeof heartbeatSchema>;
export type HeartbeatReply = z.infer<typeof heartbeatReplySchema>;
export type Seal = z.infer<typeof sealSchema>;
export type SealReply = z.infer<typeof sealReplySchema>;

/** Methods of the calls between daemons that concern membership. */
export enum MemberMethod {
  Heartbeat = "member.beat",
  Seal = "member.seal",
}
