/**
 * Grants the keys that this daemon owns to its backend server, renews the grants while the tenure is
 * supported, and transfers keys to other daemons. A grant never outlasts the support of the tenure. A transfer
 * stops new work for the keys, waits for the server to release them, and then changes the owner in the store.
 * No other daemon may change the owner of these keys.
 */
import { Subject } from "rxjs";
import { isSameIncarnation, type ServerIdentity } from "@bulrushwood/deployment";
import {
  assign,
  type Assignment,
  ChangeOutcome,
  encloses,
  type KeySpan,
  mergeRanges,
  overlaps,
  type OwnershipTable,
  type Range,
  rangeOf,
  rangesOf,
  removeHost,
  type TableStore,
  without,
} from "@bulrushwood/ledger_store";
import type { SuspensionDetector } from "@bulrushwood/lease_votes";
import {
  type Address,
  type Clock,
  createStop,
  type Sleep,
  waitForChange,
  type WaitOptions,
} from "@bulrushwood/types";
import {
  type Grant,
  type GrantChannel,
  type GrantContext,
  grantMsUntil,
  type OpenGrantChannel,
} from "./grant_channel.ts";
import type { TenureManager } from "./tenure_manager.ts";

/** Longest time between renewals, in milliseconds; grants are also renewed with each vote. */
const RENEW_INTERVAL_MS = 350;

/**
 * Time between writes of transferred keys, in milliseconds for each host: all hosts read each change of the table, so the
 * more there are, the more keys should change their owner at a time.
 */
const WRITE_INTERVAL_MS_PER_HOST = 2;

/** Fewest ranges by which a merge must shorten the table; each write costs all daemons a read of the table. */
const MERGED_MIN = 4;

/** Whether this daemon's backend server may serve a key. */
export enum KeyState {
  /** The server has confirmed a grant for the key, which lasts long enough. */
  Granted = "granted",
  /** This daemon owns the key, but the server has no confirmed grant that lasts long enough yet. */
  Pending = "pending",
  /** The key is being transferred, or it has no owner. */
  Moving = "moving",
  /** Another daemon owns the key. */
  Elsewhere = "elsewhere",
}

/** Keys that the server released, with their new owner. */
interface Transfer extends Assignment {
  /** Epoch of the keys when they were released. */
  epoch: number;
}

/** Dependencies and limits of the grants of one daemon. */
export interface GrantManagerOptions {
  self: Address;
  now: Clock;
  sleep: Sleep;
  /** Sleeps between rounds; by default as `sleep`. */
  pause?: Sleep;
  table: TableStore;
  tenure: TenureManager;
  suspension: SuspensionDetector;
  openChannel: OpenGrantChannel;
  /** Returns the server that accepts orders; undefined while there is none. */
  server: () => ServerIdentity | undefined;
  grantMsMax: number;
  /** Returns the keys that the server runs requests for. */
  busyKeys: () => Iterable<number>;
  /** Whether the process of the server that the last grants were sent to has certainly ended. */
  hasServerEnded: () => Promise<boolean>;
  /** Called with the time that the instance was suspended, in milliseconds. */
  onSuspended: (ms: number) => void;
  /** Called when an order to the server failed. */
  onFailed: (order: string, reason: string, range: KeySpan) => void;
}

/** Manages the grants of one daemon. */
export class GrantManager {
  readonly #options: GrantManagerOptions;
  /** One grant for each contiguous span of own keys that is not being transferred, in key order. */
  #grants: Grant[] = [];
  readonly #channel: GrantChannel;
  readonly #changed = new Subject<void>();
  readonly #stop = createStop();
  readonly #subscription;
  /** Spans that are being transferred; they are not granted. */
  #transferring: KeySpan[] = [];
  /** When the transfer of keys was last written, or will be next. */
  #writeAt = Number.NEGATIVE_INFINITY;
  /** Pending merge of own ranges; undefined while there is none. */
  #merge: Promise<unknown> | undefined;
  #task: Promise<void> | undefined;

