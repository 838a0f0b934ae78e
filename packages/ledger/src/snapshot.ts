/**
 * Snapshots of the ledger in the log: a state is written in chunks before the records it rests on
 * expire, and a starting daemon puts the first complete one together again.
 */
import type { Offset } from "@bulrushwood/types";
import type { LogRecord } from "@bulrushwood/log_client";
import type { LedgerDocument } from "./document.ts";
import { type Entry, parseEntry, RecordKind, type SnapshotChunk } from "./records.ts";

/** Largest chunk, in characters; keeps a record small against the log's other records. */
const CHUNK_CHARACTERS = 64 * 1024;

/** Cuts a state into the records of one snapshot. */
export function toChunks(document: LedgerDocument, snapshot: string): Entry[] {
  const text = JSON.stringify(document);
  const count = Math.max(1, Math.ceil(text.length / CHUNK_CHARACTERS));
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
        index * CHUNK_CHARACTERS,
        (index + 1) * CHUNK_CHARACTERS,
      ),
    });
  }
  return chunks;
}

/** Collects records from the middle of the log until one whole snapshot and its tail are there. */
export class SnapshotAssembly {
  readonly #records: LogRecord[] = [];
  readonly #chunks = new Map<string, SnapshotChunk[]>();

  /** Takes the next record; returns the state when a snapshot is whole and its tail is known. */
  take(record: LogRecord): LedgerDocument | undefined {
    this.#records.push(record);
    const parsed = parseEntry(record.body);
    if (parsed.isErr || parsed.value.kind !== RecordKind.SnapshotChunk) {
      return undefined;
    }
    return this.#takeChunk(parsed.value);
  }

  #takeChunk(chunk: SnapshotChunk): LedgerDocument | undefined {
    const chunks = this.#chunks.get(chunk.snapshot) ?? [];
    chunks[chunk.index] = chunk;
    this.#chunks.set(chunk.snapshot, chunks);
    const whole = Object.keys(chunks).length === chunk.count;
    const first = this.#records[0].offset;
    if (!whole || chunk.through + 1 < first) {
      return undefined;
    }
    return readState(chunks.map((part) => part.text).join(""));
  }

  /** The records taken so far that come after an offset. */
  recordsAfter(offset: Offset): LogRecord[] {
    return this.#records.filter((record) => record.offset > offset);
  }
}

/** Reads a state; undefined when the snapshot is damaged, so that the next one is waited for. */
function readState(text: string): LedgerDocument | undefined {
  try {
    return JSON.parse(text) as LedgerDocument;
  } catch {
    return undefined;
  }
}
