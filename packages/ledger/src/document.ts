/**
 * Conversion of the ledger's state to and from plain data, for snapshots.
 */
import type { Offset } from "@bulrushwood/types";
import type { Ledger } from "./ledger.ts";
import { type PoolDocument, PoolTable } from "./pool_table.ts";
import type {
  ChurnCount,
  ConfigurationVersion,
  Instance,
  LeaseGroup,
  PendingMove,
  PlannerClaim,
} from "./state.ts";

/** Whole state of a ledger as plain data. */
export interface LedgerDocument {
  folded: Offset;
  instances: Instance[];
  groups: LeaseGroup[];
  pools: PoolDocument[];
  pending: PendingMove[];
  configuration: ConfigurationVersion | null;
  claim: PlannerClaim | null;
  churn: ChurnCount[];
}

/** Copies a ledger's state into a document. */
export function writeDocument(ledger: Ledger): LedgerDocument {
  return structuredClone({
    folded: ledger.appliedOffset,
    instances: [...ledger.instances.values()],
    groups: [...ledger.groups.values()],
    pools: [...ledger.pools.values()].map((table) => table.toDocument()),
    pending: [...ledger.pending.values()],
    configuration: ledger.configuration ?? null,
    claim: ledger.claim ?? null,
    churn: ledger.churn,
  });
}

/** Replaces a ledger's state with that of a document. */
export function readDocument(ledger: Ledger, document: LedgerDocument): void {
  const copy = structuredClone(document);
  ledger.appliedOffset = copy.folded;
  ledger.configuration = copy.configuration ?? undefined;
  ledger.claim = copy.claim ?? undefined;
  ledger.churn.splice(0, ledger.churn.length, ...copy.churn);
  replaceEntries(ledger.instances, copy.instances, (instance) => instance.address);
  replaceEntries(ledger.groups, copy.groups, (group) => group.group);
  replaceEntries(ledger.pending, copy.pending, (pending) => pending.move);
  replaceEntries(
    ledger.pools,
    copy.pools.map(PoolTable.fromDocument),
    (table) => table.pool,
  );
}

function replaceEntries<Key, Value>(
  map: Map<Key, Value>,
  values: Value[],
  keyOf: (value: Value) => Key,
): void {
  map.clear();
  for (const value of values) {
    map.set(keyOf(value), value);
  }
}
