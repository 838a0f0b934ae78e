/**
 * Grants the keys that this daemon owns to the backend server beside it, renews the grants while the tenure
 * is supported, and gives keys away. A grant never runs past the support. Keys are given away in this order:
 * no new work, release at the server, then the change in the store; nobody else may change their owner.
 */
import type { IncomingHttpHeaders } from "node:http";
import { firstValueFrom, race, Subject, timer } from "rxjs";
import type { Result } from "true-myth";
import type { Order, ServerIdentity, ServerWire } from "@bulrushwood/deployment";
import {
  assign,
  type Assignment,
  ChangeOutcome,
  type KeySpan,
  overlaps,
  type OwnershipTable,
  type Range,
  rangeOf,
  rangesOf,
  removeHost,
  type TableStore,
} from "@bulrushwood/ledger_store";
import { SUPPORT_MS, type SuspensionDetector } from "@bulrushwood/lease_votes";
import { type Address, type Clock, createStop, type Sleep } from "@bulrushwood/types";
import type { TenureKeeper } from "./tenure_keeper.ts";

/** How often grants are renewed, in milliseconds; several times in the time of one grant. */
const RENEW_MS = 350;
/** A server's clock may run this much slower than ours, as a share. */
const CLOCK_SLOWNESS = 0.02;
/** A grant ends so long before the support that it rests on, in milliseconds; covers its way to the server. */
const GRANT_MARGIN_MS = 50;
/** A grant shorter than this is not worth sending, in milliseconds. */
const GRANT_MIN_MS = 100;
/** Time limit of an order, in milliseconds; the server is on the same instance. */
const ORDER_TIMEOUT_MS = 400;
/** Pause before an order is sent again, in milliseconds. */
const ORDER_RETRY_MS = 60;
const STATUS_OK = 200;

/** What the server answered to an order. */
export interface OrderAnswer {
  status: number;
  headers: IncomingHttpHeaders;
}

/** Sends an order to the server beside this daemon. */
export type SendOrder = (
  order: Order,
  options: { timeoutMs: number },
) => Promise<Result<OrderAnswer, Error>>;

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
  wire: ServerWire;
  /** The server that takes orders now; undefined while there is none. */
  server: () => ServerIdentity | undefined;
  send: SendOrder;
  grantMsMax: number;
  /** Told of time that the instance was suspended, in milliseconds. */
  onSuspended: (ms: number) => void;
  /** Told of orders that failed. */
  onFailed: (order: string, reason: string, range: KeySpan) => void;
}

/** A grant for neighbouring keys, as far as this daemon knows. Times are by this process's clock. */
interface Grant extends KeySpan {
  epoch: number;
  /** When a confirmed grant ends. */
  until: number;
  /** Whether the server has confirmed a grant. */
  isConfirmed: boolean;
  /** The call that is under way. */
  call: Promise<void> | undefined;
}

/** One order to grant keys. The server may carry it out late unless it has answered. */
interface SentGrant extends KeySpan {
  /** When it has ended at the server for certain, by this process's clock. */
  endsBy: number;
  isAnswered: boolean;
  /** Resolves when it is answered or its time limit has passed. */
  done: Promise<unknown>;
}

/** The grants of one daemon. */
export class Granting {
  readonly #options: GrantingOptions;
  /** One for each run of own keys that are not being given away, in order of key. */
  #grants: Grant[] = [];
  /** Orders that can still have an effect at the server, whatever became of the keys here since. */
  #sent: SentGrant[] = [];
  readonly #changed = new Subject<void>();
  readonly #stop = createStop();
  readonly #subscription;
  /** Keys that are being given away. */
  #closing: KeySpan[] = [];
  #task: Promise<void> | undefined;
  /** When grants that an earlier process at this address gave have ended for certain. */
  readonly #earlierEndBy: number;

