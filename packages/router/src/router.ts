/**
 * The daemon for a deployment whose backend servers own ranges of keys: connects its parts, and starts
 * and stops them.
 */
import { randomUUID } from "node:crypto";
import { skip } from "rxjs";
import type { Result } from "true-myth";
import { bodyLimits, BodyMemory, LoadShedder, Quarantine, Shutdown } from "@bulrushwood/admission";
import {
  type Adapter,
  type DeploymentSettings,
  GrantDelivery,
  type KeyedValue,
  ServerState,
  type Service,
} from "@bulrushwood/deployment";
import {
  type ConnectionLimitOptions,
  countDescriptors,
  EventLoop,
  openDescriptorsMax,
  SocketLimit,
} from "@bulrushwood/http_server";
import { changedHosts, countKeys, rangeOf } from "@bulrushwood/ledger_store";
import {
  type GrantContext,
  GrantManager,
  OrderChannel,
  type OwnServer,
  ReportChannel,
  TenureManager,
} from "@bulrushwood/lease_ranges";
import { SuspensionDetector, VoteManager } from "@bulrushwood/lease_votes";
import {
  addMember,
  type DaemonStatus,
  type Heartbeat,
  HeartbeatPeerRole,
  Heartbeats,
  readMember,
} from "@bulrushwood/membership_beats";
import { PlannerEvent, RangePlanner, TRANSFER_METHOD } from "@bulrushwood/planner_ranges";
import { type LinkError, Links } from "@bulrushwood/protocol";
import { RetryBudget, TwoChoices } from "@bulrushwood/routing";
import { type Address, createStop, now, pause, sleep, waitForChange } from "@bulrushwood/types";
import { AcceptanceProbe } from "./acceptance_probe.ts";
import { CallerServer } from "./caller_server.ts";
import { Departures } from "./departures.ts";
import { Dispatcher } from "./dispatcher.ts";
import { GrantConnections } from "./grant_connections.ts";
import { Event, type EventLog, logListenerErrors } from "./event_log.ts";
import { ForwardedRequests } from "./forwarded_requests.ts";
import { readHeaders } from "./headers.ts";
import { Evacuations } from "./evacuations.ts";
import { CurrentManifest } from "./current_manifest.ts";
import { KeyTransfers } from "./key_transfers.ts";
import { LoopDelayMonitor } from "./loop_delay.ts";
import { Metrics, RequestOrigin } from "./metrics.ts";
import { mayGoOut } from "./readiness.ts";
import { RECORD_METHOD, RECORDS_METHOD, Relay } from "./relay.ts";
import { Runner } from "./runner.ts";
import { ServerClient } from "./server_client.ts";
import { ServerEnds } from "./server_ends.ts";
import { ServerView } from "./server_view.ts";
import { SupportTime } from "./support_time.ts";
import { ServerWatch } from "./server_watch.ts";
import { handleReadiness, handleReports, SideServer } from "./side_servers.ts";
import { StoreAccess } from "./store_access.ts";
import { StoreRecovery } from "./store_recovery.ts";

/** Longest time for which the response to a report is held open, as a share of the report interval. */
const REPORT_HOLD_SHARE = 0.8;
/** Time within which two requests to a service without keys go to one server, in milliseconds: a round of the event loop. */
const PAIR_MS = 5;
/** Time without a refused body after which the next one is logged, in milliseconds. */
const MEMORY_FULL_BURST_MS = 5_000;
/**
 * Share of the time for an evacuation after which the server gets nothing more; the rest is for the time until this daemon
 * has read of it.
 */
const EVACUATION_GRACE_SHARE = 0.3;
/** Limit of the connections of callers, as a share of all sockets. */
const CALLER_SOCKETS: SocketShare = { share: 0.6, min: 16 };
/** Limit of the connections of each other listener, as a share of all sockets. */
const SIDE_SOCKETS: SocketShare = { share: 0.02, min: 8 };
/** Length of the random incarnation id; it must differ only between incarnations at one address. */
const INCARNATION_CHARACTERS = 8;
/** Share of the allowed retries that is used; the rest is reserved for requests whose key changes its owner. */
const RETRY_SHARE_USED = 0.7;
/** Largest number of retries that a daemon may save up for one service; the allowance is shared by all daemons. */
const SAVED_RETRIES_MAX = 5;
/** Time from the stop signal until the caller listener closes, so that readiness checks fail first, in milliseconds. */
const STOP_LINGER_MS = 2_600;
/**
 * Time before the caller listener closes at which a stopping daemon begins to hand its keys over, in milliseconds. Grants in
 * reports take some report intervals to change.
 */
