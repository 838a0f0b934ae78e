/**
 * One daemon's view of the deployment's backend servers: its own server from local measurements, the others
 * from the heartbeats of their daemons.
 */
import { agedSlowness } from "@bulrushwood/admission";
import { type DeploymentSettings, ServerState } from "@bulrushwood/deployment";
import { countKeys, type OwnershipTable, rangesOf } from "@bulrushwood/ledger_store";
import type { GrantManager } from "@bulrushwood/lease_ranges";
import type { Voter } from "@bulrushwood/lease_votes";
import { type Heartbeats, type ServerStatus } from "@bulrushwood/membership_beats";
import { type Candidate, findPlanner, mayOwn, type Piece } from "@bulrushwood/planner_ranges";
import type { ServerLoad } from "@bulrushwood/routing";
import { type Address, now } from "@bulrushwood/types";
import type { MeasuredLoad, Runner } from "./runner.ts";
import type { ServerWatch } from "./server_watch.ts";

/** Time for which a load measurement is reused, in milliseconds. */
const MEASURE_INTERVAL_MS = 200;
/** Number of daemons of a service that notice soon when their reads of the store have no response. */
const READER_COUNT = 2;

export interface ServerViewOptions {
  self: Address;
  settings: DeploymentSettings;
  heartbeats: Heartbeats;
  watch: ServerWatch;
  runner: Runner;
  grantManager: GrantManager;
  /** Returns the number of requests whose bodies are received or wait for it. */
  openBodies: () => number;
  /** Ownership table of this daemon's service. */
  table: () => OwnershipTable;
  /** Whether this daemon's service has keys. */
  isKeyed: () => boolean;
  isEnding: () => boolean;
  /** Whether the servers of a data centre must get nothing. */
  isEvacuated: (dataCentre: string) => boolean;
}