  constructor(options: GrantingOptions) {
    this.#options = options;
    this.#earlierEndBy = options.now() + SUPPORT_MS * (1 + CLOCK_SLOWNESS) + GRANT_MARGIN_MS;
    this.#subscription = options.table.table.subscribe(() => {
      this.#reshape();
    });
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
      this.#renewAll();
      await this.#options.sleep(RENEW_MS, this.#stop.signal);
    }
  }

  #renewAll(): void {
    this.#grants.forEach((grant) => this.#renew(grant));
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
    this.#renewAll();
    this.#changed.next();
  }

  /** The longest grant that the present support allows, in milliseconds. */
  #grantableMs(): number {
    const { tenure, suspension, now, grantMsMax, server, table, self } = this.#options;
    const suspendedMs = suspension.check();
    if (suspendedMs > 0) {
      tenure.forgetSupport();
      this.#options.onSuspended(suspendedMs);
    }
    const present = server();
    const entered = table.table.value.hosts[self]?.server;
    if (present === undefined || present.id !== entered?.id || present.bornMs !== entered.bornMs) {
      return 0;
    }
    const supportedMs = tenure.supportedUntil - now() - GRANT_MARGIN_MS;
    return Math.min(grantMsMax, supportedMs / (1 + CLOCK_SLOWNESS));
  }

  #renew(grant: Grant): void {
    if (grant.call === undefined && this.#grantableMs() >= GRANT_MIN_MS) {
      grant.call = this.#send(grant).finally(() => grant.call = undefined);
    }
  }

  /** Sends a grant until it is answered, or the keys take another shape. */
  async #send(grant: Grant): Promise<void> {
    const { sleep } = this.#options;
    while (!this.#stop.signal.aborted && this.#grants.includes(grant)) {
      const durationMs = this.#grantableMs();
      if (durationMs < GRANT_MIN_MS || await this.#sendOnce(grant, durationMs)) {
        return;
      }
      await sleep(ORDER_RETRY_MS, this.#stop.signal);
    }
  }

  async #sendOnce(grant: Grant, durationMs: number): Promise<boolean> {
    const { wire, send, now, onFailed, self, table } = this.#options;
    const { first, last, epoch } = grant;
    const { handover } = rangeOf(table.table.value, first);
    const order = wire.grant({
      first,
      last,
      epoch,
      durationMs,
      handover: grant.isConfirmed ? undefined : handover ?? undefined,
    });
    const until = now() + durationMs;
    const answering = send(order, { timeoutMs: ORDER_TIMEOUT_MS });
    const endsBy = until + durationMs * CLOCK_SLOWNESS + GRANT_MARGIN_MS;
    const sent: SentGrant = { first, last, endsBy, isAnswered: false, done: answering };
    this.#sent = this.#sent.filter((earlier) => earlier.endsBy > now()).concat(sent);
    const answered = await answering;
    sent.isAnswered = answered.isOk;
    if (answered.isOk && answered.value.status === STATUS_OK) {
      const isFirst = !grant.isConfirmed;
      grant.until = until;
      grant.isConfirmed = true;
      if (isFirst) {
        this.#changed.next();
      }
      return true;
    }
    onFailed(
      "grant",
      answered.isOk ? `status ${answered.value.status}` : answered.error.message,
      grant,
    );
    if (answered.isOk && wire.isOutdated(answered.value.status)) {
      await table.change((current) => renewEpoch(current, grant, self));
    }
    return false;
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
    const released = new Map<KeySpan, Assignment>();
    const outcomes = await Promise.all(assignments.map(async (assignment) => {
      released.set(assignment, await this.#release(assignment, options));
      return await this.#passOn(released, options);
    }));
    if (outcomes.length === 0) {
      return await this.#passOn(released, options);
    }
    return outcomes.includes(ChangeOutcome.Done) ? ChangeOutcome.Done : outcomes[0];
  }

  /** Writes new owners of all that is released by then; until that is done nothing of it is granted again. */
  async #passOn(
    released: Map<KeySpan, Assignment>,
    options: { leave: boolean },
  ): Promise<ChangeOutcome> {
    let written: KeySpan[] = [];
    const outcome = await this.#options.table.change((table) => {
      written = [...released.keys()];
      return this.#handOver(table, [...released.values()], options);
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
    assignment: Assignment,
    options: { isServerGone: boolean },
  ): Promise<Assignment> {
    const { wire, send, now, sleep, onFailed, table } = this.#options;
    const sent = this.#sent.filter((grant) => overlaps(grant, assignment));
    await Promise.all(sent.map(({ done }) => done));
    const { first, last } = assignment;
    const endsBy = Math.max(this.#earlierEndBy, ...sent.map((grant) => grant.endsBy));
    if (options.isServerGone) {
      await sleep(Math.max(0, endsBy - now()));
      return { ...assignment, handover: null };
    }
    const { epoch } = rangeOf(table.table.value, first);
    const order = wire.release({ first, last, epoch });
    while (now() < endsBy) {
      const answered = await send(order, { timeoutMs: Math.max(1, endsBy - now()) });
      if (answered.isOk && answered.value.status === STATUS_OK) {
        await this.#awaitUnanswered(sent);
        return { ...assignment, handover: wire.readHandover(answered.value.headers) ?? null };
      }
      const reason = answered.isOk ? `status ${answered.value.status}` : answered.error.message;
      onFailed("release", reason, assignment);
      await sleep(ORDER_RETRY_MS);
    }
    return { ...assignment, handover: null };
  }

  /**
   * A grant that was not answered may take effect after the release, also where a later one was answered;
   * it ends by its own time.
   */
  async #awaitUnanswered(sent: SentGrant[]): Promise<void> {
    const { now, sleep } = this.#options;
    const late = sent.filter(({ isAnswered }) => !isAnswered);
    // Which grants of an earlier process were answered is not known.
    const endsBy = Math.max(this.#earlierEndBy, ...late.map((grant) => grant.endsBy));
    await sleep(Math.max(0, endsBy - now()));
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
    call: undefined,
    first: shape.first,
    last: shape.last,
    epoch: shape.epoch,
  };
}

function encloses(outer: KeySpan, inner: KeySpan): boolean {
  return outer.first <= inner.first && inner.last <= outer.last;
}

/** What is left of a span without some others. */
function without(span: KeySpan, others: KeySpan[]): KeySpan[] {
  let rest: KeySpan[] = [{ first: span.first, last: span.last }];
  for (const other of others) {
    rest = rest.flatMap((piece) =>
      !overlaps(piece, other) ? [piece] : [
        { first: piece.first, last: other.first - 1 },
        { first: other.last + 1, last: piece.last },
      ].filter(({ first, last }) => first <= last)
    );
  }
  return rest;
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
