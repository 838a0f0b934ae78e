/**
 * Simulated daemon: the real parts that decide which server owns keys, with simulated clocks, network and server.
 */
import { Buffer } from "node:buffer";
import { Result } from "true-myth";
import {
  type GrantOrder,
  type GrantRows,
  type Order,
  type ReleaseOrder,
  type ServerReport,
  type ServerWire,
  type Store,
} from "@bulrushwood/deployment";
import {
  handleStoreCall,
  KeyedFollower,
  RelayedStore,
  SYSTEM_TOPIC,
  TableStore,
} from "@bulrushwood/ledger_store";
import {
  type GrantContext,
  GrantManager,
  OrderChannel,
  type OrderConnection,
  type OrderResponse,
  ReportChannel,
  type ReportRules,
  TenureManager,
} from "@bulrushwood/lease_ranges";
import {
  SuspensionDetector,
  VoteManager,
  VOTER_STORE_TIMEOUT_MS,
  type VoteRules,
} from "@bulrushwood/lease_votes";
import { type DaemonStatus, Heartbeats } from "@bulrushwood/membership_beats";
import { type Candidate, RangePlanner } from "@bulrushwood/planner_ranges";
import type { KeyedStoreService } from "@bulrushwood/stand_ins";
import type { Random } from "@bulrushwood/types";
import type { ProcessClock } from "./process_clock.ts";

const SERVICE = "service";
const SLOTS = 4;
const ROWS_MAX = 90;

/** Sends a call to a peer over the simulated network. */
export type SendCall = (
  from: SimDaemon,
  peer: string,
  call: { method: string; payload: unknown; timeoutMs: number },
) => Promise<Result<unknown, Error>>;

/** Sends an order to the daemon's backend server. */
export type SendOrder = (
  from: SimDaemon,
  message: { kind: "grant"; order: GrantOrder } | { kind: "release"; order: ReleaseOrder },
  options: { timeoutMs: number },
) => Promise<Result<OrderResponse, Error>>;

export interface SimDaemonOptions {
  address: string;
  incarnation: string;
  clock: ProcessClock;
  store: KeyedStoreService;
  reachesStore: () => boolean;
  serverId: () => string;
  members: string[];
  sendCall: SendCall;
  sendOrder: SendOrder;
  /** Rules for grants in responses to status reports; undefined if grants are sent as orders. */
  reportRules: ReportRules | undefined;
  /** Time for which votes last that name none, in milliseconds. */
  supportMs: number;
  /** Returns how long votes should last now, in milliseconds; at most `supportMsMax`. */
  requestedMs: () => number;
  supportMsMax: number;
  rules: VoteRules;
  random: Random;
}

const ORDER_FORMAT = {
  grant: (order: GrantOrder) => encodeOrder({ kind: "grant", order }),
  release: (order: ReleaseOrder) => encodeOrder({ kind: "release", order }),
  readHandover: () => undefined,
  isOutdated: (status: number) => status === 409,
} as unknown as ServerWire;

function encodeOrder(content: object): Order {
  return { method: "POST", path: "/", headers: {}, body: Buffer.from(JSON.stringify(content)) };
}

/** Daemon of a run, with one backend server. */
export class SimDaemon {
  readonly options: SimDaemonOptions;
  readonly heartbeats: Heartbeats;
  readonly grantManager: GrantManager;
  readonly #table: TableStore;
  readonly #follower: KeyedFollower;
  readonly #tenureManager: TenureManager;
  readonly #planner: RangePlanner;
  readonly #directStore: Store;
  readonly #relayedStore: RelayedStore;
  #reportChannel: ReportChannel | undefined;
  /** Sequence number of the last status report that was handled. */
  #lastSequence = 0;

