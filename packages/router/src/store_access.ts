/**
 * One daemon's access to the store: the client, which goes through peers while the store is out of reach, the followers
 * of the topics, and the ownership tables of all services.
 */
import type { Adapter, DeploymentSettings, Store } from "@bulrushwood/deployment";
import {
  handleStoreCall,
  KeyedFollower,
  type KeyedRecord,
  type OwnershipTable,
  READ_OVERDUE_MS,
  RelayedStore,
  SYSTEM_TOPIC,
  TableStore,
} from "@bulrushwood/ledger_store";
import { VOTER_STORE_TIMEOUT_MS } from "@bulrushwood/lease_votes";
import { type Address, type CallPeer, now, sleep } from "@bulrushwood/types";
import { countCalls, type StoreCall } from "./counted_store.ts";
import { Event, type EventLog } from "./event_log.ts";

/**
 * Longest wait of a read of the store at a reader, in milliseconds. A read on a connection that has gone silent is
 * noticed only when it is overdue, and changes must be in force within 2 s.
 */
const READER_WAIT_MS = 1_500;
/**
 * The same at all other daemons, in milliseconds. They get the records from peers when their own connection has gone
 * silent, but stop to vote some time after their last read.
 */
const READ_WAIT_MS = 4_000;
/**
 * Time between reads of the system topic in a large deployment, in milliseconds. Each read costs the store and a small
 * machine time. New owners of keys get the record from its writer, and callers' daemons learn of them from the old owner.
 */
const READ_PACE_MS = 2_000;
/** The same at the daemon that plans. */
const PLANNER_READ_PACE_MS = 500;
/**
 * Time after the start in which the system topic is read at intervals also while only few daemons are known, and that
 * interval, in milliseconds: daemons mostly start together, and each of their records would end the reads of all.
 */
const START_MS = 3_000;
const START_READ_PACE_MS = 300;
/** Longest wait of a read of manifests in a large deployment, where peers pass on what a silent connection does not bring. */
const LARGE_READ_WAIT_MS = 10_000;
/** Margin beyond the time of an overdue read after which the store counts as unreachable, in milliseconds. */
const STORE_MARGIN_MS = 700;

export interface StoreAccessOptions {
  adapter: Adapter;
  settings: DeploymentSettings;
  /** Returns the peers that can reach the store, in the order to try them. */
  peers: () => Address[];
  call: CallPeer;
  /** Whether the deployment is small, so that each change is read at once. */
  isFullMesh: () => boolean;
  /** Whether this daemon is one of the few that notice soon when their reads have no response. */
  isReader: () => boolean;
  /** Called before each direct call to the store. */
  onCall: (call: StoreCall) => void;
  /** Whether this daemon plans, so that its view of the owners should be new. */
  isPlanner: () => boolean;
  /** Called with each record of an ownership table that this daemon wrote, and the tables before and after it. */
  onWritten: (
    record: KeyedRecord,
    tables: { before: OwnershipTable; after: OwnershipTable },
  ) => void;
  log: EventLog;
}

/** The store as one daemon sees it. */
export class StoreAccess {
  readonly #options: StoreAccessOptions;
  /** Client of this instance without relays; serves the store calls of peers. */
  readonly #direct: Store;
  readonly store: RelayedStore;
  /** Follower of the topic that contains the manifest. */
  readonly manifests: KeyedFollower;
  /** Follower of the topic that contains the ownership tables and the records of all daemons. */
  readonly system: KeyedFollower;
  readonly #tables = new Map<string, TableStore>();
  readonly #startedAt = now();

  constructor(options: StoreAccessOptions) {
    this.#options = options;
    const { adapter, settings, peers, call, log } = options;
    this.#direct = countCalls(adapter.openStore(settings), options.onCall);
    this.store = new RelayedStore({
      direct: this.#direct,
      now,
      call,
      peers,
      onDirect: (isDirect, reason) => log(Event.StoreRelayed, { isRelayed: !isDirect, reason }),
      onReconnected: (reason) => log(Event.StoreReconnected, { reason }),
      onEra: (era) => [this.manifests, this.system].forEach((follower) => follower.noteEra(era)),
    });
    this.manifests = this.#follow(adapter.manifestLocation.topic);
    this.system = this.#follow(SYSTEM_TOPIC);
  }

