/**
 * Snapshots of the ledger in the log. A state is written in chunks before the records that it results from
 * expire, and a starting daemon reassembles the first complete one.
 */
import type { Offset } from "@bulrushwood/types";
import type { LogRecord } from "@bulrushwood/log_client";
import type { LedgerDocument } from "./document.ts";
import { type Entry, parseEntry, RecordKind, type SnapshotChunk } from "./records.ts";

/** Largest chunk, in characters, so that the record of a chunk stays small. */
const CHUNK_LENGTH_MAX = 64 * 1024;

/** Splits a state into the records of one snapshot. */
export function toChunks(document: LedgerDocument, snapshot: string): Entry[] {
  const text = JSON.stringify(document);
  const count = Math.max(1, Math.ceil(text.length / CHUNK_LENGTH_MAX));
  const chunks: Entry[] = [];
  for (let index = 0; index < count; index++) {
    chunks.push({
      id: `${snapshot}-${index}`,
      kind: RecordKind.SnapshotChunk,
      snapshot,
      through: document.folded,
      index,
      count,
      text: text.slice(
        index * CHUNK_LENGTH_MAX,
        (index + 1) * CHUNK_LENGTH_MAX,
      ),
    });
  }
  return chunks;
}

/** Collects records from the middle of the log until they hold a snapshot and all records after it. */
export class SnapshotAssembly {
  readonly #records: LogRecord[] = [];
  readonly #chunks = new Map<string, SnapshotChunk[]>();

  /** Adds the next record; returns the state of a snapshot once it and all records after it are complete. */
  add(record: LogRecord): LedgerDocument | undefined {
    this.#records.push(record);
    const parsed = parseEntry(record.body);
    if (parsed.isErr || parsed.value.kind !== RecordKind.SnapshotChunk) {
      return undefined;
    }
    return this.#addChunk(parsed.value);
  }

  #addChunk(chunk: SnapshotChunk): LedgerDocument | undefined {
    const chunks = this.#chunks.get(chunk.snapshot) ?? [];
    chunks[chunk.index] = chunk;
    this.#chunks.set(chunk.snapshot, chunks);
    const isComplete = Object.keys(chunks).length === chunk.count;
    const first = this.#records[0].offset;
    if (!isComplete || chunk.through + 1 < first) {
      return undefined;
    }
    return parseState(chunks.map((part) => part.text).join(""));
  }

  /** Returns the records added so far that come after an offset. */
  recordsAfter(offset: Offset): LogRecord[] {
    return this.#records.filter((record) => record.offset > offset);
  }
}

/** Parses a state; undefined for a corrupt snapshot, so that a later one is used. */
function parseState(text: string): LedgerDocument | undefined {
  try {
    return JSON.parse(text) as LedgerDocument;
  } catch {
    return undefined;
  }
}
