/**
 * One incarnation of a daemon: everything that starts with a record in the log and ends when the daemon
 * leaves, or learns that its peers counted it as lost.
 */
import { randomUUID } from "node:crypto";
import { filter, firstValueFrom, Subscription, timeout } from "rxjs";
import { Result } from "true-myth";
import { AdminServer } from "@bulrushwood/admin";
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
import { Callers } from "./callers.ts";
import { GrantExtender } from "./grant_extender.ts";
import { Holder } from "./holder.ts";
import { Ingress } from "./ingress.ts";
import { type Log, LogLevel } from "./logger.ts";
import { Measures } from "./measures.ts";
import { answerCall, type PeerServices, serveExchange } from "./peers.ts";
import { ServerSide } from "./server_side.ts";
import { describeServer, ServerSync } from "./server_sync.ts";
import { addGauges, readStatus, type StatusSources } from "./daemon_status.ts";
import { Vacating } from "./vacating.ts";

/** How long a starting daemon waits for the backend server beside it, in milliseconds. */
const FIRST_ANNOUNCEMENT_MS = 1_000;
const APPEND_TIMEOUT_MS = 5_000;
const CHANGE_RETRY_MS = 500;

/** Why an incarnation ended. */
export enum Ending {
  /** The daemon is to stop. */
  Stopped = "stopped",
  /** The daemon is to start again as a new incarnation. */
  Restart = "restart",
}

/** What an incarnation needs. */
export interface IncarnationOptions {
  settings: DaemonSettings;
  log: Log;
  /** Aborts when the daemon is to stop before it has started. */
  signal: AbortSignal;
}

/** One incarnation of a daemon. */
export class Incarnation {
  readonly #settings: DaemonSettings;
  readonly #log: Log;
  readonly #address: Address;
  readonly #measures = new Measures();
  readonly #ledger = new Ledger();
  readonly #subscriptions = new Subscription();
  readonly #logClient: LogClient;
  readonly #follower: Follower;
  readonly #submitter: Submitter;
  readonly #membership: Membership;
  readonly #records: RequestRecords;
  #server!: ServerSide;
  #announcements!: Announcements;
  #links!: Links;
  #keeper!: Leases;
  #detector!: Detector;
  #relay!: Relay;
  #planner!: Planner;
  #snapshots!: SnapshotWriter;
  #grants!: GrantExtender;
  #callers!: Callers;
  #admin!: AdminServer;
  #holder!: Holder;
  #vacating!: Vacating;
  #serverSync!: ServerSync;
  #services: PeerServices | undefined;
  #isReady = false;
  #isEnding = false;
  #end!: (ending: Ending) => void;
  /** Resolves when this incarnation has to end. */
  readonly ended: Promise<Ending>;

