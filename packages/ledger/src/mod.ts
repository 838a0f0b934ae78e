/**
 * State of the system derived from the log's records: the ledger, the follower that keeps it up to date,
 * submissions of records, and snapshots.
 */
export * from "./errors.ts";
export * from "./records.ts";
export * from "./state.ts";
export { Ledger, type ProcessedRecord } from "./ledger.ts";
export type { LedgerDocument } from "./document.ts";
export { PoolTable } from "./pool_table.ts";
export { Follower, type FollowerOptions } from "./follower.ts";
export { SnapshotAssembly, toChunks } from "./snapshot.ts";
export { Submitter, type SubmitterOptions } from "./submission.ts";
export { SnapshotWriter, type SnapshotWriterOptions } from "./snapshot_writer.ts";
