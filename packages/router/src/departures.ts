/**
 * Stores which backend server left last at each daemon. A restarted daemon may get a late report of a server
 * that had already announced its leaving, and only the store outlives the daemon's process, so a departure is
 * acknowledged once the store has it.
 */
import { Buffer } from "node:buffer";
import { Subject, type Subscription } from "rxjs";
import { z } from "zod";
import { isSameIncarnation, type KeyedValue, type Store } from "@bulrushwood/deployment";
import { appendUntilAccepted, type KeyedFollower, parseRecord } from "@bulrushwood/ledger_store";
import {
  type Address,
  type Clock,
  createStop,
  type Sleep,
  waitForChange,
} from "@bulrushwood/types";
import type { Departure, ServerWatch } from "./server_watch.ts";

/** Prefix of the records' keys; the daemon's address follows. */
const KEY_PREFIX = "left/";

const departureSchema = z.object({
  id: z.string(),
  bornMs: z.number(),
  mayBeEarlier: z.boolean().optional(),
});

export interface DeparturesOptions {
  self: Address;
  store: Store;
  /** Follower of the topic that contains departures. */
  follower: KeyedFollower;
  watch: ServerWatch;
  now: Clock;
  sleep: Sleep;
  /** Called with the reason when a record is corrupt. */
  onCorrupt: (reason: string) => void;
}

/** Stores and restores the departure of one daemon's backend server. */
export class Departures {
  readonly #options: DeparturesOptions;
  readonly #subscriptions: Subscription[];
  readonly #stop = createStop();
  readonly #storedChanges = new Subject<void>();
  /** The newest record that is known to be in the store. */
  #stored: Departure | undefined;
  #isWriting = false;

  constructor(options: DeparturesOptions) {
    this.#options = options;
    const stored = options.follower.get(this.#key);
    if (stored !== undefined) {
      this.#apply(stored);
    }
    this.#subscriptions = [
      options.follower.changes.subscribe((item) => this.#apply(item)),
      options.watch.changes.subscribe(() => this.#write()),
    ];
  }

  get #key(): string {
    return KEY_PREFIX + this.#options.self;
  }

  /** The departure of this daemon's server if the store does not have it yet. */
  get #unstored(): Departure | undefined {
    const { departure } = this.#options.watch;
    const isStored = departure === undefined || isSameIncarnation(departure, this.#stored);
    return isStored ? undefined : departure;
  }

  /** Resolves to whether the store has the departure of the current server; waits for that at most `ms`. */
  async awaitStored({ ms }: { ms: number }): Promise<boolean> {
    const { now } = this.#options;
    const { signal } = this.#stop;
    const until = now() + ms;
    while (this.#unstored !== undefined && now() < until && !signal.aborted) {
      await waitForChange(this.#storedChanges, { ms: until - now(), signal });
    }
    return this.#unstored === undefined;
  }

  #apply({ key, value }: KeyedValue): void {
    if (key !== this.#key) {
      return;
    }
    const { watch, onCorrupt } = this.#options;
    const departed = parseRecord(value, departureSchema);
    if (departed.isErr) {
      onCorrupt(departed.error.message);
      return;
    }
    this.#stored = departed.value;
    watch.recordDeparture(departed.value);
    this.#storedChanges.next();
    // An earlier append without a response may take effect only now, and replace the newest departure.
    this.#write();
  }

  /** Writes the departure of the current server until the store has it. */
  async #write(): Promise<void> {
    const { store, follower, sleep } = this.#options;
    const { signal } = this.#stop;
    if (this.#isWriting) {
      return;
    }
    this.#isWriting = true;
    const nextItem = () => {
      const departure = this.#unstored;
      return departure && { key: this.#key, value: Buffer.from(JSON.stringify(departure)) };
    };
    while (this.#unstored !== undefined && !signal.aborted) {
      await appendUntilAccepted(store, nextItem, { follower, sleep, signal });
    }
    this.#isWriting = false;
  }

  /** Stops following and writing departures. */
  close(): void {
    this.#stop.abort();
    this.#subscriptions.forEach((subscription) => subscription.unsubscribe());
  }
}
