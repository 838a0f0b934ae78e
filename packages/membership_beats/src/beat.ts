/**
 * What daemons tell each other several times a second.
 */
import { z } from "zod";
import { ServerState } from "@bulrushwood/deployment";
import { hostSchema } from "@bulrushwood/ledger_store";

const span = z.object({ first: z.number().int(), last: z.number().int() });

/** Schema of the load of one backend server. */
export const serverLoadSchema = z.object({
  /** Requests that asked for the server, a second. */
  rate: z.number(),
  /** Mean time from sending a request to its answer, in milliseconds; 0 before the first. */
  serviceMs: z.number(),
  running: z.number(),
  waiting: z.number(),
  /** Own keys in pieces of about equal load, with the requests a second for each. */
  pieces: z.array(span.extend({ rate: z.number() })).max(400),
});

/** Schema of a server as its daemon tells of it. */
export const serverStatusSchema = z.object({
  id: z.string(),
  bornMs: z.number(),
  slots: z.number(),
  state: z.enum(ServerState),
  /** Whether it has just started and is still slow for that reason. */
  isCold: z.boolean(),
  /** Whether the daemon reaches the server. */
  isReachable: z.boolean(),
  load: serverLoadSchema,
});

/** Schema of what a daemon says of itself. */
export const daemonStatusSchema = z.object({
  address: z.string(),
  incarnation: z.string(),
  service: z.string(),
  dataCentre: z.string(),
  /** Whether the daemon is about to end. */
  isLeaving: z.boolean(),
  /** Whether the daemon reaches the store itself. */
  hasStore: z.boolean(),
  /** The backend server beside the daemon; null where there is none. */
  server: serverStatusSchema.nullable(),
});

/** Schema of what a daemon tells of another. */
export const newsSchema = daemonStatusSchema.extend({
  /** How long ago it was heard, in milliseconds. */
  ageMs: z.number().nonnegative(),
});

/** Schema of an entry in the ownership table that a daemon asks the planner to write. */
export const entrySchema = z.object({
  host: hostSchema,
  /** Tenure that the table must name for the daemon, null for none; else the entry is outdated. */
  replaces: z.string().nullable(),
});

/** Schema of a heartbeat. */
export const beatSchema = daemonStatusSchema.extend({
  /** Tenures that the receiver is asked to support. */
  tenures: z.array(z.string()),
  /** Offsets after the last records that the sender knows, one for each topic that daemons follow. */
  storeEnds: z.array(z.number()),
  /** Entry that the receiver should write into the ownership table; null for none. */
  entry: entrySchema.nullable(),
  /** Whether the sender does not hear of everybody itself, so that the answer should say more. */
  wantsStatus: z.boolean(),
  /** Whether the answer should tell of all servers of the receiver's service. */
  wantsNews: z.boolean(),
});

/** Schema of the answer to a heartbeat. */
export const beatReplySchema = z.object({
  incarnation: z.string(),
  /** Tenures that the answering daemon supports. */
  supported: z.array(z.string()),
  storeEnds: z.array(z.number()),
  /** What the answering daemon says of itself and of others; empty unless it was asked for. */
  news: z.array(newsSchema),
});

/** Schema of a request to seal a tenure. */
export const sealSchema = z.object({ tenure: z.string() });
/** Schema of the answer to a request to seal. */
export const sealReplySchema = z.object({
  incarnation: z.string(),
  isSealed: z.boolean(),
  /** For how long the answering process has run, in milliseconds. */
  uptimeMs: z.number(),
});

export type ServerLoadReport = z.infer<typeof serverLoadSchema>;
export type ServerStatus = z.infer<typeof serverStatusSchema>;
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;
export type News = z.infer<typeof newsSchema>;
export type Entry = z.infer<typeof entrySchema>;
export type Beat = z.infer<typeof beatSchema>;
export type BeatReply = z.infer<typeof beatReplySchema>;
export type Seal = z.infer<typeof sealSchema>;
export type SealReply = z.infer<typeof sealReplySchema>;

/** Names of the calls between daemons that concern membership. */
export enum MemberMethod {
  Beat = "member.beat",
  Seal = "member.seal",
}