  constructor(options: GrantManagerOptions) {
    this.#options = options;
    this.#channel = options.openChannel(this.#createContext());
    this.#subscription = options.table.table.subscribe(() => {
      this.#updateGrants();
    });
  }

  #createContext(): GrantContext {
    const { now, sleep, table, tenure, self, hasServerEnded, onFailed } = this.#options;
    return {
      now,
      sleep,
      earlierGrantsEndBy: () => tenure.earlierGrantsEndBy,
      hasServerEnded,
      grants: () => this.#grants,
      server: () => this.#enteredServer,
      grantableMs: (since) => this.#grantableMs(since),
      handoverOf: ({ first }) => rangeOf(table.table.value, first).handover ?? undefined,
      onChanged: () => this.#changed.next(),
      onOutdated: async (grant) => {
        await table.change((current) => raiseEpoch(current, grant, self));
      },
      onFailed,
    };
  }

  /** Emits when the keys that the server may serve could have changed. */
  get changed(): Subject<void> {
    return this.#changed;
  }

  /** Starts the renewal of grants in the background. */
  start(): void {
    this.#task = this.#run();
  }

  /** Returns whether this daemon's server may serve a key for the next `leftMs` milliseconds. */
  stateOf(key: number, leftMs = 0): KeyState {
    const { table, self, now } = this.#options;
    const range = rangeOf(table.table.value, key);
    if (range.owner !== self) {
      return range.owner === null ? KeyState.Moving : KeyState.Elsewhere;
    }
    if (this.#transferring.some((span) => span.first <= key && key <= span.last)) {
      return KeyState.Moving;
    }
    const grant = this.#grantOf(key);
    const isGranted = grant !== undefined && grant.isConfirmed && grant.until > now() + leftMs;
    return isGranted ? KeyState.Granted : KeyState.Pending;
  }

  /** Returns the end of the confirmed grant for a key, on this process's clock; infinite where there is none. */
  grantedUntil(key: number): number {
    const grant = this.#grantOf(key);
    return grant?.isConfirmed ? grant.until : Infinity;
  }

  #grantOf(key: number): Grant | undefined {
    return this.#grants.find(({ first, last }) => first <= key && key <= last);
  }

  /** Ranges of the ownership table that this daemon owns. */
  get ownRanges(): Range[] {
    return rangesOf(this.#options.table.table.value, this.#options.self);
  }

  /** Renews the grants that can be extended noticeably. */
  renew(): void {
    this.#channel.renew();
  }

  async #run(): Promise<void> {
    const { sleep, pause = sleep } = this.#options;
    while (!this.#stop.signal.aborted) {
      this.renew();
      this.#mergeOwnRanges();
      await pause(RENEW_INTERVAL_MS, this.#stop.signal);
    }
  }

  #isTransferring(span: KeySpan): boolean {
    return this.#transferring.some((transferring) => overlaps(transferring, span));
  }

  /** Recomputes the grants after a change of the table or of the transfers; unchanged spans keep their grant. */
  #updateGrants(): void {
    const previous = this.#grants;
    this.#grants = this.ownRanges.flatMap((range) => {
      const { epoch } = range;
      return without(range, this.#transferring).map((span) => {
        const covering = previous.find((grant) => grant.epoch === epoch && encloses(grant, span));
        return covering !== undefined && encloses(span, covering)
          ? covering
          : deriveGrant(covering === undefined ? sourcesOf(range, previous) : [covering], {
            ...span,
            epoch,
          });
      });
    });
    this.renew();
    this.#changed.next();
  }

  /** The incarnation of the server that this daemon is entered with, while it accepts orders; undefined otherwise. */
  get #enteredServer(): ServerIdentity | undefined {
    const { server, table, self } = this.#options;
    const current = server();
    const entered = table.table.value.hosts[self]?.server;
    return current !== undefined && isSameIncarnation(current, entered) ? current : undefined;
  }

  /** Returns the longest grant that the current support allows, in milliseconds counted from `since`. */
  #grantableMs(since: number): number {
    const { tenure, suspension, grantMsMax } = this.#options;
    const suspendedMs = suspension.check();
    if (suspendedMs > 0) {
      tenure.dropSupport();
      this.#options.onSuspended(suspendedMs);
    }
    if (this.#enteredServer === undefined) {
      return 0;
    }
    return Math.min(grantMsMax, grantMsUntil(tenure.supportedUntil, since));
  }

  /**
   * Transfers the keys that `choose` selects to their new owners. With `leave`, all other own keys are left
   * without an owner, and the daemon is removed from the table. Each span is transferred as soon as its work
   * has ended, without waiting for the others; keys with running requests have spans of their own, since work may
   * take seconds. Resolves once the store has all changes.
   */
  async transfer(
    choose: (own: Range[]) => Assignment[],
    options: { leave: boolean; isServerLost: boolean },
  ): Promise<ChangeOutcome> {
    const chosen = choose(this.ownRanges);
    const rest = this.ownRanges.flatMap((range) => without(range, chosen));
    const others = options.leave ? rest.map((span) => ({ ...span, to: null, handover: null })) : [];
    const clipped = this.#clipToOwn([...chosen, ...others]);
    const assignments = options.isServerLost ? clipped : this.#separateBusyKeys(clipped);
    this.#transferring.push(...assignments);
    this.#updateGrants();
    const released = new Map<KeySpan, Transfer[]>();
    const outcomes = await Promise.all(assignments.map(async (assignment) => {
      // A merge that is being written changes the epoch of the keys.
      await this.#merge;
      const { epoch } = rangeOf(this.#options.table.table.value, assignment.first);
      const handovers = await this.#channel.release({ ...assignment, epoch }, options);
      released.set(assignment, handovers.map((part) => ({ ...part, to: assignment.to, epoch })));
      return await this.#transferReleased(released, options);
    }));
    if (outcomes.length === 0) {
      return await this.#transferReleased(released, options);
    }
    return outcomes.includes(ChangeOutcome.Done) ? ChangeOutcome.Done : outcomes[0];
  }

  /**
   * Merges neighbouring own ranges once the server was granted them. Each range needs a grant of its own, and each transfer
   * cuts ranges, so that grants would otherwise take ever more of the daemon's time.
   */
  #mergeOwnRanges(): void {
    const { self, table } = this.#options;
    const merge = (current: OwnershipTable) => {
      const merged = mergeRanges(current, (range) => range.owner === self && this.#mayMerge(range));
      return current.ranges.length - merged.ranges.length < MERGED_MIN ? undefined : merged;
    };
    if (this.#merge === undefined && merge(table.table.value) !== undefined) {
      this.#merge = table.change(merge, { signal: this.#stop.signal })
        .finally(() => this.#merge = undefined);
    }
  }

  /** Whether the server was granted an own range that is not being transferred, so that its handover token is used. */
  #mayMerge(range: Range): boolean {
    return !this.#isTransferring(range) &&
      this.#grants.some((grant) =>
        grant.isConfirmed && grant.epoch === range.epoch && encloses(grant, range)
      );
  }

  /** Cuts assignments so that each key with running requests is apart from the others. */
  #separateBusyKeys(assignments: Assignment[]): Assignment[] {
    const busy = [...new Set(this.#options.busyKeys())]
      .sort((one, other) => one - other)
      .map((key) => ({ first: key, last: key }));
    return assignments.flatMap((assignment) => {
      const within = busy.filter((span) => encloses(assignment, span));
      const idle = without(assignment, within);
      return [...idle, ...within].map((span) => ({ ...assignment, ...span }));
    });
  }

  /** Writes the new owners of all spans released so far; none of them is granted again until that is done. */
  async #transferReleased(
    released: Map<KeySpan, Transfer[]>,
    options: { leave: boolean },
  ): Promise<ChangeOutcome> {
    await this.#awaitWrite();
    let written: KeySpan[] = [];
    const outcome = await this.#options.table.change((table) => {
      written = [...released.keys()];
      return this.#applyTransfers(table, [...released.values()].flat(), options);
    });
    written.forEach((span) => released.delete(span));
    this.#transferring = this.#transferring.filter((span) => !written.includes(span));
    this.#updateGrants();
    return outcome;
  }

  /** Waits until keys that were released may be written; those that are released meanwhile are written with them. */
  async #awaitWrite(): Promise<void> {
    const { now, sleep, table } = this.#options;
    const intervalMs = Object.keys(table.table.value.hosts).length * WRITE_INTERVAL_MS_PER_HOST;
    if (this.#writeAt <= now()) {
      this.#writeAt = Math.max(now(), this.#writeAt + intervalMs);
    }
    await sleep(Math.max(0, this.#writeAt - now()));
  }

  /** Clips assignments to own ranges; omits keys that are already being transferred. */
  #clipToOwn(assignments: Assignment[]): Assignment[] {
    const clipped: Assignment[] = [];
    for (const assignment of assignments) {
      for (const range of this.ownRanges) {
        const first = Math.max(assignment.first, range.first);
        const last = Math.min(assignment.last, range.last);
        if (first <= last && !this.#isTransferring({ first, last })) {
          clipped.push({ ...assignment, first, last });
        }
      }
    }
    return clipped;
  }

  #applyTransfers(
    table: OwnershipTable,
    transfers: Transfer[],
    options: { leave: boolean },
  ): OwnershipTable | undefined {
    const { self } = this.#options;
    const own = transfers.flatMap((transfer) => clipToEpoch(table, transfer, self))
      .map((assignment) => ({ ...assignment, to: enteredOwner(table, assignment.to) }));
    const updated = own.length === 0 ? table : assign(table, own);
    const isEntered = updated.hosts[self] !== undefined;
    // Keys assigned to this daemon in the meantime were not released, so it cannot leave yet.
    if (options.leave && isEntered && rangesOf(updated, self).length === 0) {
      return removeHost(updated, self);
    }
    return own.length === 0 ? undefined : updated;
  }

  /** Resolves when the keys that the server may serve could have changed, or at the end of the wait. */
  async waitForChange(options: WaitOptions): Promise<void> {
    await waitForChange(this.#changed, options);
  }

  /** Stops the renewal of grants and closes the channel to the server. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#subscription.unsubscribe();
    this.#channel.close();
    await this.#task;
  }
}

/**
 * Returns the parts of a transfer whose keys the owner still has with the epoch that was released. An append whose
 * response was lost may have taken effect, and some of the keys may have come back since, with a newer epoch.
 */
function clipToEpoch(table: OwnershipTable, transfer: Transfer, owner: Address): Assignment[] {
  return rangesOf(table, owner)
    .filter((range) => range.epoch === transfer.epoch && overlaps(range, transfer))
    .map((range) => ({
      first: Math.max(range.first, transfer.first),
      last: Math.min(range.last, transfer.last),
      to: transfer.to,
      handover: transfer.handover,
    }));
}

/**
 * Returns the grants of which a range was merged. A merge takes the newest of their epochs, while keys that come or come
 * back have an epoch that is newer than all.
 */
function sourcesOf(range: Range, grants: Grant[]): Grant[] {
  const sources = grants.filter((grant) => overlaps(grant, range));
  return Math.max(...sources.map(({ epoch }) => epoch)) === range.epoch ? sources : [];
}

/** Creates a grant for keys of `sources`, confirmed until the first of these ends if they all are and contain the keys. */
function deriveGrant(sources: Grant[], { first, last, epoch }: KeySpan & { epoch: number }): Grant {
  const parts = sources.filter((source) => source.isConfirmed && overlaps(source, { first, last }));
  const isConfirmed = parts.length > 0 && without({ first, last }, parts).length === 0;
  const until = isConfirmed ? Math.min(...parts.map((part) => part.until)) : 0;
  return { until, isConfirmed, first, last, epoch };
}

/** Assigns the keys to this daemon again with a new highest epoch, since the server has a newer epoch for them. */
function raiseEpoch(
  table: OwnershipTable,
  range: KeySpan & { epoch: number },
  self: Address,
): OwnershipTable | undefined {
  const current = rangeOf(table, range.first);
  if (current.owner !== self || current.epoch !== range.epoch) {
    return undefined;
  }
  const { first, last } = current;
  return assign(table, [{ first, last, to: self, handover: null }]);
}

/** Returns the owner, or null when it is no longer in the table and so cannot own keys. */
function enteredOwner(table: OwnershipTable, owner: Address | null): Address | null {
  return owner !== null && table.hosts[owner] !== undefined ? owner : null;
}
