/**
 * What one daemon knows of the servers of its deployment: of the one beside it from its own work, of the
 * others from the heartbeats of their daemons.
 */
import { type DeploymentSettings, ServerState } from "@bulrushwood/deployment";
import { countKeys, type OwnershipTable, rangesOf } from "@bulrushwood/ledger_store";
import type { Granting } from "@bulrushwood/lease_ranges";
import type { Voter } from "@bulrushwood/lease_votes";
import { type Heartbeats, rankOf, type ServerStatus } from "@bulrushwood/membership_beats";
import { type Candidate, firstPlanner, mayOwn, type Piece } from "@bulrushwood/planner_ranges";
import type { ServerLoad } from "@bulrushwood/routing";
import { type Address, now } from "@bulrushwood/types";
import type { Runner, ServerPressure } from "./runner.ts";
import type { ServerWatch } from "./server_watch.ts";

/** How long measured load is told before it is measured again, in milliseconds. */
const MEASURE_MS = 200;

/** What a view of the servers needs. */
export interface ServerViewOptions {
  self: Address;
  settings: DeploymentSettings;
  heartbeats: Heartbeats;
  watch: ServerWatch;
  runner: Runner;
  granting: Granting;
  /** The ownership table of the service beside this daemon. */
  table: () => OwnershipTable;
  /** Whether that service has keys. */
  isKeyed: () => boolean;
  isEnding: () => boolean;
}

/** The servers of a deployment, as one daemon knows them. */
export class ServerView {
  readonly #options: ServerViewOptions;
  #measuredAt = Number.NEGATIVE_INFINITY;
  #pressure: ServerPressure & { pieces: Piece[] } = {
    rate: 0,
    serviceMs: 0,
    running: 0,
    waiting: 0,
    pieces: [],
  };

  constructor(options: ServerViewOptions) {
    this.#options = options;
  }

  /** The load of the server beside this daemon, as it was last measured. */
  get pressure(): ServerPressure {
    return this.#pressure;
  }

  /** Daemons beside servers of a service that take work now. */
  serversOf(service: string): Address[] {
    const { self, settings, heartbeats, watch } = this.#options;
    const servers: Address[] = [];
    for (const [address, { beat }] of heartbeats.peers) {
      const isUsable = beat.service === service && !beat.isLeaving && mayOwn(beat.server) &&
        heartbeats.isHeard(address);
      if (isUsable) {
        servers.push(address);
      }
    }
    if (service === settings.service && watch.ready !== undefined) {
      servers.push(self);
    }
    return servers;
  }

  /** The load of the server beside a daemon. */
  loadOf(address: Address): ServerLoad | undefined {
    const { self, heartbeats, runner } = this.#options;
    const isOwn = address === self;
    const status = isOwn
      ? this.status({ withPieces: false })
      : heartbeats.peers.get(address)?.beat.server;
    if (status === null || status === undefined) {
      return undefined;
    }
    // What waits here is known exactly; peers tell it with each heartbeat.
    const { running, waiting } = isOwn ? runner : status.load;
    return { running, waiting, slots: status.slots, serviceMs: status.load.serviceMs };
  }

  /** Whether a daemon is in the same data centre. */
  isNear(address: Address): boolean {
    const { self, settings, heartbeats } = this.#options;
    return address === self ||
      heartbeats.peers.get(address)?.beat.dataCentre === settings.dataCentre;
  }

  /** Peers that reach the store, from a random one on, so that their load is even. */
  storePeers(): Address[] {
    const { heartbeats } = this.#options;
    const peers = [...heartbeats.peers]
      .filter(([address, { beat }]) => beat.hasStore && heartbeats.isHeard(address))
      .map(([address]) => address);
    const start = Math.floor(Math.random() * peers.length);
    return [...peers.slice(start), ...peers.slice(0, start)];
  }

  /** The daemon that plans for the service, as far as this one hears: the lowest that reaches the store. */
  get planner(): Address | undefined {
    const { settings, heartbeats } = this.#options;
    return firstPlanner(heartbeats, settings.service);
  }

  /**
   * Daemons that could vote. In a small deployment those in other data centres come first; in a large one
   * each daemon has an order of its own, so that all vote for about as many.
   */
  voters(): Voter[] {
    const { self, settings, heartbeats } = this.#options;
    const heard = [...heartbeats.peers].filter(([address, { beat }]) =>
      heartbeats.isHeard(address) && heartbeats.isPartner(address) && !beat.isLeaving
    );
    if (!heartbeats.isWithAll) {
      return heard
        .sort(([left], [right]) => rankOf(self, left) - rankOf(self, right))
        .map(([address, { beat }]) => ({ address, incarnation: beat.incarnation }));
    }
    const rank = (address: Address, dataCentre: string) =>
      `${dataCentre === settings.dataCentre ? 1 : 0}${address > self ? 0 : 1}${address}`;
    return heard
      .sort((left, right) =>
        rank(left[0], left[1].beat.dataCentre) < rank(right[0], right[1].beat.dataCentre) ? -1 : 1
      )
      .map(([address, { beat }]) => ({ address, incarnation: beat.incarnation }));
  }

  /** The server beside this daemon, as it is told to peers; null before its first report. */
  status(options: { withPieces: boolean }): ServerStatus | null {
    const { watch } = this.#options;
    const { report, leavingSince, isReachable, isCold } = watch;
    if (report === undefined) {
      return null;
    }
    const { rate, serviceMs, running, waiting, pieces } = this.#measure();
    return {
      id: report.id,
      bornMs: report.bornMs,
      slots: report.slots,
      state: leavingSince === undefined ? ServerState.Ready : ServerState.Draining,
      isCold,
      isReachable,
      load: { rate, serviceMs, running, waiting, pieces: options.withPieces ? pieces : [] },
    };
  }

  #measure(): ServerPressure & { pieces: Piece[] } {
    const { runner, granting, isKeyed } = this.#options;
    if (now() - this.#measuredAt > MEASURE_MS) {
      this.#measuredAt = now();
      const pieces = isKeyed() ? runner.meter.cut(granting.own) : [];
      this.#pressure = { ...runner.measure(), pieces };
    }
    return this.#pressure;
  }

  /** Servers of the own service that may own keys. */
  candidates(): Candidate[] {
    const { self, settings, heartbeats, watch, isEnding } = this.#options;
    const own = isEnding() || watch.ready === undefined
      ? []
      : [this.#toCandidate(self, this.status({ withPieces: true })!)];
    const others = this.serversOf(settings.service).filter((address) => address !== self);
    return own.concat(
      others.map((address) =>
        this.#toCandidate(address, heartbeats.peers.get(address)!.beat.server!)
      ),
    );
  }

  #toCandidate(address: Address, { slots, isCold, load }: ServerStatus): Candidate {
    const { serviceMs, waiting, pieces } = load;
    // The rate of the pieces follows a rush sooner than the smoothed one.
    const rate = pieces.length > 0 ? pieces.reduce((sum, piece) => sum + piece.rate, 0) : load.rate;
    const keys = countKeys(rangesOf(this.#options.table(), address));
    return { address, slots, rate, serviceMs, waiting, isCold, pieces, keys };
  }
}
