/**
 * Keys that stand-in backend servers hold, with the checks that no two servers hold a key and that epochs increase.
 */
import type { GrantOrder, ReleaseOrder } from "@bulrushwood/deployment";
import { now, sleep } from "@bulrushwood/types";

/** Number of keys of a service. */
export const KEYS = 65_536;
const POLL_MS = 5;

/** Keys of one run of a server. */
export class HeldKeys {
  readonly #epochs = new Int32Array(KEYS).fill(-1);
  readonly #until = new Float64Array(KEYS);
  readonly #running = new Uint32Array(KEYS);
  /** Identifies the server in findings. */
  readonly server: string;

  constructor(server: string) {
    this.server = server;
  }

  has(key: number): boolean {
    return this.#until[key] > now();
  }

  /** End of the grant for a key, on this process's clock; in the past for none. */
  grantedUntil(key: number): number {
    return this.#until[key];
  }

  /** Highest epoch that was granted for a key; -1 for none. */
  epochOf(key: number): number {
    return this.#epochs[key];
  }

  /** Counts a run on a key until the returned function is called. */
  begin(key: number): () => void {
    this.#running[key]++;
    return () => this.#running[key]--;
  }

  isAtWork(key: number): boolean {
    return this.#running[key] > 0;
  }

  /** Takes keys; returns false if a higher epoch was granted on one of them. */
  grant({ first, last, epoch, durationMs }: GrantOrder): boolean {
    if (this.#epochs.subarray(first, last + 1).some((known) => known > epoch)) {
      return false;
    }
    this.#epochs.fill(epoch, first, last + 1);
    this.#until.fill(now() + durationMs, first, last + 1);
    return true;
  }

  /** Gives keys back, and resolves when the work on them has ended. */
  async release({ first, last, epoch }: ReleaseOrder): Promise<void> {
    for (let key = first; key <= last; key++) {
      if (this.#epochs[key] <= epoch) {
        this.#until[key] = 0;
      }
    }
    while (this.#running.subarray(first, last + 1).some((running) => running > 0)) {
      await sleep(POLL_MS);
    }
  }
}

/** Observes the keys of all servers of a service. */
export class Ownership {
  readonly #live = new Set<HeldKeys>();
  /** Last server that was granted each key, and the highest epoch of any grant of it. */
  readonly #holders = new Array<HeldKeys | undefined>(KEYS);
  readonly #epochs = new Int32Array(KEYS).fill(-1);
  readonly #report: (detail: string) => void;
  /** Since when each key has been held by two servers. */
  readonly #sharedSince = new Map<number, number>();
  readonly #sharedMsMax: number;

  /** `report` gets what breaks the rule; two servers may hold a key for up to `sharedMsMax` while neither uses it. */
  constructor(options: { report: (detail: string) => void; sharedMsMax: number }) {
    this.#report = options.report;
    this.#sharedMsMax = options.sharedMsMax;
  }

  add(keys: HeldKeys): void {
    this.#live.add(keys);
  }

  remove(keys: HeldKeys): void {
    this.#live.delete(keys);
  }

  /** Number of keys that no server holds. */
  get unheldKeys(): number {
    return Array.from({ length: KEYS }, (_, key) => key)
      .filter((key) => ![...this.#live].some((keys) => keys.has(key))).length;
  }

  /** Checks a grant that a server has taken. */
  recordGrant(keys: HeldKeys, { first, last, epoch }: GrantOrder): void {
    let broken = 0;
    let other = "";
    for (let key = first; key <= last; key++) {
      const holder = this.#holders[key];
      if (holder !== undefined && holder !== keys && epoch <= this.#epochs[key]) {
        broken++;
        other = holder.server;
      }
      if (epoch >= this.#epochs[key]) {
        this.#epochs[key] = epoch;
        this.#holders[key] = keys;
      }
    }
    if (broken > 0) {
      const span = `${broken} keys of ${first}-${last}`;
      this.#report(`${keys.server} took ${span} with epoch ${epoch}, not above that of ${other}`);
    }
  }

  /** Checks a run that a server begins. */
  recordRun(keys: HeldKeys, key: number): void {
    for (const other of this.#live) {
      if (
        other !== keys && other.has(key) &&
        (other.isAtWork(key) || other.epochOf(key) >= keys.epochOf(key))
      ) {
        this.#report(`${keys.server} runs a request on key ${key}, which ${other.server} holds`);
      }
    }
  }

  /** Checks which keys two servers hold now. Call it several times in each `sharedMsMax`. */
  sample(): void {
    const counts = new Uint8Array(KEYS);
    for (const keys of this.#live) {
      for (let key = 0; key < KEYS; key++) {
        counts[key] += keys.has(key) ? 1 : 0;
      }
    }
    const at = now();
    let broken = 0;
    counts.forEach((count, key) => {
      if (count < 2) {
        this.#sharedSince.delete(key);
        return;
      }
      const since = this.#sharedSince.get(key) ?? at;
      this.#sharedSince.set(key, since);
      broken += at - since > this.#sharedMsMax ? 1 : 0;
    });
    if (broken > 0) {
      this.#report(`${broken} keys are held by two servers for over ${this.#sharedMsMax} ms`);
    }
  }
}
