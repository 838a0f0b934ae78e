/**
 * Applies records to a ledger without a log, for tests of code that reads the ledger.
 */
import {
  type Entry,
  formatEntry,
  type Ledger,
  type ProcessedRecord,
  RecordKind,
} from "@bulrushwood/ledger";
import { Preference, Priority } from "@bulrushwood/types";

let nextId = 1;

/** Returns an id that no other record of this process has. */
export function newRecordId(): string {
  return `id-${nextId++}`;
}

/** Applies an entry to the ledger as its next record. */
export function appendEntry(ledger: Ledger, entry: Entry): ProcessedRecord {
  return ledger.apply(ledger.appliedOffset + 1, formatEntry(entry));
}

/** Applies a configuration that has one keyed pool and one route to it. */
export function publishPool(
  ledger: Ledger,
  pool: string,
  options: { shards: number },
): ProcessedRecord {
  const target = { share: 0.9, withinMs: 100 };
  const work = { target, idempotent: false, priority: Priority.Foreground, deadlineMs: 1_000 };
  return appendEntry(ledger, {
    id: newRecordId(),
    kind: RecordKind.ConfigurationPublished,
    expects: 0,
    by: "test",
    configuration: {
      tenantHeader: "x-tenant",
      pools: { [pool]: { keyed: true, shards: options.shards, prefer: Preference.Availability } },
      classes: { work },
      routes: [{ method: "GET", path: "/:key", pool, class: "work", key: { pathPart: "key" } }],
    },
  });
}