/** The backend servers of a deployment and their load, as tracked by one daemon. */
export class ServerView {
  readonly #options: ServerViewOptions;
  #measuredAt = Number.NEGATIVE_INFINITY;
  #measuredLoad: MeasuredLoad = {
    rate: 0,
    serviceMs: 0,
    running: 0,
    waiting: 0,
    slowness: 1,
  };
  #cutAt = Number.NEGATIVE_INFINITY;
  #pieces: Piece[] = [];

  constructor(options: ServerViewOptions) {
    this.#options = options;
  }

  /** The last measured load of this daemon's server. */
  get measuredLoad(): MeasuredLoad {
    return this.#measuredLoad;
  }

  /** Returns the daemons whose servers of a service accept requests now. */
  serversOf(service: string): Address[] {
    const { self, settings, heartbeats, watch, isEvacuated } = this.#options;
    const servers: Address[] = [];
    for (const [address, { status }] of heartbeats.peers) {
      const isUsable = status.service === service && status.isServing && mayOwn(status.server) &&
        heartbeats.isResponsive(address) && !isEvacuated(status.dataCentre);
      if (isUsable) {
        servers.push(address);
      }
    }
    const isOwnUsable = watch.ready !== undefined && !isEvacuated(settings.dataCentre);
    if (service === settings.service && isOwnUsable) {
      servers.push(self);
    }
    return servers;
  }

  /** Returns the load of a daemon's server; undefined if it has not been reported. */
  loadOf(address: Address): ServerLoad | undefined {
    const { self, heartbeats, runner } = this.#options;
    const isOwn = address === self;
    const status = isOwn
      ? this.status({ withPieces: false })
      : heartbeats.peers.get(address)?.status.server;
    if (status === null || status === undefined) {
      return undefined;
    }
    // The local queue is read directly; that of peers comes with each heartbeat.
    const { running, waiting } = isOwn ? runner : status.load;
    const { slots, requestsPerSecond, load } = status;
    const { serviceMs, slowness = 1 } = load;
    const ageMs = isOwn ? 0 : now() - (heartbeats.peers.get(address)?.receivedAt ?? now());
    const agedMs = serviceMs / slowness * agedSlowness(slowness, ageMs);
    const startInMs = load.startInMs === undefined
      ? undefined
      : Math.max(0, load.startInMs - ageMs);
    return { running, waiting, slots, requestsPerSecond, serviceMs: agedMs, startInMs };
  }

  /**
   * Time within which nearly all requests for keys end at the other servers of the service, as far as they reported it,
   * in milliseconds: the median of the servers. Undefined where none did.
   */
  get peerWorkMs(): number | undefined {
    const { settings, heartbeats } = this.#options;
    const reported = [...heartbeats.peers.values()]
      .filter(({ status }) => status.service === settings.service)
      .flatMap(({ status }) => status.server?.load.workMs ?? [])
      .sort((one, other) => one - other);
    return reported[Math.floor(reported.length / 2)];
  }

  /** Returns whether a daemon is in the same data centre. */
  isLocal(address: Address): boolean {
    const { self, settings, heartbeats } = this.#options;
    return address === self ||
      heartbeats.peers.get(address)?.status.dataCentre === settings.dataCentre;
  }

  /** Returns the peers that can reach the store, starting at a random one to spread the load. */
  storePeers(): Address[] {
    const { heartbeats } = this.#options;
    const peers = [...heartbeats.peers]
      .filter(([address, { status }]) => status.hasStore && heartbeats.isResponsive(address))
      .map(([address]) => address);
    const start = Math.floor(Math.random() * peers.length);
    return [...peers.slice(start), ...peers.slice(0, start)];
  }

  /**
   * Whether this daemon is one of the few of its service that notice soon when their reads of the store have no response.
   * The others hear from these that they lack records.
   */
  get isReader(): boolean {
    const { self, settings, heartbeats } = this.#options;
    const preferred = [...heartbeats.peers].filter(([address, { status }]) =>
      address < self && status.service === settings.service && status.hasStore &&
      heartbeats.isResponsive(address)
    );
    return preferred.length < READER_COUNT;
  }

  /** The peer that plans for the service, in this daemon's view: the lowest address that can reach the store. */
  get planner(): Address | undefined {
    const { settings, heartbeats } = this.#options;
    return findPlanner(heartbeats, settings.service);
  }

  /**
   * Returns the candidates for voters. In a small deployment those in other data centres come first; in a large
   * one each daemon has its own order, so that votes are spread evenly.
   */
  voters(): Voter[] {
    const { self, settings, heartbeats } = this.#options;
    const reachable = [...heartbeats.peers].filter(([address, { status }]) =>
      heartbeats.isResponsive(address) && heartbeats.isHeartbeatPeer(address) && !status.isLeaving
    );
    if (!heartbeats.isFullMesh) {
      return reachable
        .sort(([left], [right]) => heartbeats.rank(left) - heartbeats.rank(right))
        .map(([address, { status }]) => ({ address, incarnation: status.incarnation }));
    }
    const rank = (address: Address, dataCentre: string) =>
      `${dataCentre === settings.dataCentre ? 1 : 0}${address > self ? 0 : 1}${address}`;
    return reachable
      .sort((left, right) =>
        rank(left[0], left[1].status.dataCentre) < rank(right[0], right[1].status.dataCentre)
          ? -1
          : 1
      )
      .map(([address, { status }]) => ({ address, incarnation: status.incarnation }));
  }

  /** Returns the status of this daemon's server that is sent to peers; null before its first report. */
  status(options: { withPieces: boolean }): ServerStatus | null {
    const { watch } = this.#options;
    const { report, leavingSince, isReachable, isCold, recentPerSecond } = watch;
    if (report === undefined) {
      return null;
    }
    const { rate, serviceMs, workMs, running, waiting, slowness, startInMs } = this.#measure();
    const pieces = options.withPieces ? this.#cutPieces() : [];
    return {
      id: report.id,
      bornMs: report.bornMs,
      slots: report.slots,
      requestsPerSecond: recentPerSecond,
      state: leavingSince === undefined ? ServerState.Ready : ServerState.Draining,
      isCold,
      isReachable,
      load: {
        rate,
        serviceMs,
        workMs,
        running,
        waiting,
        startInMs,
        slowness: slowness === 1 ? undefined : slowness,
        pieces,
      },
    };
  }

  #measure(): MeasuredLoad {
    if (now() - this.#measuredAt > MEASURE_INTERVAL_MS) {
      this.#measuredAt = now();
      const { runner, openBodies } = this.#options;
      const load = runner.measure();
      this.#measuredLoad = { ...load, waiting: load.waiting + openBodies() };
    }
    return this.#measuredLoad;
  }

  /** Cuts the own keys into pieces of equal load, which takes a pass over all keys; only the planner needs them. */
  #cutPieces(): Piece[] {
    const { runner, grantManager, isKeyed } = this.#options;
    if (now() - this.#cutAt > MEASURE_INTERVAL_MS) {
      this.#cutAt = now();
      this.#pieces = isKeyed() ? runner.meter.cut(grantManager.ownRanges) : [];
    }
    return this.#pieces;
  }

  /** Own part of the load of all servers of the service that are evacuated, from 0 to 1. */
  get evacuatedShare(): number {
    const { settings, heartbeats, isEvacuated } = this.#options;
    const own = this.#measuredLoad.rate;
    const others = [...heartbeats.peers.values()].filter(({ status }) =>
      status.service === settings.service && isEvacuated(status.dataCentre)
    );
    const total = others.reduce((sum, { status }) => sum + (status.server?.load.rate ?? 0), own);
    return total > 0 ? own / total : 1 / (others.length + 1);
  }

  /** Returns the servers of this daemon's service that may own keys. */
  candidates(): Candidate[] {
    const { self, settings, heartbeats, watch, isEnding, isEvacuated } = this.#options;
    const own = isEnding() || watch.ready === undefined || isEvacuated(settings.dataCentre)
      ? []
      : [this.#toCandidate(self, this.status({ withPieces: true })!)];
    const others = this.serversOf(settings.service).filter((address) =>
      address !== self && !heartbeats.peers.get(address)!.status.isLeaving
    );
    return own.concat(
      others.map((address) =>
        this.#toCandidate(address, heartbeats.peers.get(address)!.status.server!)
      ),
    );
  }

  #toCandidate(address: Address, status: ServerStatus): Candidate {
    const { slots, requestsPerSecond, isCold, load } = status;
    const { waiting, pieces, slowness = 1 } = load;
    // Slowness passes within tenths of a second, before moved keys would be served.
    const serviceMs = load.serviceMs / slowness;
    // The rate of the pieces follows a load spike sooner than the moving average.
    const rate = pieces.length > 0 ? pieces.reduce((sum, piece) => sum + piece.rate, 0) : load.rate;
    const keys = countKeys(rangesOf(this.#options.table(), address));
    return { address, slots, requestsPerSecond, rate, serviceMs, waiting, isCold, pieces, keys };
  }
}
