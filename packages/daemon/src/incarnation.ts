/**
 * One incarnation of a daemon: its components, from joining by a record in the log until the daemon
 * leaves or reads in the log that it is lost or replaced.
 */
import { randomUUID } from "node:crypto";
import { filter, firstValueFrom, Subscription, timeout } from "rxjs";
import { Result } from "true-myth";
import { AdminServer } from "@bulrushwood/admin";
import { Shutdown } from "@bulrushwood/admission";
import { Announcements } from "@bulrushwood/backend";
import { Leases } from "@bulrushwood/lease";
import {
  type Entry,
  Follower,
  Ledger,
  LedgerErrorKind,
  type ProcessedRecord,
  RecordKind,
  SnapshotWriter,
  Submitter,
} from "@bulrushwood/ledger";
import { LogClient } from "@bulrushwood/log_client";
import { Detector, Membership, Relay } from "@bulrushwood/membership";
import { Planner } from "@bulrushwood/planner";
import { type IncomingExchange, LinkError, LinkErrorKind, Links } from "@bulrushwood/protocol";
import { createShardOf, IdempotencyMemory, RequestRecords } from "@bulrushwood/routing";
import { type DaemonSettings, splitAddress } from "@bulrushwood/settings";
import { type Address, now, sleep } from "@bulrushwood/types";
import { createAdminActions, DRAIN_METHOD } from "./administration.ts";
import { CallerServer } from "./caller_server.ts";
import { GrantExtender } from "./grant_extender.ts";
import { Holder } from "./holder.ts";
import { Ingress } from "./ingress.ts";
import { type Log, LogLevel } from "./logger.ts";
import { Metrics } from "./metrics.ts";
import { handlePeerCall, type PeerServices, serveExchange } from "./peers.ts";
import { LocalServer } from "./local_server.ts";
import { describeServer, ServerSync } from "./server_sync.ts";
import { addGauges, readStatus, type StatusSources } from "./daemon_status.ts";
import { KeyDrain } from "./key_drain.ts";

/**
 * Time that a starting daemon waits for the first announcement of its backend server, in
 * milliseconds.
 */
const ANNOUNCEMENT_TIMEOUT_MS = 1_000;
const APPEND_TIMEOUT_MS = 5_000;
const APPEND_RETRY_MS = 500;

/** Reason why an incarnation ended. */
export enum EndReason {
  /** The daemon stops. */
  Stopped = "stopped",
  /** The daemon starts again as a new incarnation. */
  Restart = "restart",
}

/** Settings, log and stop signal of an incarnation. */
export interface IncarnationOptions {
  settings: DaemonSettings;
  log: Log;
  /** Aborts the start when the daemon is stopped before it has joined. */
  signal: AbortSignal;
}

/** Components of a daemon during one incarnation. */
export class Incarnation {
  readonly #settings: DaemonSettings;
  readonly #log: Log;
  readonly #address: Address;
  readonly #metrics = new Metrics();
  readonly #ledger = new Ledger();
  readonly #subscriptions = new Subscription();
  readonly #logClient: LogClient;
  readonly #follower: Follower;
  readonly #submitter: Submitter;
  readonly #membership: Membership;
  readonly #records: RequestRecords;
  #server!: LocalServer;
  #announcements!: Announcements;
  #links!: Links;
  #leases!: Leases;
  #detector!: Detector;
  #relay!: Relay;
  #planner!: Planner;
  #snapshots!: SnapshotWriter;
  #grants!: GrantExtender;
  #callerServer!: CallerServer;
  #admin!: AdminServer;
  #holder!: Holder;
  #keyDrain!: KeyDrain;
  #serverSync!: ServerSync;
  #services: PeerServices | undefined;
  #isReady = false;
  readonly #shutdown: Shutdown;
  #end!: (reason: EndReason) => void;
  /** Resolves when this incarnation has to end. */
  readonly ended: Promise<EndReason>;

