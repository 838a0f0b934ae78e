/**
 * Grants the keys that this daemon owns to the backend server beside it, renews the grants while the tenure
 * is supported, and gives keys away. A grant never runs past the support. Keys are given away in this order:
 * no new work, release at the server, then the change in the store; nobody else may change their owner.
 */
import { firstValueFrom, race, Subject, timer } from "rxjs";
import { isSameLife, type ServerIdentity } from "@bulrushwood/deployment";
import {
  assign,
  type Assignment,
  ChangeOutcome,
  encloses,
  type KeySpan,
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
import { type Address, type Clock, createStop, type Sleep } from "@bulrushwood/types";
import {
  endOfGrant,
  type Grant,
  type GrantChannel,
  type GrantContext,
  grantMsUntil,
  type Handover,
  type OpenGrantChannel,
} from "./grant_channel.ts";
import type { TenureKeeper } from "./tenure_keeper.ts";

/** How often grants are renewed, in milliseconds; several times in the time of one grant. */
const RENEW_MS = 350;

/** Whether a key may be served by the server beside this daemon. */
export enum KeyState {
  /** The server holds a grant for it. */
  Granted = "granted",
  /** It belongs here, and a grant is on its way. */
  Pending = "pending",
  /** It is being given away, or nobody owns it. */
  Moving = "moving",
  /** Another daemon owns it. */
  Elsewhere = "elsewhere",
}

/** What granting needs. */
export interface GrantingOptions {
  self: Address;
  now: Clock;
  sleep: Sleep;
  table: TableStore;
  tenure: TenureKeeper;
  suspension: SuspensionDetector;
  /** How long a vote supports a tenure, in milliseconds. */
  supportMs: number;
  openChannel: OpenGrantChannel;
  /** The server that takes orders now; undefined while there is none. */
  server: () => ServerIdentity | undefined;
  grantMsMax: number;
  /** Told of time that the instance was suspended, in milliseconds. */
  onSuspended: (ms: number) => void;
  /** Told of orders that failed. */
  onFailed: (order: string, reason: string, range: KeySpan) => void;
}

/** The grants of one daemon. */
export class Granting {
  readonly #options: GrantingOptions;
  /** One for each run of own keys that are not being given away, in order of key. */
  #grants: Grant[] = [];
  readonly #channel: GrantChannel;
  readonly #changed = new Subject<void>();
  readonly #stop = createStop();
  readonly #subscription;
  /** Keys that are being given away. */
  #closing: KeySpan[] = [];
  #task: Promise<void> | undefined;

  constructor(options: GrantingOptions) {
    this.#options = options;
    this.#channel = options.openChannel(this.#createContext());
    this.#subscription = options.table.table.subscribe(() => {
      this.#reshape();
    });
  }

  #createContext(): GrantContext {
    const { now, sleep, table, supportMs, self, onFailed } = this.#options;
    return {
      now,
      sleep,
      earlierEndBy: endOfGrant(now(), supportMs),
      grants: () => this.#grants,
      grantableMs: (since) => this.#grantableMs(since),
      handoverOf: ({ first }) => rangeOf(table.table.value, first).handover ?? undefined,
      onChanged: () => this.#changed.next(),
      onOutdated: async (grant) => {
        await table.change((current) => renewEpoch(current, grant, self));
      },
      onFailed,
    };
  }

  /** Emits when what the server may serve can have changed. */
  get changed(): Subject<void> {
    return this.#changed;
  }

  /** Starts to renew grants. */
  start(): void {
    this.#task = this.#run();
  }

  /** Whether a key may be served here now. */
  stateOf(key: number): KeyState {
    const { table, self, now } = this.#options;
    const range = rangeOf(table.table.value, key);
    if (range.owner !== self) {
      return range.owner === null ? KeyState.Moving : KeyState.Elsewhere;
    }
    if (this.#closing.some((span) => span.first <= key && key <= span.last)) {
      return KeyState.Moving;
    }
    const grant = this.#grants.find((known) => known.first <= key && key <= known.last);
    const isGranted = grant !== undefined && grant.isConfirmed && grant.until > now();
    return isGranted ? KeyState.Granted : KeyState.Pending;
  }

  /** The ranges that belong to this daemon. */
  get own(): Range[] {
    return rangesOf(this.#options.table.table.value, this.#options.self);
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#channel.renew();
      await this.#options.sleep(RENEW_MS, this.#stop.signal);
    }
  }

  #isClosing(span: KeySpan): boolean {
    return this.#closing.some((closing) => overlaps(closing, span));
  }

  /** Follows a change of the table or of what is being given away; what stays keeps its grant. */
  #reshape(): void {
    const earlier = this.#grants;
    this.#grants = this.own.flatMap((range) => {
      const { epoch } = range;
      return without(range, this.#closing).map((span) => {
        const known = earlier.find((grant) => grant.epoch === epoch && encloses(grant, span));
        return known !== undefined && encloses(span, known)
          ? known
          : reshaped(known, { ...span, epoch });
      });
    });
    this.#channel.renew();
    this.#changed.next();
  }

  /** The longest grant that the present support allows, in milliseconds counted from `since`. */
  #grantableMs(since: number): number {
    const { tenure, suspension, grantMsMax, server, table, self } = this.#options;
    const suspendedMs = suspension.check();
    if (suspendedMs > 0) {
      tenure.forgetSupport();
      this.#options.onSuspended(suspendedMs);
    }
    const present = server();
    const entered = table.table.value.hosts[self]?.server;
    if (present === undefined || !isSameLife(present, entered)) {
      return 0;
    }
    return Math.min(grantMsMax, grantMsUntil(tenure.supportedUntil, since));
  }

  /**
   * Gives keys away. With `leave` all own keys are given, those that `choose` left out to nobody, and the
   * daemon is taken out of the table. Keys whose work has ended pass on without waiting for the others.
   * Resolves once the store has all changes.
   */
  async give(
    choose: (own: Range[]) => Assignment[],
    options: { leave: boolean; isServerGone: boolean },
  ): Promise<ChangeOutcome> {
    const chosen = choose(this.own);
    const rest = this.own.flatMap((range) => without(range, chosen));
    const others = options.leave ? rest.map((span) => ({ ...span, to: null, handover: null })) : [];
    const assignments = this.#withinOwn([...chosen, ...others]);
    this.#closing.push(...assignments);
    this.#reshape();
    const released = new Map<KeySpan, Assignment[]>();
    const outcomes = await Promise.all(assignments.map(async (assignment) => {
      const handovers = await this.#release(assignment, options);
      released.set(assignment, handovers.map((part) => ({ ...part, to: assignment.to })));
      return await this.#passOn(released, options);
    }));
    if (outcomes.length === 0) {
      return await this.#passOn(released, options);
    }
    return outcomes.includes(ChangeOutcome.Done) ? ChangeOutcome.Done : outcomes[0];
  }

  /** Writes new owners of all that is released by then; until that is done nothing of it is granted again. */
  async #passOn(
    released: Map<KeySpan, Assignment[]>,
    options: { leave: boolean },
  ): Promise<ChangeOutcome> {
    let written: KeySpan[] = [];
    const outcome = await this.#options.table.change((table) => {
      written = [...released.keys()];
      return this.#handOver(table, [...released.values()].flat(), options);
    });
    written.forEach((span) => released.delete(span));
    this.#closing = this.#closing.filter((span) => !written.includes(span));
    this.#reshape();
    return outcome;
  }

  /** Cuts assignments at the borders of own ranges; keys that are already being given away are left out. */
  #withinOwn(assignments: Assignment[]): Assignment[] {
    const cut: Assignment[] = [];
    for (const assignment of assignments) {
      for (const range of this.own) {
        const first = Math.max(assignment.first, range.first);
        const last = Math.min(assignment.last, range.last);
        if (first <= last && !this.#isClosing({ first, last })) {
          cut.push({ ...assignment, first, last });
        }
      }
    }
    return cut;
  }

  #handOver(
    table: OwnershipTable,
    handed: Assignment[],
    options: { leave: boolean },
  ): OwnershipTable | undefined {
    const { self } = this.#options;
    const own = handed.filter(({ first }) => rangeOf(table, first).owner === self)
      .map((assignment) => ({ ...assignment, to: knownOwner(table, assignment.to) }));
    const given = own.length === 0 ? table : assign(table, own);
    const isIn = given.hosts[self] !== undefined;
    // Keys that came meanwhile were not released, so the daemon cannot leave yet.
    if (options.leave && isIn && rangesOf(given, self).length === 0) {
      return removeHost(given, self);
    }
    return own.length === 0 ? undefined : given;
  }

  /** Takes keys back from the server; waits until it cannot run work for them any more. */
  async #release(
    { first, last }: KeySpan,
    options: { isServerGone: boolean },
  ): Promise<Handover[]> {
    const { epoch } = rangeOf(this.#options.table.table.value, first);
    return await this.#channel.release({ first, last, epoch }, options);
  }

  /** Resolves at the next change, or after a time. */
  async waitForChange(ms: number): Promise<void> {
    const over = timer(Math.max(0, ms));
    await firstValueFrom(race(this.#changed, over), { defaultValue: undefined });
  }

  /** Stops renewing. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#subscription.unsubscribe();
    this.#channel.close();
    await this.#task;
  }
}

/** A grant for some of the keys of another, or a new one. */
function reshaped(
  known: Grant | undefined,
  shape: KeySpan & { epoch: number },
): Grant {
  return {
    until: known?.until ?? 0,
    isConfirmed: known?.isConfirmed ?? false,
    first: shape.first,
    last: shape.last,
    epoch: shape.epoch,
  };
}

/** A server that knows a newer epoch for own keys gets them again with one above all. */
function renewEpoch(
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

/** A daemon that is no longer entered cannot own keys. */
function knownOwner(table: OwnershipTable, owner: Address | null): Address | null {
  return owner !== null && table.hosts[owner] !== undefined ? owner : null;
}