  #follow(topic: string): KeyedFollower {
    const { log } = this.#options;
    return new KeyedFollower({
      store: this.store,
      topic,
      now,
      sleep,
      waitMs: () => this.#readWaitMs(topic),
      paceMs: () => this.#readPaceMs(topic),
      isReadOnly: topic !== SYSTEM_TOPIC,
      onWentBack: (offsets) => log(Event.StoreWentBack, { topic, ...offsets }),
      onReachable: (isReachable, reason) => {
        log(isReachable ? Event.StoreReachable : Event.StoreLost, { topic, reason });
      },
    });
  }

  /** Returns the longest wait of the next read. */
  #readWaitMs(topic: string): number {
    const { isFullMesh, isReader } = this.#options;
    if (isReader()) {
      return READER_WAIT_MS;
    }
    return topic === SYSTEM_TOPIC || isFullMesh() ? READ_WAIT_MS : LARGE_READ_WAIT_MS;
  }

  /** Returns the time between reads; large deployments read changes in batches, a few times a second. */
  #readPaceMs(topic: string): number {
    const { isFullMesh, isPlanner } = this.#options;
    if (topic !== SYSTEM_TOPIC) {
      return 0;
    }
    if (isFullMesh()) {
      return now() - this.#startedAt < START_MS ? START_READ_PACE_MS : 0;
    }
    return isPlanner() ? PLANNER_READ_PACE_MS : READ_PACE_MS;
  }

  /** Returns the ownership table of a service. */
  tableOf(service: string): TableStore {
    const existing = this.#tables.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const table = new TableStore({
      store: this.store,
      follower: this.system,
      now,
      sleep,
      service,
      random: Math.random,
      onWritten: this.#options.onWritten,
      onCorrupt: (reason) => this.#options.log(Event.TableCorrupt, { service, reason }),
    });
    this.#tables.set(service, table);
    return table;
  }

  /** Ownership tables that this daemon follows, by service. */
  get tables(): ReadonlyMap<string, TableStore> {
    return this.#tables;
  }

  /** Whether the store responds; an overdue read is noticed here before it times out. */
  get isReachable(): boolean {
    const sinceMs = now() - this.system.repliedAt;
    const overdueMs = this.system.readWaitMs + READ_OVERDUE_MS + STORE_MARGIN_MS;
    return this.system.isReachable && sinceMs < overdueMs;
  }

  /** Whether the store responds to this instance directly; only such daemons plan, so that there is one planner. */
  get isReachableDirectly(): boolean {
    return this.isReachable && this.store.isDirect;
  }

  /** Whether the daemon knows all records that an earlier process of it wrote. */
  get hasReadAll(): boolean {
    return this.system.confirmedAt > Number.NEGATIVE_INFINITY;
  }

  /** A voter rejects suspected tenures, and all tenures while its view of the store is too old. */
  mustReject(tenure: string): boolean {
    if (now() - this.system.confirmedAt > VOTER_STORE_TIMEOUT_MS) {
      return true;
    }
    return [...this.#tables.values()].some(({ table }) =>
      Object.values(table.value.hosts).some((host) => host.tenure === tenure && host.isSuspected)
    );
  }

  /** Makes a store call for a peer; returns undefined when the method is not a store call. */
  handleCall(method: string, payload: unknown): Promise<unknown> | undefined {
    return handleStoreCall(this.#direct, method, payload);
  }

  /** Starts to follow the topics; resolves once both have been read. */
  async start(): Promise<void> {
    await Promise.all([this.manifests.start(), this.system.start()]);
  }

  /** Stops following the topics. */
  async stop(): Promise<void> {
    await Promise.all([this.manifests.close(), this.system.close()]);
  }

  /** Closes the tables and the client. */
  close(): void {
    this.#tables.forEach((table) => table.close());
    this.store.close();
  }
}