  private constructor(options: IncarnationOptions) {
    const { settings, log } = options;
    this.#settings = settings;
    this.#log = log;
    this.#shutdown = new Shutdown({ now, shutdownMs: settings.limits.shutdownMs });
    this.#address = settings.listen.peersSeenAs ?? settings.listen.peers;
    const { url, requestTimeoutMs, pollWaitMs } = settings.log;
    this.#logClient = new LogClient({
      url,
      requestTimeoutMs,
      localAddress: splitAddress(settings.listen.peers).host,
    });
    const ledger = this.#ledger;
    this.#follower = new Follower({
      log: this.#logClient,
      ledger,
      sleep,
      pollWaitMs,
      onCorrupt: (record) => this.#reportCorruptRecord(record),
      onStartFailed: (reason) =>
        this.#log(LogLevel.Warn, "The log cannot be read yet; trying again", { reason }),
    });
    this.#submitter = new Submitter({ log: this.#logClient, ledger, sleep });
    const { instance: name, dataCentre, region, listen } = settings;
    const identity = {
      address: this.#address,
      name,
      dataCentre,
      region,
      admin: listen.admin,
    };
    const submitter = this.#submitter;
    this.#membership = new Membership({
      identity,
      ledger,
      submitter,
      newId: randomUUID,
    });
    this.#records = new RequestRecords({
      now,
      retentionMs: settings.limits.requestRecordMs,
    });
    this.ended = new Promise((resolve) => this.#end = resolve);
  }

  /** Starts an incarnation: reads the log, joins and begins to serve. */
  static async start(
    options: IncarnationOptions,
  ): Promise<Result<Incarnation, Error>> {
    const incarnation = new Incarnation(options);
    try {
      const started = await incarnation.#start(options.signal);
      if (started.isErr) {
        await incarnation.close();
        return Result.err(started.error);
      }
      return Result.ok(incarnation);
    } catch (error) {
      await incarnation.close();
      return Result.err(error as Error);
    }
  }

  async #start(signal: AbortSignal): Promise<Result<void, Error>> {
    const closeFollower = () => this.#follower.close();
    signal.addEventListener("abort", closeFollower, { once: true });
    await this.#listen();
    const started = await this.#follower.start();
    if (started.isErr) {
      return Result.err(started.error);
    }
    this.#follower.ended().then((ended) => this.#handleFollowerEnd(ended.isErr));
    await this.#waitForAnnouncement();
    const joined = await this.#membership.join(describeServer(this.#server));
    signal.removeEventListener("abort", closeFollower);
    if (joined.isErr) {
      return Result.err(joined.error);
    }
    await this.#serve();
    this.#log(LogLevel.Info, "The daemon has joined", {
      incarnation: joined.value,
    });
    return Result.ok(undefined);
  }

  /** Starts the servers that listen before this incarnation has joined. */
  async #listen(): Promise<void> {
    const { listen, membership } = this.#settings;
    const shardOf = await createShardOf();
    this.#announcements = await Announcements.listen({
      ...splitAddress(listen.backend),
      timeoutMs: membership.announceTimeoutMs,
      onMalformed: (message) => this.#reportMalformed("backend", message),
    });
    this.#server = new LocalServer(this.#announcements);
    this.#links = await Links.listen({
      ...splitAddress(listen.peers),
      self: this.#address,
      handlers: {
        onCall: (method, payload) => this.#handleCall(method, payload),
        onRequest: (exchange) => this.#handleRequest(exchange),
        onMalformed: (error, peer) => this.#reportMalformed("peer", `${peer}: ${error.message}`),
      },
    });
    const actions = createAdminActions({
      address: this.#address,
      ledger: this.#ledger,
      submitter: this.#submitter,
      metrics: this.#metrics,
      shardOf,
      call: (peer, method, payload, options) => this.#call(peer, method, payload, options),
      newId: randomUUID,
      isReady: () => this.#isReady && !this.#shutdown.isEnding,
      ownStatus: () => readStatus(this.#statusSources()),
      drain: () => this.drain(),
    });
    this.#admin = await AdminServer.listen(actions, splitAddress(listen.admin));
  }

  /** Creates and starts the components that need the incarnation, then listens for callers. */
  async #serve(): Promise<void> {
    const ledger = this.#ledger;
    const incarnation = this.#membership.incarnation;
    const { lease, membership, limits, log, listen } = this.#settings;
    const call = this.#call.bind(this);
    const append = (entry: Entry) => this.#append(entry);
    const newId = randomUUID;
    const onPeerApplied = (peer: Address, offset: number) => {
      this.#relay.handlePeerApplied(peer, offset);
    };
    const address = this.#address;
    const common = {
      ledger,
      address,
      incarnation,
      now,
      sleep,
      call,
      append,
      newId,
      onPeerApplied,
    };
    this.#relay = new Relay({ ledger, follower: this.#follower, call, sleep });
    this.#leases = new Leases({
      ...common,
      ...lease,
      canServe: () => this.#server.announcement !== undefined,
      onUnowned: (pool, cause, shardMs) => this.#metrics.addUnownedTime(pool, cause, shardMs),
    });
    this.#detector = new Detector({ ...common, ...membership });
    this.#planner = new Planner({
      ...common,
      submit: (entry, options) => this.#submitter.submit(entry, options),
      isUpToDate: () => this.#follower.isReachable,
      settleMs: membership.heartbeatMs,
    });
    this.#snapshots = new SnapshotWriter({
      ...common,
      log: this.#logClient,
      isWriter: () => this.#planner.hasClaim,
      everyRecords: log.snapshotEveryRecords,
      everyMs: log.snapshotEveryMs,
    });
    this.#keyDrain = new KeyDrain({
      leases: this.#leases,
      ledger,
      address,
      incarnation,
    });
    this.#serverSync = new ServerSync({
      address,
      ledger,
      server: this.#server,
      membership: this.#membership,
      detector: this.#detector,
      keyDrain: this.#keyDrain,
      log: this.#log,
      onIncompatibleServer: () => this.#end(EndReason.Restart),
    });
    this.#grants = new GrantExtender({
      leases: this.#leases,
      server: this.#server,
      intervalMs: lease.durationMs / 4,
    });
    const memory = new IdempotencyMemory({
      now,
      retentionMs: limits.idempotencyMs,
      entries: limits.idempotencyEntries,
    });
    this.#holder = new Holder({
      leases: this.#leases,
      ledger,
      server: this.#server,
      records: this.#records,
      memory,
      metrics: this.#metrics,
      settings: this.#settings,
      grants: this.#grants,
      isDraining: () => this.#shutdown.isEnding,
    });
    this.#services = {
      incarnation,
      leases: this.#leases,
      detector: this.#detector,
      relay: this.#relay,
      holder: this.#holder,
      records: this.#records,
      status: () => readStatus(this.#statusSources()),
    };
    this.#subscribe();
    addGauges(this.#metrics, this.#statusSources());
    const ingress = new Ingress({
      address,
      ledger,
      links: this.#links,
      holder: this.#holder,
      settings: this.#settings,
    });
    this.#callerServer = await CallerServer.listen({
      ledger,
      ingress,
      metrics: this.#metrics,
      settings: this.#settings,
      shardOf: await createShardOf(),
      log: this.#log,
      idPrefix: `${incarnation}`,
      shutdown: this.#shutdown,
    }, splitAddress(listen.callers));
    this.#detector.start();
    this.#planner.start();
    this.#snapshots.start();
    this.#isReady = true;
  }

  #subscribe(): void {
    const recordSubscription = this.#ledger.changes.subscribe((record) =>
      this.#handleRecord(record)
    );
    const serverSubscription = this.#announcements.changes.subscribe(() => this.#serverSync.sync());
    this.#subscriptions.add(recordSubscription);
    this.#subscriptions.add(serverSubscription);
  }

  #handleRecord(record: ProcessedRecord): void {
    const { entry, effect } = record;
    if (entry === undefined || effect !== "applied") {
      return;
    }
    const isOwnLoss = entry.kind === RecordKind.InstanceLost &&
      entry.incarnation === this.#membership.incarnation;
    const isSuperseded = entry.kind === RecordKind.InstanceJoined &&
      entry.address === this.#address;
    if (isOwnLoss || isSuperseded) {
      this.#log(
        LogLevel.Warn,
        "The log shows this daemon as lost or replaced; starting again",
        {},
      );
      this.#end(EndReason.Restart);
    }
    if (entry.kind === RecordKind.GroupSucceeded) {
      this.#serverSync.clearSuspicion();
    }
    if (entry.kind === RecordKind.ShardsMoved) {
      const shards = entry.shards.reduce(
        (sum, range) => sum + range.last - range.first + 1,
        0,
      );
      this.#metrics.countMovedShards(entry.pool, entry.cause, shards);
    }
  }

  #handleFollowerEnd(isExpired: boolean): void {
    if (isExpired) {
      this.#log(
        LogLevel.Warn,
        "The log no longer has the next record; starting again",
      );
      this.#end(EndReason.Restart);
    }
  }

  async #waitForAnnouncement(): Promise<void> {
    const first = this.#announcements.changes.pipe(
      filter((server) => server !== undefined),
      timeout({ first: ANNOUNCEMENT_TIMEOUT_MS }),
    );
    await firstValueFrom(first).catch(() => undefined);
  }

  async #call(
    peer: Address,
    method: string,
    payload: unknown,
    options: { timeoutMs: number },
  ): Promise<Result<unknown, LinkError>> {
    if (peer === this.#address) {
      return Result.err(
        new LinkError(
          LinkErrorKind.Unreachable,
          "A daemon does not call itself",
        ),
      );
    }
    const linked = await this.#links.get(peer);
    return linked.isErr
      ? Result.err(linked.error)
      : await linked.value.call(method, payload, options);
  }

  #handleCall(method: string, payload: unknown): Promise<unknown> {
    if (method === DRAIN_METHOD) {
      this.drain();
      return Promise.resolve(null);
    }
    if (this.#services === undefined) {
      return Promise.reject(new Error("The daemon has not joined yet"));
    }
    try {
      return handlePeerCall(this.#services, method, { payload });
    } catch (error) {
      this.#reportMalformed("peer", `${method}: ${(error as Error).message}`);
      return Promise.reject(error as Error);
    }
  }

  #handleRequest(exchange: IncomingExchange): void {
    if (this.#services === undefined) {
      exchange.abort();
      return;
    }
    serveExchange(this.#holder, exchange).catch((error) => {
      const fields = { id: exchange.head.id, reason: (error as Error).message };
      this.#log(LogLevel.Error, "A forwarded request failed", fields);
      exchange.abort();
    });
  }

  /** Appends a record; retries until it is in the log, is in conflict or the incarnation ends. */
  async #append(entry: Entry): Promise<void> {
    while (!this.#shutdown.isEnding) {
      const submitted = await this.#submitter.submit(entry, {
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      if (submitted.isOk || submitted.error.kind === LedgerErrorKind.Conflict) {
        return;
      }
      await sleep(APPEND_RETRY_MS);
    }
  }

  #reportCorruptRecord(record: ProcessedRecord): void {
    this.#metrics.countCorruptRecord();
    const { offset, reason } = record;
    this.#log(LogLevel.Warn, "A corrupt or unknown log record was skipped", { offset, reason });
  }

  #reportMalformed(source: string, message: string): void {
    this.#metrics.countMalformed(source);
    this.#log(LogLevel.Warn, "Malformed input was rejected", {
      source,
      reason: message,
    });
  }

  #statusSources(): StatusSources {
    return {
      settings: this.#settings,
      address: this.#address,
      ledger: this.#ledger,
      follower: this.#follower,
      metrics: this.#metrics,
      server: this.#server,
      links: this.#links,
      incarnation: this.#membership.incarnation,
      leases: this.#leases,
      planner: this.#planner,
    };
  }

  /**
   * Requests that the daemon leaves: it moves its keys away, finishes the requests in flight and
   * ends.
   */
  drain(): void {
    this.#end(EndReason.Stopped);
  }

  /**
   * Leaves gracefully: stops accepting connections, moves the keys away and waits for the requests
   * in flight, up to the shutdown timeout.
   */
  async leave(): Promise<void> {
    this.#shutdown.begin();
    this.#serverSync.close();
    this.#log(LogLevel.Info, "The daemon is leaving");
    const { shutdownMs } = this.#settings.limits;
    const callerServerClosed = this.#callerServer.close({ timeoutMs: shutdownMs });
    const announced = this.#membership.announceLeaving();
    await this.#keyDrain.drainKeys({ isServerUnresponsive: false });
    await announced;
    await callerServerClosed;
    await this.#keyDrain.waitUntilReplaced();
    await this.#membership.leave();
    this.#log(LogLevel.Info, "The daemon has left");
  }

  /** Closes everything at once. */
  async close(): Promise<void> {
    this.#shutdown.begin();
    this.#services = undefined;
    this.#subscriptions.unsubscribe();
    this.#serverSync?.close();
    this.#grants?.close();
    await this.#planner?.close();
    await this.#snapshots?.close();
    await this.#detector?.close();
    await this.#callerServer?.close({ timeoutMs: 0 });
    await this.#links?.close();
    await this.#leases?.close();
    this.#server?.close();
    await this.#announcements?.close();
    await this.#admin?.close();
    await this.#follower.close();
    this.#logClient.close();
  }
}