const HAND_OVER_MS: Record<GrantDelivery, number> = {
  [GrantDelivery.Orders]: 1_400,
  [GrantDelivery.Reports]: STOP_LINGER_MS,
};
/** Time after the stop signal in which all requests of callers are accepted, in milliseconds. */
const ACCEPT_ALL_MS = 2_800;
/** Margin between the end of a graceful stop and the time when the platform kills the process, in milliseconds. */
const END_MARGIN_MS = 600;
/** Time between a stopping daemon's checks for open requests, in milliseconds. */
const END_CHECK_MS = 20;
/** Time reserved for the last requests of a stopping daemon, in milliseconds. */
const LAST_REQUESTS_MS = 1_600;

const EVENT_OF_PLANNER: Record<PlannerEvent, Event> = {
  [PlannerEvent.TenureSealed]: Event.TenureSealed,
  [PlannerEvent.KeysAssigned]: Event.KeysAssigned,
  [PlannerEvent.KeysMoved]: Event.KeysMoved,
  [PlannerEvent.Failed]: Event.TaskFailed,
};

/** Number of connections, as a share of all sockets but at least a number. */
interface SocketShare {
  share: number;
  min: number;
}

export interface RouterOptions {
  settings: DeploymentSettings;
  adapter: Adapter;
  log: EventLog;
}

