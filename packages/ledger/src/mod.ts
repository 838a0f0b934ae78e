/**
 * What the log's records mean: the fold, the follower that keeps it up to date, and submissions.
 */
export * from "./errors.ts";
export * from "./records.ts";
export * from "./state.ts";
export { type Folded, Ledger } from "./ledger.ts";
export type { LedgerDocument } from "./document.ts";
export { PoolTable } from "./pool_table.ts";
export { Follower, type FollowerOptions } from "./follower.ts";
export { SnapshotAssembly, toChunks } from "./snapshot.ts";
export { Submitter, type SubmitterOptions } from "./submission.ts";
export { SnapshotWriter, type SnapshotWriterOptions } from "./snapshot_writer.ts";
