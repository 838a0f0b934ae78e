/**
 * Data centres whose backend servers must get nothing, as operators ask in the store. Every daemon follows the same
 * records. The daemon beside a server enforces it, since nobody else sends to that server; the others only avoid
 * servers that would reject their requests.
 */
import { Subject, type Subscription } from "rxjs";
import type { Adapter, KeyedValue } from "@bulrushwood/deployment";
import type { KeyedFollower } from "@bulrushwood/ledger_store";
import type { Clock } from "@bulrushwood/types";
import { Event, type EventLog } from "./event_log.ts";

export interface EvacuationsOptions {
  /** Follower of the topic that contains evacuations. */
  follower: KeyedFollower;
  readEvacuation: Adapter["readEvacuation"];
  /** Names of all data centres; undefined if any name counts as one. */
  dataCentres: string[] | undefined;
  now: Clock;
  log: EventLog;
}

/** Tracks which data centres are evacuated. */
export class Evacuations {
  readonly #options: EvacuationsOptions;
  readonly #subscriptions: Subscription[];
  readonly #changes = new Subject<void>();
  /** When each evacuation was read, on this process's clock. */
  readonly #since = new Map<string, number>();

  constructor(options: EvacuationsOptions) {
    this.#options = options;
    const { follower } = options;
    this.#subscriptions = [
      follower.changes.subscribe((item) => this.#apply(item)),
      follower.removals.subscribe((item) => this.#apply(item)),
    ];
  }

  /** Emits after each change. */
  get changes(): Subject<void> {
    return this.#changes;
  }

  /** Whether a data centre is evacuated. */
  has(dataCentre: string): boolean {
    return this.#since.has(dataCentre);
  }

  /** Time for which a data centre has been evacuated, as far as this process knows, in milliseconds; 0 if it is not. */
  elapsedMs(dataCentre: string): number {
    const since = this.#since.get(dataCentre);
    return since === undefined ? 0 : this.#options.now() - since;
  }

  #apply(item: KeyedValue): void {
    const { readEvacuation, dataCentres, now, log } = this.#options;
    const order = readEvacuation?.(item);
    if (order === undefined) {
      return;
    }
    const { dataCentre, isEvacuated } = order;
    if (dataCentres !== undefined && !dataCentres.includes(dataCentre)) {
      log(Event.EvacuationIgnored, { dataCentre, known: dataCentres });
      return;
    }
    if (isEvacuated === this.has(dataCentre)) {
      return;
    }
    if (isEvacuated) {
      this.#since.set(dataCentre, now());
    } else {
      this.#since.delete(dataCentre);
    }
    log(Event.EvacuationChanged, { dataCentre, isEvacuated });
    this.#changes.next();
  }

  close(): void {
    this.#subscriptions.forEach((subscription) => subscription.unsubscribe());
    this.#changes.complete();
  }
}
