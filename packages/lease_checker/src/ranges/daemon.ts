/**
 * One simulated daemon: the real parts that decide who owns keys, on simulated clocks, network and server.
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
import type { ProcessClock } from "./clock.ts";

const SERVICE = "service";
const SLOTS = 4;
const ROWS_MAX = 90;

/** Carries a call to a peer. */
export type CarryCall = (
  from: SimDaemon,
  peer: string,
  call: { method: string; payload: unknown; timeoutMs: number },
) => Promise<Result<unknown, Error>>;

/** Carries an order to the daemon's server. */
export type CarryOrder = (
  from: SimDaemon,
  sent: { kind: "grant"; order: GrantOrder } | { kind: "release"; order: ReleaseOrder },
  options: { timeoutMs: number },
) => Promise<Result<OrderResponse, Error>>;

/** How to make a daemon. */
export interface SimDaemonOptions {
  address: string;
  incarnation: string;
  clock: ProcessClock;
  store: KeyedStoreService;
  reachesStore: () => boolean;
  serverId: () => string;
  members: string[];
  carryCall: CarryCall;
  carryOrder: CarryOrder;
  /** Rules of grants in status reports; undefined where grants are orders. */
  reportRules: ReportRules | undefined;
  supportMs: number;
  rules: VoteRules;
  random: Random;
}

const WIRE = {
  grant: (order: GrantOrder) => toOrder({ kind: "grant", order }),
  release: (order: ReleaseOrder) => toOrder({ kind: "release", order }),
  readHandover: () => undefined,
  isOutdated: (status: number) => status === 409,
} as unknown as ServerWire;

function toOrder(sent: object): Order {
  return { method: "POST", path: "/", headers: {}, body: Buffer.from(JSON.stringify(sent)) };
}

/** One daemon. */
export class SimDaemon {
  readonly options: SimDaemonOptions;
  readonly heartbeats: Heartbeats;
  readonly granting: GrantManager;
  readonly #table: TableStore;
  readonly #follower: KeyedFollower;
  readonly #tenure: TenureManager;
  readonly #planner: RangePlanner;
  readonly #directStore: Store;
  readonly #relayed: RelayedStore;
  #reports: ReportChannel | undefined;
  /** Number of the newest report. */
  #sequence = 0;

  constructor(options: SimDaemonOptions) {
    this.options = options;
    const { address, incarnation, clock, store, rules, random } = options;
    const { now, sleep } = clock;
    this.#directStore = store.connect(options.reachesStore);
    const connected = new RelayedStore({
      direct: this.#directStore,
      now,
      peers: () => this.#storePeers(),
      call: (peer, method, payload, { timeoutMs }) =>
        options.carryCall(this, peer, { method, payload, timeoutMs }),
      onDirect: () => {},
    });
    this.#relayed = connected;
    this.#follower = new KeyedFollower({
      store: connected,
      topic: SYSTEM_TOPIC,
      now,
      sleep,
      waitMs: 2_000,
      onReachable: () => {},
    });
    const table = new TableStore({
      store: connected,
      follower: this.#follower,
      now,
      sleep,
      service: SERVICE,
      random,
      onCorrupt: () => {},
    });
    this.#table = table;
    this.#tenure = new TenureManager({
      self: address,
      incarnation,
      now,
      sleep,
      table,
      supportMs: options.supportMs,
      candidates: () => this.#voters(),
      server: () => ({ id: options.serverId(), bornMs: 1, slots: SLOTS }),
      rules,
    });
    this.granting = new GrantManager({
      self: address,
      now,
      sleep,
      table,
      tenure: this.#tenure,
      suspension: new SuspensionDetector(now, clock.timeOfDay),
      supportMs: options.supportMs,
      openChannel: (context) => this.#openChannel(context),
      server: () => ({ id: options.serverId(), bornMs: 1 }),
      grantMsMax: 10_000,
      onSuspended: () => {},
      onFailed: () => {},
    });
    const ballotBox = new VoteManager({
      now,
      supportMs: options.supportMs,
      rules,
      isOwn: (tenure) => this.#tenure.isOwn(tenure),
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
        options.carryCall(this, peer, { method, payload, timeoutMs }),
      voteManager: ballotBox,
      unkeyedServices: () => new Set(),
      requiredPeers: () => this.#tenure.voters,
      status: () => this.#status(),
      createHeartbeat: (peer) => ({
        ...this.#status(),
        tenures: this.#tenure.tenuresFor(peer),
        storeEnds: [this.#follower.end],
        entry: null,
        wantsStatus: false,
        wantsNews: false,
      }),
      storeEnds: () => [this.#follower.end],
      onSupport: (peer, reply, sentAt) => {
        const support = { tenures: reply.supported, sentAt };
        this.#tenure.recordSupport(peer, reply.incarnation, support);
      },
      onBehind: () => {},
    });
    this.#planner = new RangePlanner({
      self: address,
      service: SERVICE,
      now,
      sleep,
      supportMs: options.supportMs,
      table,
      heartbeats: this.heartbeats,
      mayPlan: () => this.#follower.isReachable,
      candidates: () => this.#candidates(),
      call: () => Promise.resolve(Result.ok(null)),
      giveOwn: () => {},
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
      hasStore: this.#follower.isReachable && this.#relayed.isDirect,
      server: null,
    };
  }

  #openChannel(context: GrantContext): OrderChannel | ReportChannel {
    const { reportRules, carryOrder } = this.options;
    if (reportRules === undefined) {
      return new OrderChannel(context, {
        wire: WIRE,
        send: (order, limits) => carryOrder(this, JSON.parse(order.body.toString()), limits),
      });
    }
    this.#reports = new ReportChannel(context, {
      holdOpenMs: 0,
      rowsMax: ROWS_MAX,
      rules: reportRules,
    });
    return this.#reports;
  }

  /** Answers a report of the server, as the daemon's watch lets through: only newer ones. */
  async takeReport(report: ServerReport): Promise<GrantRows | undefined> {
    if (report.sequence <= this.#sequence) {
      return undefined;
    }
    this.#sequence = report.sequence;
    const answered = await this.#reports?.respond(report, { mayWait: false });
    answered?.noteSent();
    return answered?.grants;
  }

  /** Starts all tasks. */
  start(): void {
    this.#follower.start();
    this.#tenure.start();
    this.granting.start();
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

  /** Answers a peer's call. */
  answer(method: string, payload: unknown): unknown {
    return handleStoreCall(this.#directStore, method, payload) ??
      this.heartbeats.handleCall(method, payload);
  }

  #storePeers(): string[] {
    return [...this.heartbeats.peers]
      .filter(([address, { status }]) => status.hasStore && this.heartbeats.isResponsive(address))
      .map(([address]) => address);
  }

  /** Gives some of the own keys to another daemon. */
  giveSome(to: string): void {
    const [range] = this.granting.ownRanges;
    if (range !== undefined && this.#table.table.value.hosts[to] !== undefined) {
      const middle = (range.first + range.last) >> 1;
      this.granting.transfer(
        () => [{ first: range.first, last: middle, to, handover: null }],
        { leave: false, isServerGone: false },
      );
    }
  }

  #voters() {
    return [...this.heartbeats.peers]
      .filter(([address]) => this.heartbeats.isResponsive(address))
      .map(([address, { status }]) => ({ address, incarnation: status.incarnation }));
  }

  #candidates(): Candidate[] {
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