  private constructor(options: IncarnationOptions) {
    const { settings, log } = options;
    this.#settings = settings;
    this.#log = log;
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
      onCorrupt: (folded) => this.#noteDamaged(folded),
      onStartFailed: (reason) =>
        this.#log(LogLevel.Warn, "The daemon waits for the log", { reason }),
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

  /** Starts an incarnation: reads the log, joins, and begins to serve. */
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
    const caughtUp = await this.#follower.start();
    if (caughtUp.isErr) {
      return Result.err(caughtUp.error);
    }
    this.#follower.ended().then((ended) => this.#takeFollowerEnd(ended.isErr));
    await this.#awaitAnnouncement();
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

  /** Opens what listens before this incarnation has joined. */
  async #listen(): Promise<void> {
    const { listen, membership } = this.#settings;
    const shardOf = await createShardOf();
    this.#announcements = await Announcements.listen({
      ...splitAddress(listen.backend),
      timeoutMs: membership.announceTimeoutMs,
      onMalformed: (message) => this.#noteMalformed("backend", message),
    });
    this.#server = new ServerSide(this.#announcements);
    this.#links = await Links.listen({
      ...splitAddress(listen.peers),
      self: this.#address,
      handlers: {
        onCall: (method, payload) => this.#answerCall(method, payload),
        onRequest: (exchange) => this.#takeRequest(exchange),
        onMalformed: (error, peer) => this.#noteMalformed("peer", `${peer}: ${error.message}`),
      },
    });
    const actions = createAdminActions({
      address: this.#address,
      ledger: this.#ledger,
      submitter: this.#submitter,
      measures: this.#measures,
      shardOf,
      call: (peer, method, payload, options) => this.#call(peer, method, payload, options),
      newId: randomUUID,
      isReady: () => this.#isReady && !this.#isEnding,
      ownStatus: () => readStatus(this.#statusSources()),
      drain: () => this.drain(),
    });
    this.#admin = await AdminServer.listen(actions, splitAddress(listen.admin));
  }

  /** Starts all that needs an incarnation, and opens the door to callers. */
  async #serve(): Promise<void> {
    const ledger = this.#ledger;
    const incarnation = this.#membership.incarnation;
    const { lease, membership, limits, log, listen } = this.#settings;
    const call = this.#call.bind(this);
    const append = (entry: Entry) => this.#append(entry);
    const newId = randomUUID;
    const onPeerApplied = (peer: Address, folded: number) => {
      this.#relay.notePeerApplied(peer, folded);
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
    this.#keeper = new Leases({
      ...common,
      ...lease,
      canServe: () => this.#server.announcement !== undefined,
      onUnowned: (pool, cause, shardMs) => this.#measures.noteUnowned(pool, cause, shardMs),
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
    this.#vacating = new Vacating({
      keeper: this.#keeper,
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
      vacating: this.#vacating,
      log: this.#log,
      onOtherServer: () => this.#end(Ending.Restart),
    });
    this.#grants = new GrantExtender({
      keeper: this.#keeper,
      server: this.#server,
      everyMs: lease.durationMs / 4,
    });
    const memory = new IdempotencyMemory({
      now,
      retentionMs: limits.idempotencyMs,
      entries: limits.idempotencyEntries,
    });
    this.#holder = new Holder({
      keeper: this.#keeper,
      ledger,
      server: this.#server,
      records: this.#records,
      memory,
      measures: this.#measures,
      settings: this.#settings,
      grants: this.#grants,
      isDraining: () => this.#isEnding,
    });
    this.#services = {
      incarnation,
      keeper: this.#keeper,
      detector: this.#detector,
      relay: this.#relay,
      holder: this.#holder,
      records: this.#records,
      status: () => readStatus(this.#statusSources()),
    };
    this.#watch();
    addGauges(this.#measures, this.#statusSources());
    const ingress = new Ingress({
      address,
      ledger,
      links: this.#links,
      holder: this.#holder,
      settings: this.#settings,
    });
    this.#callers = await Callers.listen({
      ledger,
      ingress,
      measures: this.#measures,
      settings: this.#settings,
      shardOf: await createShardOf(),
      log: this.#log,
      idPrefix: `${incarnation}`,
      isEnding: () => this.#isEnding,
    }, splitAddress(listen.callers));
    this.#detector.start();
    this.#planner.start();
    this.#snapshots.start();
    this.#isReady = true;
  }

  #watch(): void {
    const changes = this.#ledger.changes.subscribe((folded) => this.#takeFolded(folded));
    const neighbour = this.#announcements.neighbour.subscribe(() => this.#serverSync.sync());
    this.#subscriptions.add(changes);
    this.#subscriptions.add(neighbour);
  }

  #takeFolded(folded: ProcessedRecord): void {
    const { entry, effect } = folded;
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
        "The log counts this daemon as lost; it starts again",
        {},
      );
      this.#end(Ending.Restart);
    }
    if (entry.kind === RecordKind.GroupSucceeded) {
      this.#serverSync.proveAlive();
    }
    if (entry.kind === RecordKind.ShardsMoved) {
      const shards = entry.shards.reduce(
        (sum, range) => sum + range.last - range.first + 1,
        0,
      );
      this.#measures.noteMoved(entry.pool, entry.cause, shards);
    }
  }

  #takeFollowerEnd(isExpired: boolean): void {
    if (isExpired) {
      this.#log(
        LogLevel.Warn,
        "The log no longer keeps the next record; the daemon starts again",
      );
      this.#end(Ending.Restart);
    }
  }

  async #awaitAnnouncement(): Promise<void> {
    const first = this.#announcements.neighbour.pipe(
      filter((neighbour) => neighbour !== undefined),
      timeout({ first: FIRST_ANNOUNCEMENT_MS }),
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

  #answerCall(method: string, payload: unknown): Promise<unknown> {
    if (method === DRAIN_METHOD) {
      this.drain();
      return Promise.resolve(null);
    }
    if (this.#services === undefined) {
      return Promise.reject(new Error("The daemon has not joined yet"));
    }
    try {
      return answerCall(this.#services, method, { payload });
    } catch (error) {
      this.#noteMalformed("peer", `${method}: ${(error as Error).message}`);
      return Promise.reject(error as Error);
    }
  }

  #takeRequest(exchange: IncomingExchange): void {
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

  /** Appends a record in the background; tries again while the log does not take it. */
  async #append(entry: Entry): Promise<void> {
    while (!this.#isEnding) {
      const submitted = await this.#submitter.submit(entry, {
        timeoutMs: APPEND_TIMEOUT_MS,
      });
      if (submitted.isOk || submitted.error.kind === LedgerErrorKind.Conflict) {
        return;
      }
      await sleep(CHANGE_RETRY_MS);
    }
  }

  #noteDamaged(folded: ProcessedRecord): void {
    this.#measures.noteDamaged();
    const { offset, reason } = folded;
    this.#log(LogLevel.Warn, "A log record was skipped", { offset, reason });
  }

  #noteMalformed(source: string, message: string): void {
    this.#measures.noteMalformed(source);
    this.#log(LogLevel.Warn, "Malformed input was refused", {
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
      measures: this.#measures,
      server: this.#server,
      links: this.#links,
      incarnation: this.#membership.incarnation,
      keeper: this.#keeper,
      planner: this.#planner,
    };
  }

  /** Asks the daemon to leave: it finishes its work, gives up its keys and ends. */
  drain(): void {
    this.#end(Ending.Stopped);
  }

  /** Leaves gracefully: no request in flight is cut off, and no new work is taken after a while. */
  async leave(): Promise<void> {
    this.#isEnding = true;
    this.#serverSync.close();
    this.#log(LogLevel.Info, "The daemon is leaving");
    const { shutdownMs } = this.#settings.limits;
    const callersClosed = this.#callers.close({ timeoutMs: shutdownMs });
    const announced = this.#membership.announceLeaving();
    await this.#vacating.vacate({ isServerGone: false });
    await announced;
    await callersClosed;
    await this.#vacating.awaitReplacement();
    await this.#membership.leave();
    this.#log(LogLevel.Info, "The daemon has left");
  }

  /** Ends at once. */
  async close(): Promise<void> {
    this.#isEnding = true;
    this.#services = undefined;
    this.#subscriptions.unsubscribe();
    this.#serverSync?.close();
    this.#grants?.close();
    await this.#planner?.close();
    await this.#snapshots?.close();
    await this.#detector?.close();
    await this.#callers?.close({ timeoutMs: 0 });
    await this.#links?.close();
    await this.#keeper?.close();
    this.#server?.close();
    await this.#announcements?.close();
    await this.#admin?.close();
    await this.#follower.close();
    this.#logClient.close();
  }
}
