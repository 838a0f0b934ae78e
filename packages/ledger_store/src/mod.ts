/**
 * The ownership table of keys, and access to it in the deployment's store.
 */
export {
  type EraChange,
  KeyedFollower,
  type KeyedFollowerOptions,
  type KeyedRecord,
} from "./keyed_follower.ts";
export {
  assign,
  type Assignment,
  changedHosts,
  countKeys,
  emptyTable,
  encloses,
  enterHost,
  type Host,
  hostSchema,
  KEYS,
  type KeySpan,
  mergeRanges,
  overlaps,
  type OwnershipTable,
  type Range,
  rangeOf,
  rangesOf,
  removeHost,
  sizeOf,
  type VoterIdentity,
  without,
} from "./ownership_table.ts";
export { offsetOf, type Position, positionOf } from "./position.ts";
export { appendUntilAccepted, parseRecord, SYSTEM_TOPIC } from "./system_records.ts";
export { formatTable, parseTable } from "./table_format.ts";
export {
  handleStoreCall,
  keyedRecordSchema,
  READ_OVERDUE_MS,
  RelayedStore,
  type RelayedStoreOptions,
} from "./relayed_store.ts";
export {
  type Change,
  ChangeOutcome,
  NEW_TABLE_MS,
  TableStore,
  type TableStoreOptions,
} from "./table_store.ts";
