/**
 * Tracks the newest manifest. Versions only increase; a malformed manifest is logged and skipped.
 */
import { Subject } from "rxjs";
import type { Adapter, Manifest } from "@bulrushwood/deployment";
import { type KeyedFollower, type KeyedRecord, offsetOf } from "@bulrushwood/ledger_store";
import { Event, type EventLog } from "./event_log.ts";

export interface CurrentManifestOptions {
  follower: KeyedFollower;
  adapter: Adapter;
  log: EventLog;
}

/** The manifest in force at one daemon, updated from the store. */
export class CurrentManifest {
  readonly #options: CurrentManifestOptions;
  readonly #changes = new Subject<Manifest>();
  readonly #subscription;
  #manifest: Manifest | undefined;

  constructor(options: CurrentManifestOptions) {
    this.#options = options;
    const { key } = options.adapter.manifestLocation;
    this.#subscription = options.follower.changes.subscribe((record) => {
      if (record.key === key) {
        this.#apply(record);
      }
    });
  }

  /** Emits each manifest when it comes into force. */
  get changes(): Subject<Manifest> {
    return this.#changes;
  }

  /** The manifest in force; undefined until the first is read. */
  get manifest(): Manifest | undefined {
    return this.#manifest;
  }

  /** Version of the manifest in force; 0 until the first is read. */
  get version(): number {
    return this.#manifest?.version ?? 0;
  }

  #apply(record: KeyedRecord): void {
    const { adapter, log } = this.#options;
    const decoded = adapter.readManifest(record.value);
    const offset = offsetOf(record.position);
    if (decoded.isErr) {
      log(Event.ManifestRejected, { offset, reason: decoded.error.message });
      return;
    }
    if (decoded.value.version <= this.version) {
      return;
    }
    this.#manifest = decoded.value;
    log(Event.ManifestApplied, { version: decoded.value.version, offset });
    this.#changes.next(decoded.value);
  }

  close(): void {
    this.#subscription.unsubscribe();
  }
}
