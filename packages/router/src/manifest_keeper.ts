/**
 * Tracks the newest manifest. Versions only increase; a malformed manifest is logged and skipped.
 */
import { Subject } from "rxjs";
import type { Adapter, Item, Manifest } from "@bulrushwood/deployment";
import type { KeyedFollower } from "@bulrushwood/ledger_store";
import { Event, type EventLog } from "./event_log.ts";

export interface ManifestKeeperOptions {
  follower: KeyedFollower;
  adapter: Adapter;
  log: EventLog;
}

/** The manifest in force at one daemon, updated from the store. */
export class ManifestKeeper {
  readonly #options: ManifestKeeperOptions;
  readonly #changes = new Subject<Manifest>();
  readonly #subscription;
  #manifest: Manifest | undefined;

  constructor(options: ManifestKeeperOptions) {
    this.#options = options;
    const { key } = options.adapter.manifestPlace;
    this.#subscription = options.follower.changes.subscribe((item) => {
      if (item.key === key) {
        this.#take(item);
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

  #take(item: Item): void {
    const { adapter, log } = this.#options;
    const read = adapter.readManifest(item.value);
    if (read.isErr) {
      log(Event.ManifestRefused, { offset: item.offset, reason: read.error.message });
      return;
    }
    if (read.value.version <= this.version) {
      return;
    }
    this.#manifest = read.value;
    log(Event.ManifestApplied, { version: read.value.version, offset: item.offset });
    this.#changes.next(read.value);
  }

  close(): void {
    this.#subscription.unsubscribe();
  }
}