/** One daemon, with its listeners, its links to peers and its backend server. */
export class Router {
  readonly #settings: DeploymentSettings;
  readonly #adapter: Adapter;
  readonly #log: EventLog;
  readonly #self: Address;
  readonly #incarnation = randomUUID().slice(0, INCARNATION_CHARACTERS);
  readonly #stop = createStop();
  readonly #metrics = new Metrics();
  readonly #loopDelay: LoopDelayMonitor;
  readonly #eventLoop = new EventLoop({
    now,
    idleMs: () => performance.nodeTiming.idleTime,
    onRelease: this.#recordWait.bind(this),
  });
  readonly #shedder = new LoadShedder({
    now,
    random: Math.random,
    onOverload: (isOverloaded) => this.#log(Event.Overloaded, { isOverloaded }),
  });
  readonly #storeAccess: StoreAccess;
  readonly #storeRecovery: StoreRecovery;
  readonly #currentManifest: CurrentManifest;
  readonly #evacuations: Evacuations;
  readonly #relay: Relay;
  readonly #watch: ServerWatch;
  readonly #departures: Departures;
  readonly #client: ServerClient;
  readonly #grantConnections: GrantConnections;
  readonly #ends: ServerEnds;
  readonly #supportTime: SupportTime;
  readonly #tenure: TenureManager;
  readonly #grantManager: GrantManager;
  /** Set if grants are delivered in the responses to status reports. */
  #reportChannel: ReportChannel | undefined;
  readonly #voteManager: VoteManager;
  readonly #heartbeats: Heartbeats;
  readonly #bodyMemory: BodyMemory;
  readonly #socketLimit: SocketLimit;
  readonly #forwarded: ForwardedRequests;
  readonly #runner: Runner;
  readonly #view: ServerView;
  readonly #keyTransfers: KeyTransfers;
  readonly #planner: RangePlanner;
  readonly #choices: TwoChoices;
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #sideServers: SideServer[] = [];
  readonly #acceptance: AcceptanceProbe;
  readonly #tasks: Promise<void>[] = [];
  #links!: Links;
  #dispatcher!: Dispatcher;
  #callers!: CallerServer;
  /** Services without keys; any of their servers may run a request. */
  #unkeyedServices: ReadonlySet<string> = new Set();
  /** Longest timeout of the routes to this daemon's service in the manifest in force, in milliseconds; 0 without any. */
  #timeoutMsMax = 0;
  readonly #shutdown: Shutdown;
  /** Whether this daemon hands its keys over, at the end of a graceful stop. */
  #isHandingOver = false;
  #loggedServerState = "";
  /** When a body was last refused for lack of memory. */
  #memoryFullAt = Number.NEGATIVE_INFINITY;

  private constructor(options: RouterOptions) {
    const { settings, adapter, log } = options;
    this.#settings = settings;
    this.#adapter = adapter;
    this.#log = log;
    this.#bodyMemory = new BodyMemory({
      ...bodyLimits(settings.memoryBytes),
      onFull: (bytes) => this.#recordFullMemory(bytes),
    });
    this.#socketLimit = new SocketLimit({
      socketsMax: settings.socketsMax,
      now,
      readDescriptorsMax: openDescriptorsMax(),
      countDescriptors,
      openSockets: () => this.#callers?.connections ?? 0,
    });
    this.#shutdown = new Shutdown({
      now,
      shutdownMs: settings.bounds.shutdownMs - END_MARGIN_MS,
      acceptAllMs: ACCEPT_ALL_MS,
    });
    this.#acceptance = new AcceptanceProbe({ endpoint: settings.listen.callers, now });
    const { peers } = settings.listen;
    this.#self = `${peers.host}:${peers.port}`;
    this.#choices = new TwoChoices({
      now,
      random: Math.random,
      loadOf: (server) => this.#view.loadOf(server),
      isLocal: (server) => this.#view.isLocal(server),
      self: this.#self,
      pairMs: PAIR_MS,
    });
    const call = this.#callPeer.bind(this);
    this.#loopDelay = new LoopDelayMonitor({
      now,
      onDelay: (ms) => log(Event.LoopDelayed, { ms: Math.round(ms) }),
      suspension: new SuspensionDetector(now),
      onSuspended: () => this.#links?.synchronise(),
    });
    this.#storeAccess = new StoreAccess({
      adapter,
      settings,
      peers: () => this.#view.storePeers(),
      call,
      isFullMesh: () => this.#heartbeats.isFullMesh,
      isReader: () => this.#view.isReader,
      isPlanner: () => this.#planner.isPlanner,
      onWritten: (record, tables) => {
        const receivers = changedHosts(tables).filter((address) => address !== this.#self);
        this.#relay.pass(record, { follower: this.#storeAccess.system, receivers });
      },
      onCall: (call) => this.#metrics.recordStoreCall(call),
      log,
    });
    const { store, manifests, system } = this.#storeAccess;
    this.#currentManifest = new CurrentManifest({ follower: manifests, adapter, log });
    this.#evacuations = new Evacuations({
      follower: manifests,
      readEvacuation: adapter.readEvacuation?.bind(adapter),
      dataCentres: settings.dataCentres,
      now,
      log,
    });
    const followers = [manifests, system];
    this.#relay = new Relay({ followers, call });
    this.#storeRecovery = new StoreRecovery({
      self: this.#self,
      service: settings.service,
      store,
      follower: system,
      tables: () => this.#storeAccess.tables,
      peers: () => this.#heartbeats.responsivePeers,
      requestRecords: (peers, from) => this.#relay.requestFrom(peers, { follower: system, from }),
      isPlanner: () => this.#planner.isPlanner,
      grantMsMax: settings.bounds.grantMsMax,
      now,
      sleep,
      random: Math.random,
      onRecovered: (result) => this.#metrics.recordStoreRecovery(result),
      log,
    });
    this.#watch = new ServerWatch({ ...settings, now, coldPerSecond: () => this.#coldPerSecond });
    this.#departures = new Departures({
      self: this.#self,
      store,
      follower: system,
      watch: this.#watch,
      now,
      sleep,
      onCorrupt: (reason) => log(Event.TableCorrupt, { record: "departure", reason }),
    });
    const [host, port] = settings.serverAddress.split(":");
    const endpoint = { host, port: Number(port) };
    this.#client = new ServerClient({
      endpoint,
      wire: adapter.servers,
      readHeaders: (flat) => readHeaders(flat, { dropped: new Set() }),
      onCutUnframed: (head) => this.#metrics.recordCutUnframed(head),
    });
    this.#grantConnections = new GrantConnections({
      endpoint,
      wire: adapter.servers,
      healthPath: () => this.#ownService?.healthPath,
      reportedAt: () => this.#watch.reportedAt,
      onNoResponse: () => this.#client.closeIdleConnections(),
    });
    this.#ends = new ServerEnds({
      self: this.#self,
      store,
      follower: system,
      watch: this.#watch,
      quarantine: new Quarantine(now),
      now,
      sleep,
      isListening: () => this.#client.isListening(),
      peers: () => this.#heartbeats.responsivePeers,
      call,
      log,
    });
    const table = this.#storeAccess.tableOf(settings.service);
    const self = this.#self;
    const incarnation = this.#incarnation;
    this.#supportTime = new SupportTime({
      grantDelivery: settings.grantDelivery,
      reportEveryMs: settings.reportEveryMs,
      grantMsMax: settings.bounds.grantMsMax,
      workMs: () => this.#runner.workMs ?? this.#view.peerWorkMs,
      timeoutMsMax: () => this.#timeoutMsMax,
      isLarge: () => !this.#heartbeats.isFullMesh,
    });
    this.#tenure = new TenureManager({
      self,
      incarnation,
      now,
      sleep,
      pause,
      table,
      supportMs: () => this.#supportTime.ms,
      supportMsMax: () => this.#supportTime.msMax,
      candidates: () => this.#view.voters(),
      server: () => this.#ownServer(),
      hasManyPeers: () => !this.#heartbeats.isFullMesh,
      isEnteredByOther: () => !this.#heartbeats.isFullMesh && !this.#planner.isPlanner,
    });
    this.#grantManager = new GrantManager({
      self,
      now,
      sleep,
      pause,
      table,
      tenure: this.#tenure,
      suspension: new SuspensionDetector(now),
      openChannel: (context) => this.#openChannel(context),
      server: () => this.#watch.report,
      grantMsMax: settings.bounds.grantMsMax,
      busyKeys: () => this.#runner.runningKeys,
      hasServerEnded: () => this.#hasServerEnded(),
      onSuspended: (ms) => log(Event.Suspended, { ms: Math.round(ms) }),
      onFailed: (order, reason, { first, last }) => {
        this.#metrics.recordOrderFailure(order);
        log(Event.OrderFailed, { order, reason, first, last });
      },
    });
    this.#voteManager = new VoteManager({
      now,
      mustReject: (tenure) => this.#storeAccess.mustReject(tenure),
      isOwn: (tenure) => this.#tenure.isOwn(tenure),
    });
    this.#heartbeats = new Heartbeats({
      self,
      service: settings.service,
      dataCentre: settings.dataCentre,
      incarnation,
      now,
      sleep,
      pause,
      call,
      voteManager: this.#voteManager,
      supportMs: this.#supportTime.msMin,
      intervalMs: () => this.#supportTime.heartbeatMs,
      unkeyedServices: () => this.#unkeyedServices,
      requiredPeers: () => this.#tenure.voters,
      status: () => this.#status({ withPieces: false }),
      createHeartbeat: (peer, role) => this.#createHeartbeat(peer, role),
      storeEnds: () => this.#relay.ends,
      onSupport: (peer, reply, vote) => {
        const options = { tenures: reply.supported, ...vote };
        this.#tenure.recordSupport(peer, reply.incarnation, options);
        this.#grantManager.renew();
      },
      onBehind: (peer) => this.#relay.requestRecords(peer),
      onReplaced: (peer) => this.#forgetPeer(peer),
    });
    this.#runner = new Runner({
      service: settings.service,
      watch: this.#watch,
      client: this.#client,
      wire: adapter.servers,
      grantManager: this.#grantManager,
      ownerOf: (key) => {
        const { owner } = rangeOf(table.table.value, key);
        return owner === self ? null : owner;
      },
      grantLeftMs: () => this.#supportTime.grantLeftMs(this.#tenure.votedMs),
      usesRequestCosts: settings.usesRequestCosts,
      onCost: (head, costs) => this.#metrics.recordCost(head, costs),
      isEvacuated: () => this.#mustReceiveNothing,
      ends: this.#ends,
      drainMs: settings.bounds.drainMs,
      log,
      onResult: (head, result, ms) => this.#metrics.recordServerResult(head, result, ms),
      onOutlasted: (head) => this.#metrics.recordOutlasted(head),
      onMalformedNotice: () => this.#metrics.recordMalformedNotice(),
      onCancelled: (head, stage, ms) => this.#forwarded.recordCancelled(head, stage, ms),
    });
    this.#forwarded = new ForwardedRequests({
      serve: (head, body, options) => this.#runner.serve(head, body, options),
      shedder: this.#shedder,
      eventLoop: this.#eventLoop,
      bodyMemory: this.#bodyMemory,
      metrics: this.#metrics,
      log,
    });
    this.#view = new ServerView({
      self,
      settings,
      heartbeats: this.#heartbeats,
      watch: this.#watch,
      runner: this.#runner,
      grantManager: this.#grantManager,
      openBodies: () => this.#forwarded.openBodies,
      table: () => table.table.value,
      isKeyed: () => this.#isKeyed,
      isEnding: () => this.#shutdown.isEnding,
      isEvacuated: (dataCentre) => this.#evacuations.has(dataCentre),
    });
    this.#keyTransfers = new KeyTransfers({
      self,
      service: settings.service,
      watch: this.#watch,
      grantManager: this.#grantManager,
      meter: this.#runner.meter,
      table: () => table.table.value,
      candidates: () => this.#view.candidates(),
      probe: () => this.#probe(),
      notifyPeers: () => this.#heartbeats.sendNow(),
      isEvacuated: () => this.#evacuations.has(settings.dataCentre),
      evacuatedShare: () => this.#view.evacuatedShare,
      isHandingOver: () => this.#isHandingOver,
      hasStore: () => this.#storeAccess.isReachable,
      log,
    });
    this.#planner = new RangePlanner({
      self,
      service: settings.service,
      now,
      sleep,
      pause,
      table,
      heartbeats: this.#heartbeats,
      mayPlan: () =>
        this.#isKeyed && !this.#shutdown.isEnding &&
        this.#storeAccess.isReachableDirectly,
      candidates: () => this.#view.candidates(),
      call,
      transferOwn: (moves) => this.#keyTransfers.transferMoves(moves),
      onEvent: (event, fields) => log(EVENT_OF_PLANNER[event], fields),
    });
  }

  /** Starts a daemon, which becomes ready when it has read a manifest. */
  static async start(options: RouterOptions): Promise<Router> {
    const router = new Router(options);
    await router.#start();
    return router;
  }

  async #start(): Promise<void> {
    const { listen, instance, service, dataCentre } = this.#settings;
    this.#log(Event.Started, { address: this.#self, incarnation: this.#incarnation, service });
    await this.#listenSide("ready", listen.ready, handleReadiness(() => this.#isReady()));
    const channel = this.#reportChannel;
    const respond = channel && channel.respond.bind(channel);
    const waitMs = this.#settings.reportEveryMs * REPORT_HOLD_SHARE;
    const reports = handleReports(this.#adapter.servers, {
      watch: this.#watch,
      respond,
      hasReadDepartures: () => this.#storeAccess.hasReadAll,
      awaitDeparture: () => this.#departures.awaitStored({ ms: waitMs }),
      log: this.#log,
    });
    await this.#listenSide("reports", listen.reports, reports);
    // Nobody is served later because the port of the metrics is taken.
    this.#tasks.push(
      this.#listenSide("metrics", this.#settings.metrics, async (request, response) => {
        request.resume();
        response.end(await this.#metrics.registry.metrics());
      }).catch((error: Error) =>
        this.#log(Event.TaskFailed, { task: "metrics", reason: error.message })
      ),
    );
    this.#links = await Links.listen({
      ...listen.peers,
      self: this.#self,
      signal: this.#stop.signal,
      onListenError: logListenerErrors(this.#log),
      connectionLimit: this.#limitConnections("peers", SIDE_SOCKETS),
      handlers: {
        onCall: (method, payload) => this.#handleCall(method, payload),
        onRequest: (exchange) => this.#forwarded.handle(exchange),
        onMalformed: (error, peer) => {
          this.#log(Event.PeerMalformed, { peer, reason: error.message });
        },
      },
    });
    this.#dispatcher = this.#createDispatcher();
    this.#callers = await CallerServer.listen({
      endpoint: listen.callers,
      signal: this.#stop.signal,
      wire: this.#adapter.callers,
      service,
      manifest: () => this.#currentManifest.manifest,
      dispatcher: this.#dispatcher,
      log: this.#log,
      shutdown: this.#shutdown,
      eventLoop: this.#eventLoop,
      shedder: this.#shedder,
      bodyMemory: this.#bodyMemory,
      connectionLimit: this.#limitConnections("callers", CALLER_SOCKETS),
      onAccepted: (socket) => this.#acceptance.recordAccepted(socket),
      onFirstRequest: (ms) => this.#metrics.recordFirstRequest(ms),
      onUnread: () => this.#metrics.recordUnread(),
      onShed: (priority) => this.#metrics.recordShed(RequestOrigin.Caller, priority),
      onResponse: (route, response, ms) => this.#metrics.recordResponse(route, response, ms),
    });
    this.#currentManifest.changes.subscribe((manifest) => {
      const unkeyed = [...manifest.services.values()].filter(({ isKeyed }) => !isKeyed);
      this.#unkeyedServices = new Set(unkeyed.map(({ name }) => name));
      this.#timeoutMsMax = manifest.routes
        .filter(({ shares }) => shares.some((share) => share.service === service))
        .reduce((longest, { timeoutMs }) => Math.max(longest, timeoutMs), 0);
      this.#callers.applyManifest();
      // A voter needs the tables of all services, since a tenure may be suspected in any of them.
      [...manifest.services.values()].filter(({ isKeyed }) => isKeyed)
        .forEach(({ name }) => this.#storeAccess.tableOf(name));
    });
    this.#storeAccess.system.changes.subscribe((item) => this.#addMember(item));
    this.#watch.changes.subscribe(() => this.#logServerState());
    this.#evacuations.changes.subscribe(() => this.#heartbeats.sendNow());
    this.#addGauges();
    const member = {
      address: this.#self,
      incarnation: this.#incarnation,
      service,
      dataCentre,
      instance,
      cores: this.#settings.cores,
    };
    const { signal } = this.#stop;
    this.#tasks.push(
      this.#storeAccess.start(),
      addMember(this.#storeAccess.store, member, {
        follower: this.#storeAccess.system,
        sleep,
        signal,
      }),
    );
    this.#acceptance.start();
    this.#keyTransfers.start();
    this.#tenure.start();
    this.#grantManager.start();
    this.#planner.start();
  }

  /** Whether callers should come here. */
  #isReady(): boolean {
    if (this.#currentManifest.manifest === undefined || this.#shutdown.isEnding) {
      return false;
    }
    return this.#acceptance.isAccepted || !this.#mayGoOut();
  }

  /** Whether this daemon may go out because it does not accept callers, in view of the others. */
  #mayGoOut(): boolean {
    const peers = [...this.#heartbeats.peers]
      .filter(([address]) => this.#heartbeats.isResponsive(address))
      .map(([address, { status }]) => ({ address, acceptsCallers: status.acceptsCallers }));
    return mayGoOut(this.#self, peers);
  }

  #openChannel(context: GrantContext): OrderChannel | ReportChannel {
    const { servers } = this.#adapter;
    const { grantDelivery, reportEveryMs } = this.#settings;
    if (grantDelivery === GrantDelivery.Orders) {
      return new OrderChannel(context, {
        wire: servers,
        connect: (server) => this.#grantConnections.connect(server),
        sendRelease: (order, limits) => this.#client.order(order, limits),
      });
    }
    this.#reportChannel = new ReportChannel(context, {
      holdOpenMs: reportEveryMs * REPORT_HOLD_SHARE,
      rowsMax: servers.reportRowsMax,
    });
    return this.#reportChannel;
  }

  async #listenSide(
    name: string,
    endpoint: { host: string; port: number },
    handler: Parameters<typeof SideServer.listen>[1],
  ): Promise<void> {
    const { signal } = this.#stop;
    const connectionLimit = this.#limitConnections(name, SIDE_SOCKETS);
    const options = { log: this.#log, connectionLimit, signal };
    this.#sideServers.push(await SideServer.listen(endpoint, handler, options));
  }

  #connectionsMax({ share, min }: SocketShare): number {
    return Math.max(min, Math.floor(this.#socketLimit.value * share));
  }

  #limitConnections(listener: string, share: SocketShare): ConnectionLimitOptions {
    const max = () => this.#connectionsMax(share);
    return {
      max,
      onClosed: (closed, count) => {
        this.#metrics.recordClosedConnections(listener, closed, count);
        this.#log(Event.ConnectionsClosed, { listener, closed, count, max: max() });
      },
    };
  }

  #createDispatcher(): Dispatcher {
    return new Dispatcher({
      self: this.#self,
      links: this.#links,
      serve: (head, body, options) => this.#runner.serve(head, body, options),
      owners: {
        ownerOf: (service, key) => {
          return rangeOf(this.#storeAccess.tableOf(service).table.value, key).owner;
        },
        waitForChange: (service, options) =>
          waitForChange(this.#storeAccess.tableOf(service).table.pipe(skip(1)), options),
        recordOutdated: (address) => {
          if (address !== this.#self) {
            this.#relay.requestRecords(address);
          }
        },
        unreachableMs: (address) => this.#heartbeats.unreachableMs(address),
        recordReachability: (address, isReached) =>
          this.#heartbeats.recordReachability(address, isReached),
      },
      choice: {
        choose: (service, mayUse, options) =>
          this.#choices.choose(this.#view.serversOf(service).filter(mayUse), options),
        begin: (address) => this.#choices.begin(address),
      },
      quarantinedMs: (head, body) => this.#ends.quarantinedMs(head, body),
      budgetOf: (service) => this.#budgetOf(service),
      drainMs: this.#settings.bounds.drainMs,
      log: this.#log,
    });
  }

  #budgetOf(service: string): RetryBudget {
    const budget = this.#budgets.get(service) ?? new RetryBudget({
      perRequest: this.#settings.bounds.retryShare * RETRY_SHARE_USED,
      savedMax: SAVED_RETRIES_MAX,
    });
    this.#budgets.set(service, budget);
    return budget;
  }

  /** This daemon's service in the manifest in force. */
  get #ownService(): Service | undefined {
    return this.#currentManifest.manifest?.services.get(this.#settings.service);
  }

  /** Requests a second that the own server may get while it is cold; undefined where the deployment has no such bound. */
  get #coldPerSecond(): number | undefined {
    const { coldRequests } = this.#settings.bounds;
    return coldRequests === undefined ? undefined : this.#ownService?.coldPerSecond;
  }

  get #isKeyed(): boolean {
    return this.#ownService?.isKeyed ?? false;
  }

  /** Whether the server's process has ended: nobody listens at its address, and all connections to it are lost. */
  async #hasServerEnded(): Promise<boolean> {
    const isConnected = () => this.#grantConnections.isConnected || this.#runner.running > 0;
    return !isConnected() && !(await this.#client.isListening()) && !isConnected();
  }

  /**
   * Whether the server must get nothing more since its data centre is evacuated. Until then requests go on that other
   * daemons sent before they knew, and those for keys that are being transferred.
   */
  get #mustReceiveNothing(): boolean {
    const { bounds, dataCentre } = this.#settings;
    const graceMs = (bounds.evacuationMs ?? 0) * EVACUATION_GRACE_SHARE;
    return this.#evacuations.has(dataCentre) && this.#evacuations.elapsedMs(dataCentre) >= graceMs;
  }

  /** Returns the backend server if it may be entered as an owner of keys. */
  #ownServer(): OwnServer | undefined {
    const mayNotOwn = this.#shutdown.isEnding || this.#keyTransfers.isTransferring ||
      !this.#isKeyed || !this.#storeAccess.hasReadAll ||
      this.#evacuations.has(this.#settings.dataCentre);
    return mayNotOwn ? undefined : this.#watch.ready;
  }

  #status(options: { withPieces: boolean }): DaemonStatus {
    const { service, dataCentre } = this.#settings;
    return {
      address: this.#self,
      incarnation: this.#incarnation,
      service,
      dataCentre,
      isLeaving: this.#shutdown.isEnding,
      isServing: !this.#isHandingOver,
      acceptsCallers: this.#acceptance.isAccepted,
      hasStore: this.#storeAccess.isReachableDirectly,
      server: this.#view.status(options),
    };
  }

  #createHeartbeat(peer: Address, role: HeartbeatPeerRole): Heartbeat {
    const { isFullMesh, peers } = this.#heartbeats;
    const isOwnService = peers.get(peer)?.status.service === this.#settings.service;
    const isToPlanner = isOwnService && (isFullMesh || this.#view.planner === peer);
    return {
      ...this.#status({ withPieces: isToPlanner }),
      tenures: this.#tenure.tenuresFor(peer),
      supportMs: this.#tenure.supportMs,
      storeEnds: this.#relay.ends,
      entry: isToPlanner ? this.#tenure.pendingEntry ?? null : null,
      wantsStatus: !isFullMesh,
      wantsNews: role === HeartbeatPeerRole.Source,
      newsOf: role === HeartbeatPeerRole.Source ? [...this.#unkeyedServices] : undefined,
    };
  }

  /** Logs each new incarnation, state or request limit of the backend server. */
  #logServerState(): void {
    const { report, leavingSince, allowedPerSecond: requestsPerSecond } = this.#watch;
    if (report === undefined) {
      return;
    }
    const state = leavingSince === undefined ? ServerState.Ready : ServerState.Draining;
    const name = `${report.id}@${report.bornMs} ${state} ${requestsPerSecond}`;
    if (name !== this.#loggedServerState) {
      this.#loggedServerState = name;
      const fields = { state, requestsPerSecond };
      this.#log(Event.ServerReported, { server: report.id, bornMs: report.bornMs, ...fields });
    }
  }

  /** Starts to exchange heartbeats with a daemon that is listed in the store. */
  #addMember(item: KeyedValue): void {
    const member = readMember(item);
    if (member !== undefined) {
      this.#heartbeats.add(member);
    }
  }

  /** Checks the health of the backend server; returns its id if it is healthy. */
  async #probe(): Promise<string | undefined> {
    const service = this.#ownService;
    const checked = service && await this.#client.check(service.healthPath);
    if (checked?.coldMs !== undefined) {
      this.#watch.recordCold(checked.id, checked.coldMs);
    }
    return checked?.id;
  }

  /** Forgets what was observed of the daemon at an address, and of its server, once another one has the address. */
  #forgetPeer(address: Address): void {
    this.#choices.forget(address);
    this.#dispatcher?.forget(address);
  }

  async #callPeer(
    peer: Address,
    method: string,
    payload: unknown,
    options: { timeoutMs: number },
  ): Promise<Result<unknown, LinkError>> {
    const linked = await this.#links.get(peer);
    return linked.isErr
      ? linked.map(() => undefined)
      : await linked.value.call(method, payload, options);
  }

  #handleCall(method: string, payload: unknown): Promise<unknown> {
    try {
      switch (method) {
        case TRANSFER_METHOD:
          this.#keyTransfers.handleMoves(payload);
          return Promise.resolve(null);
        case RECORD_METHOD:
          return Promise.resolve(this.#relay.handleRecord(payload));
        case RECORDS_METHOD:
          return Promise.resolve(this.#relay.handleCall(payload));
        default: {
          const reply = this.#storeAccess.handleCall(method, payload) ??
            this.#heartbeats.handleCall(method, payload) ??
            this.#ends.handleCall(method, payload);
          return reply === undefined
            ? Promise.reject(new Error(`Unknown method ${method}`))
            : Promise.resolve<unknown>(reply);
        }
      }
    } catch (error) {
      this.#log(Event.PeerMalformed, { method, reason: (error as Error).message });
      return Promise.reject(error as Error);
    }
  }

  /** Counts a body that was refused, and logs the first of a burst. */
  #recordFullMemory(bytes: number): void {
    this.#metrics.recordRefusedBody();
    const isFirst = now() - this.#memoryFullAt > MEMORY_FULL_BURST_MS;
    this.#memoryFullAt = now();
    if (isFirst) {
      this.#log(Event.BodiesRefused, { bytes, ...bodyLimits(this.#settings.memoryBytes) });
    }
  }

  #recordWait(ms: number, oldestMs: number): void {
    this.#metrics.recordWait(ms);
    this.#shedder.recordWait(oldestMs);
  }

  #addGauges(): void {
    this.#metrics.addGauges({
      running: () => this.#view.measuredLoad.running,
      waiting: () => this.#view.measuredLoad.waiting,
      serviceMs: () => this.#view.measuredLoad.serviceMs,
      requestLimit: () => this.#watch.allowedPerSecond ?? Infinity,
      ownKeys: () => countKeys(this.#grantManager.ownRanges),
      ownRanges: () => this.#grantManager.ownRanges.length,
      acceptedShare: () => this.#shedder.acceptedShare,
      evacuatedMs: () => this.#evacuations.elapsedMs(this.#settings.dataCentre),
      bodyBytes: () => this.#bodyMemory.totalBytes,
      callerConnections: () => this.#callers.connections,
      callerConnectionsMax: () => this.#connectionsMax(CALLER_SOCKETS),
      supportMs: () => this.#tenure.supportMs,
      supportedMs: () => Math.max(0, this.#tenure.supportedUntil - now()),
      isStoreReachable: () => this.#storeAccess.isReachable,
      manifestVersion: () => this.#currentManifest.version,
      reachablePeers: () => this.#heartbeats.responsivePeers.length,
    });
  }

  /** Logs that the settings file changed; a running daemon does not apply new settings. */
  reload(): void {
    this.#log(Event.SettingsReloaded);
  }

  /** Stops gracefully: fails readiness checks, transfers all keys and responds to all open requests. */
  async leave(): Promise<void> {
    if (this.#shutdown.isEnding) {
      return;
    }
    const startedAt = now();
    this.#shutdown.begin();
    const { endAt } = this.#shutdown;
    this.#log(Event.Stopping);
    this.#heartbeats.sendNow();
    // Callers and peers send requests until readiness checks have failed, so the server serves them until then.
    const handOverMs = HAND_OVER_MS[this.#settings.grantDelivery];
    await sleep(STOP_LINGER_MS - handOverMs);
    this.#isHandingOver = true;
    this.#heartbeats.sendNow();
    const transferred = this.#keyTransfers.transferAllBeforeEnd();
    await sleep(startedAt + STOP_LINGER_MS - now());
    const closed = this.#callers.close({ timeoutMs: endAt - now() });
    await Promise.race([
      Promise.all([transferred, closed]),
      sleep(endAt - LAST_REQUESTS_MS - now()),
    ]);
    this.#forwarded.close();
    this.#runner.rejectNew();
    while (this.#hasOpenRequests && now() < endAt) {
      await sleep(END_CHECK_MS);
    }
    this.#log(Event.Stopped, { afterMs: Math.round(now() - startedAt) });
  }

  /** Whether a request, of a caller or a peer, has no response yet, or its response was not sent as a whole. */
  get #hasOpenRequests(): boolean {
    return this.#runner.open + this.#callers.open + this.#forwarded.open > 0 ||
      this.#links.hasUnsent;
  }

  /** Stops at once and aborts all requests in flight. */
  async close(): Promise<void> {
    this.#shutdown.begin();
    this.#stop.abort();
    this.#loopDelay.close();
    this.#acceptance.close();
    this.#sideServers.forEach((side) => side.close());
    await this.#callers.close({ timeoutMs: 0 });
    await this.#links.close();
    await Promise.all([
      this.#heartbeats.close(),
      this.#planner.close(),
      this.#grantManager.close(),
      this.#tenure.close(),
      this.#storeAccess.stop(),
    ]);
    this.#storeRecovery.close();
    this.#keyTransfers.close();
    this.#departures.close();
    this.#ends.close();
    this.#currentManifest.close();
    this.#evacuations.close();
    this.#client.close();
    this.#grantConnections.close();
    this.#storeAccess.close();
  }
}
