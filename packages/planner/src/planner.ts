/**
 * Proposes changes of placement. Any daemon may plan; a claim in the log decides whose proposals take
 * effect, and those of a stale planner have none.
 */
import { Result } from "true-myth";
import {
  type Address,
  type Clock,
  createStop,
  type Group,
  type Incarnation,
  type Offset,
  type Sleep,
} from "@bulrushwood/types";
import {
  type Entry,
  type Instance,
  type Ledger,
  type LedgerError,
  type PoolTable,
  Presence,
  RecordKind,
  toRanges,
} from "@bulrushwood/ledger";
import { type Plan, planPool } from "./placement.ts";

const PLAN_INTERVAL_MS = 150;
/** Time for the holder of a new group to gather votes before shards are moved to it, in milliseconds. */
const ESTABLISH_MS = 300;
const SUBMIT_TIMEOUT_MS = 3_000;
/** Largest number of records that one plan appends. */
const RECORDS_PER_PLAN_MAX = 48;

/** Settings and dependencies of a planner. Times are in milliseconds. */
export interface PlannerOptions {
  ledger: Ledger;
  address: Address;
  incarnation: Incarnation;
  now: Clock;
  sleep: Sleep;
  submit: (
    entry: Entry,
    options: { timeoutMs: number },
  ) => Promise<Result<Offset, LedgerError>>;
  newId: () => string;
  /** Whether this daemon has recently read the log to its end. */
  isUpToDate: () => boolean;
  /** Time without a change of membership that must pass before a plan is made. */
  settleMs: number;
}

/** Plans while this daemon has the claim, and takes the claim when no active daemon has it. */
export class Planner {
  readonly #options: PlannerOptions;
  readonly #stop = createStop();
  readonly #subscription;
  #membershipChangedAt: number;
  /** When groups created since this daemon started were seen, on its own clock in milliseconds. */
  readonly #groupsSeenAt = new Map<Group, number>();
  /** Whether a new plan is needed: the log has changed since the last plan that had nothing left to do. */
  #needsPlan = true;
  #task: Promise<void> | undefined;

  constructor(options: PlannerOptions) {
    this.#options = options;
    this.#membershipChangedAt = options.now();
    this.#subscription = options.ledger.changes.subscribe(({ entry, offset }) => {
      this.#needsPlan = true;
      if (entry?.kind === RecordKind.GroupCreated) {
        this.#groupsSeenAt.set(offset, options.now());
      } else if (entry?.kind === RecordKind.GroupRetired) {
        this.#groupsSeenAt.delete(entry.group);
      }
      if (
        entry?.kind === RecordKind.InstanceJoined ||
        entry?.kind === RecordKind.ServerChanged
      ) {
        this.#membershipChangedAt = options.now();
      }
    });
  }

  /** Starts to plan periodically. */
  start(): void {
    this.#task = this.#run();
  }

  /** Whether this daemon has the claim, so that its proposals take effect. */
  get hasClaim(): boolean {
    const { ledger, incarnation } = this.#options;
    return ledger.claim?.incarnation === incarnation;
  }

  async #run(): Promise<void> {
    const { sleep, isUpToDate } = this.#options;
    while (!this.#stop.signal.aborted) {
      await sleep(PLAN_INTERVAL_MS, this.#stop.signal);
      if (!isUpToDate() || this.#stop.signal.aborted) {
        continue;
      }
      if (this.hasClaim) {
        await this.#plan();
      } else if (this.#shouldClaim()) {
        await this.#claim();
      }
    }
  }

  /** Whether to take the claim: its owner is no longer present, and this daemon is the first one present. */
  #shouldClaim(): boolean {
    const { ledger, address } = this.#options;
    const claim = ledger.claim;
    const planner = claim === undefined ? undefined : ledger.activeInstance(claim.address);
    if (
      planner?.incarnation === claim?.incarnation &&
      planner?.presence === Presence.Present
    ) {
      return false;
    }
    return this.#presentInstances()[0]?.address === address;
  }

  #presentInstances(): Instance[] {
    const instances = [...this.#options.ledger.instances.values()];
    const present = instances.filter((instance) => instance.presence === Presence.Present);
    return present.sort((left, right) => left.address < right.address ? -1 : 1);
  }

  async #claim(): Promise<void> {
    const { ledger, address, incarnation, newId } = this.#options;
    await this.#submit({
      id: newId(),
      kind: RecordKind.PlannerClaimed,
      expects: ledger.claim?.claim ?? 0,
      address,
      incarnation,
    });
  }

  async #plan(): Promise<void> {
    const { ledger, now, settleMs } = this.#options;
    if (!this.#needsPlan || now() - this.#membershipChangedAt < settleMs) {
      return;
    }
    this.#needsPlan = false;
    const claim = ledger.claim!.claim;
    for (const table of ledger.pools.values()) {
      await this.#planPool(table, claim);
    }
  }

  async #planPool(table: PoolTable, claim: number): Promise<void> {
    const isEstablished = (group: Group) => this.#isEstablished(group);
    const plan = planPool(this.#options.ledger, table, { isEstablished });
    const entries = this.#toEntries(plan, claim);
    this.#needsPlan ||= entries.length > 0 || plan.isWaiting;
    const batch = entries.slice(0, RECORDS_PER_PLAN_MAX);
    await Promise.all(batch.map((entry) => this.#submit(entry)));
  }

  #isEstablished(group: Group): boolean {
    const seenAt = this.#groupsSeenAt.get(group);
    return seenAt === undefined || this.#options.now() - seenAt >= ESTABLISH_MS;
  }

  #toEntries(plan: Plan, claim: number): Entry[] {
    const { newId } = this.#options;
    const { pool } = plan;
    const created = plan.create.map((members): Entry => (
      { id: newId(), kind: RecordKind.GroupCreated, claim, pool, members }
    ));
    const moved = plan.moves.map(({ shards, from, to, cause }): Entry => {
      const kind = RecordKind.ShardsMoved as const;
      return {
        id: newId(),
        kind,
        claim,
        pool,
        shards: toRanges(shards),
        from,
        to,
        cause,
      };
    });
    const retired = plan.retire.map((group): Entry => (
      { id: newId(), kind: RecordKind.GroupRetired, claim, group }
    ));
    return [...created, ...moved, ...retired];
  }

  async #submit(entry: Entry): Promise<void> {
    if (!this.#stop.signal.aborted) {
      await this.#options.submit(entry, { timeoutMs: SUBMIT_TIMEOUT_MS });
    }
  }

  /** Stops planning and waits for the running plan. */
  async close(): Promise<void> {
    this.#stop.abort();
    this.#subscription.unsubscribe();
    await this.#task;
  }
}