  constructor(options: SimDaemonOptions) {
    this.options = options;
    const { address, incarnation, clock, store, rules, random } = options;
    const { now, sleep } = clock;
    this.#directStore = store.connect(options.reachesStore);
    const relayedStore = new RelayedStore({
      direct: this.#directStore,
      now,
      peers: () => this.#storePeers(),
      call: (peer, method, payload, { timeoutMs }) =>
        options.sendCall(this, peer, { method, payload, timeoutMs }),
      onDirect: () => {},
    });
    this.#relayedStore = relayedStore;
    this.#follower = new KeyedFollower({
      store: relayedStore,
      topic: SYSTEM_TOPIC,
      now,
      sleep,
      waitMs: () => 2_000,
      onReachable: () => {},
    });
    const table = new TableStore({
      store: relayedStore,
      follower: this.#follower,
      now,
      sleep,
      service: SERVICE,
      random,
      onCorrupt: () => {},
    });
    this.#table = table;
    this.#tenureManager = new TenureManager({
      self: address,
      incarnation,
      now,
      sleep,
      table,
      supportMs: options.requestedMs,
      supportMsMax: () => options.supportMsMax,
      candidates: () => this.#voterCandidates(),
      server: () => ({ id: options.serverId(), bornMs: 1, slots: SLOTS }),
      rules,
    });
    this.grantManager = new GrantManager({
      self: address,
      now,
      sleep,
      table,
      tenure: this.#tenureManager,
      suspension: new SuspensionDetector(now, clock.timeOfDay),
      openChannel: (context) => this.#openChannel(context),
      server: () => ({ id: options.serverId(), bornMs: 1 }),
      grantMsMax: 10_000,
      busyKeys: () => [],
      hasServerEnded: () => Promise.resolve(false),
      onSuspended: () => {},
      onFailed: () => {},
    });
    const voteManager = new VoteManager({
      now,
      rules,
      isOwn: (tenure) => this.#tenureManager.isOwn(tenure),
      mustReject: (tenure) =>
        now() - this.#follower.confirmedAt > VOTER_STORE_TIMEOUT_MS ||
        Object.values(table.table.value.hosts).some((host) =>
          host.tenure === tenure && host.isSuspected
        ),
    });
    this.heartbeats = new Heartbeats({
      self: address,
      service: SERVICE,
      incarnation,
      now,
      sleep,
      call: (peer, method, payload, { timeoutMs }) =>
        options.sendCall(this, peer, { method, payload, timeoutMs }),
      voteManager,
      supportMs: options.supportMs,
      unkeyedServices: () => new Set(),
      requiredPeers: () => this.#tenureManager.voters,
      status: () => this.#status(),
      createHeartbeat: (peer) => ({
        ...this.#status(),
        tenures: this.#tenureManager.tenuresFor(peer),
        supportMs: this.#tenureManager.supportMs,
        storeEnds: [this.#follower.end],
        entry: null,
        wantsStatus: false,
        wantsNews: false,
      }),
      storeEnds: () => [this.#follower.end],
      onSupport: (peer, reply, vote) => {
        const support = { tenures: reply.supported, ...vote };
        this.#tenureManager.recordSupport(peer, reply.incarnation, support);
      },
      onBehind: () => {},
    });
    this.#planner = new RangePlanner({
      self: address,
      service: SERVICE,
      now,
      sleep,
      table,
      heartbeats: this.heartbeats,
      mayPlan: () => this.#follower.isReachable,
      candidates: () => this.#ownerCandidates(),
      call: () => Promise.resolve(Result.ok(null)),
      transferOwn: () => {},
      onEvent: () => {},
    });
  }

  #status(): DaemonStatus {
    const { address, incarnation } = this.options;
    return {
      address,
      incarnation,
      service: SERVICE,
      dataCentre: "",
      isLeaving: false,
      isServing: true,
      acceptsCallers: true,
      hasStore: this.#follower.isReachable && this.#relayedStore.isDirect,
      server: null,
    };
  }

  #openChannel(context: GrantContext): OrderChannel | ReportChannel {
    const { reportRules, sendOrder } = this.options;
    if (reportRules === undefined) {
      const send: OrderConnection["send"] = (order, limits) =>
        sendOrder(this, JSON.parse(order.body.toString()), limits);
      const connect = () => Promise.resolve({ send, release: () => {} });
      return new OrderChannel(context, { wire: ORDER_FORMAT, connect, sendRelease: send });
    }
    this.#reportChannel = new ReportChannel(context, {
      holdOpenMs: 0,
      rowsMax: ROWS_MAX,
      rules: reportRules,
    });
    return this.#reportChannel;
  }

  /** Handles a status report of the server; one that is not newer than the last is ignored, as by a real daemon. */
  async handleReport(report: ServerReport): Promise<GrantRows | undefined> {
    if (report.sequence <= this.#lastSequence) {
      return undefined;
    }
    this.#lastSequence = report.sequence;
    const response = await this.#reportChannel?.respond(report, { mayWait: false });
    response?.recordSent();
    return response?.grants;
  }

  /** Starts all tasks and the heartbeats to all members. */
  start(): void {
    this.#follower.start();
    this.#tenureManager.start();
    this.grantManager.start();
    this.#planner.start();
    this.options.members.forEach((member) =>
      this.heartbeats.add({
        address: member,
        incarnation: "",
        service: SERVICE,
        dataCentre: "",
        instance: member,
      })
    );
  }

  /** Handles a call from a peer and returns the reply. */
  handleCall(method: string, payload: unknown): unknown {
    return handleStoreCall(this.#directStore, method, payload) ??
      this.heartbeats.handleCall(method, payload);
  }

  #storePeers(): string[] {
    return [...this.heartbeats.peers]
      .filter(([address, { status }]) => status.hasStore && this.heartbeats.isResponsive(address))
      .map(([address]) => address);
  }

  /** Transfers the first half of the first own range to another daemon, if the table has that daemon. */
  transferSome(to: string): void {
    const [range] = this.grantManager.ownRanges;
    if (range !== undefined && this.#table.table.value.hosts[to] !== undefined) {
      const middle = (range.first + range.last) >> 1;
      this.grantManager.transfer(
        () => [{ first: range.first, last: middle, to, handover: null }],
        { leave: false, isServerLost: false },
      );
    }
  }

  #voterCandidates() {
    return [...this.heartbeats.peers]
      .filter(([address]) => this.heartbeats.isResponsive(address))
      .map(([address, { status }]) => ({ address, incarnation: status.incarnation }));
  }

  #ownerCandidates(): Candidate[] {
    const others = [...this.heartbeats.peers.keys()]
      .filter((address) => this.heartbeats.isResponsive(address));
    return [this.options.address, ...others].map((address) => ({
      address,
      slots: SLOTS,
      serviceMs: 0,
      rate: 0,
      waiting: 0,
      isCold: false,
      keys: 1,
      pieces: [],
    }));
  }
}
