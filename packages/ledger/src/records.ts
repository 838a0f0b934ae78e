/**
 * Records that the system appends to the platform's log, and their serialisation. Each record carries a
 * unique id and its preconditions; `ledger.ts` decides whether it takes effect.
 */
import { Result } from "true-myth";
import { z } from "zod";
import { MoveCause } from "@bulrushwood/types";
import { configurationSchema } from "@bulrushwood/settings";
import { LedgerError, LedgerErrorKind } from "./errors.ts";

export enum RecordKind {
  InstanceJoined = "instance-joined",
  ServerChanged = "server-changed",
  InstanceLeaving = "instance-leaving",
  InstanceLeft = "instance-left",
  InstanceLost = "instance-lost",
  GroupCreated = "group-created",
  GroupRetired = "group-retired",
  GroupSucceeded = "group-succeeded",
  GroupsSurrendered = "groups-surrendered",
  ShardsMoved = "shards-moved",
  MovesActivated = "moves-activated",
  ConfigurationPublished = "configuration-published",
  PlannerClaimed = "planner-claimed",
  SnapshotChunk = "snapshot-chunk",
}

const offset = z.number().int().nonnegative();
const address = z.string().min(1);
const base = { id: z.string().min(1) };

const server = z.strictObject({
  pool: z.string().min(1),
  slots: z.number().int().min(1),
  connections: z.number().int().min(1),
  checksGrants: z.boolean(),
});

const instanceJoined = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.InstanceJoined),
  address,
  /** Incarnation that this one replaces; 0 for none. */
  expects: offset,
  name: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  admin: address,
  server: server.nullable(),
});

const incarnationChange = { ...base, address, incarnation: offset };

const serverChanged = z.strictObject({
  ...incarnationChange,
  kind: z.literal(RecordKind.ServerChanged),
  server: server.nullable(),
});

const instanceLeaving = z.strictObject({
  ...incarnationChange,
  kind: z.literal(RecordKind.InstanceLeaving),
});

const instanceLeft = z.strictObject({
  ...incarnationChange,
  kind: z.literal(RecordKind.InstanceLeft),
});

const instanceLost = z.strictObject({
  ...incarnationChange,
  kind: z.literal(RecordKind.InstanceLost),
  /** Who reports the loss: the address of a daemon, or the name of an operator. */
  by: z.string(),
  /** Whether an operator confirms that the process will not run again. */
  declared: z.boolean(),
});

const groupCreated = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.GroupCreated),
  claim: offset,
  pool: z.string(),
  /** Holder, successor and witness; fewer if there are fewer instances. */
  members: z.array(z.strictObject({ address, incarnation: offset })).min(1).max(
    3,
  ),
});

const groupRetired = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.GroupRetired),
  claim: offset,
  group: offset,
});

const groupSucceeded = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.GroupSucceeded),
  group: offset,
  incarnation: offset,
});

const groupsSurrendered = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.GroupsSurrendered),
  incarnation: offset,
  groups: z.array(offset).min(1),
});

const shardRange = z.strictObject({ first: offset, last: offset });

const shardsMoved = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.ShardsMoved),
  claim: offset,
  pool: z.string(),
  shards: z.array(shardRange).min(1),
  /** Group that owns all the shards before the move; 0 for none. */
  from: offset,
  to: offset,
  cause: z.enum(MoveCause),
});

const movesActivated = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.MovesActivated),
  group: offset,
  moves: z.array(offset).min(1),
});

const configurationPublished = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.ConfigurationPublished),
  /** Version that this configuration replaces; 0 for none. */
  expects: offset,
  by: z.string(),
  configuration: configurationSchema,
});

const plannerClaimed = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.PlannerClaimed),
  /** Claim that this one replaces; 0 for none. */
  expects: offset,
  address,
  incarnation: offset,
});

const snapshotChunk = z.strictObject({
  ...base,
  kind: z.literal(RecordKind.SnapshotChunk),
  /** Id of the snapshot that the chunk belongs to. */
  snapshot: z.string().min(1),
  /** Offset of the last record that the snapshot contains. */
  through: offset,
  index: offset,
  count: z.number().int().min(1),
  text: z.string(),
});

const recordSchema = z.discriminatedUnion("kind", [
  instanceJoined,
  serverChanged,
  instanceLeaving,
  instanceLeft,
  instanceLost,
  groupCreated,
  groupRetired,
  groupSucceeded,
  groupsSurrendered,
  shardsMoved,
  movesActivated,
  configurationPublished,
  plannerClaimed,
  snapshotChunk,
]);

/** Record of any kind. */
export type Entry = z.infer<typeof recordSchema>;
/** Description of a backend server, from its announcement. */
export type ServerDescription = z.infer<typeof server>;
/** Range of shards from `first` to `last`, both inclusive. */
export type ShardRange = z.infer<typeof shardRange>;
export type InstanceJoined = z.infer<typeof instanceJoined>;
export type ServerChanged = z.infer<typeof serverChanged>;
export type InstanceLeaving = z.infer<typeof instanceLeaving>;
export type InstanceLeft = z.infer<typeof instanceLeft>;
export type InstanceLost = z.infer<typeof instanceLost>;
export type GroupCreated = z.infer<typeof groupCreated>;
export type GroupRetired = z.infer<typeof groupRetired>;
export type GroupSucceeded = z.infer<typeof groupSucceeded>;
export type GroupsSurrendered = z.infer<typeof groupsSurrendered>;
export type ShardsMoved = z.infer<typeof shardsMoved>;
export type MovesActivated = z.infer<typeof movesActivated>;
export type ConfigurationPublished = z.infer<typeof configurationPublished>;
export type PlannerClaimed = z.infer<typeof plannerClaimed>;
export type SnapshotChunk = z.infer<typeof snapshotChunk>;

/** Serialises a record as the text that is stored in the log. */
export function formatEntry(entry: Entry): string {
  return JSON.stringify(entry);
}

/** Parses the text of a record. The error for a corrupt record or an unknown kind names the field. */
export function parseEntry(body: string): Result<Entry, LedgerError> {
  const document = parseJson(body);
  const parsed = recordSchema.safeParse(document);
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  const issue = parsed.error.issues[0];
  const field = issue.path.length === 0 ? "the record" : issue.path.join(".");
  const message = `A log record is corrupt or of an unknown kind: ${field}: ${issue.message}`;
  return Result.err(new LedgerError(LedgerErrorKind.CorruptRecord, message));
}

function parseJson(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}

/** Converts shard numbers, in any order, to sorted ranges. */
export function toRanges(shards: number[]): ShardRange[] {
  const ranges: ShardRange[] = [];
  for (const shard of [...shards].sort((left, right) => left - right)) {
    const previous = ranges.at(-1);
    if (previous !== undefined && previous.last + 1 === shard) {
      previous.last = shard;
    } else {
      ranges.push({ first: shard, last: shard });
    }
  }
  return ranges;
}

/** Lists the shards of the given ranges. */
export function fromRanges(ranges: ShardRange[]): number[] {
  const shards: number[] = [];
  for (const range of ranges) {
    for (let shard = range.first; shard <= range.last; shard++) {
      shards.push(shard);
    }
  }
  return shards;
}
