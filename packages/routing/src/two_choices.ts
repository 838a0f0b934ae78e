/**
 * Chooses a backend server of a pool without keys: two at random, and of these the one that will answer
 * sooner. Where servers tell their load, that decides, since other daemons' requests wait there as well;
 * else it is the fewer of our own requests in flight, weighed by how fast the server answered lately.
 *
 * Bytes between data centres cost, so a server in the same one is taken while it has ample room; under more
 * load all servers share it, since what is known of them is some tenths of a second old. Answers the load of a
 * service whose servers are spread over data centres, as callers are.
 */
import type { Address, Clock } from "@bulrushwood/types";

/** Weight of the newest latency in the running mean. */
const LATENCY_WEIGHT = 0.2;
/** Consecutive failures after which a server is set aside. */
const FAILURES_MAX = 3;
/** How long a server is set aside before one request probes it, in milliseconds. */
const ASIDE_MS = 1_000;
/** Silence of a server with requests in flight after which it is set aside, in milliseconds. */
const SILENCE_MS = 500;
/** Silence is also measured against the server's usual latency, times this. */
const SILENCE_FACTOR = 8;

/** Added to the expected time of a busy server, as a share of its service time when all slots are in use. */
const BUSY_SHARE = 0.5;

/** A near server is taken while it uses less than this share of its slots. */
const NEAR_SHARE = 0.5;
/** A near server may be expected to answer later than another by this factor, but no more. */
const NEAR_FACTOR = 1.5;

/** The load of a backend server, as it was told some tenths of a second ago. */
export interface ServerLoad {
  running: number;
  waiting: number;
  /** Requests that it runs at once. */
  slots: number;
  /** Mean time that it takes for one request, in milliseconds; 0 while unknown. */
  serviceMs: number;
}

interface Standing {
  inFlight: number;
  latencyMs: number;
  failures: number;
  /** When the oldest request without a later answer began. */
  waitingSince: number | undefined;
  asideUntil: number;
}

/** How to make a chooser. */
export interface TwoChoicesOptions {
  now: Clock;
  /** A random number from 0 to 1. */
  random: () => number;
  /** The load that a server tells; undefined where it tells none. */
  loadOf?: (server: Address) => ServerLoad | undefined;
  /** Whether a server is in this daemon's data centre; all are where it is left out. */
  isNear?: (server: Address) => boolean;
}

/** What is seen of the servers of pools without keys. */
export class TwoChoices {
  readonly #options: TwoChoicesOptions;
  readonly #standings = new Map<Address, Standing>();

  constructor(options: TwoChoicesOptions) {
    this.#options = options;
  }

  /** Orders some servers: the chosen one first, then one to try after it. */
  choose(servers: Address[]): Address[] {
    const usable = servers.filter((server) => this.#isUsable(server));
    const pool = usable.length > 0 ? usable : servers;
    if (pool.length < 2) {
      return pool;
    }
    const { isNear = () => true } = this.#options;
    const [nearest] = this.#chooseOfTwo(pool.filter(isNear));
    const [other] = this.#chooseOfTwo(pool.filter((server) => server !== nearest));
    const isNearSoon = nearest !== undefined && this.#hasAmpleRoom(nearest) &&
      this.#cost(nearest) <= this.#cost(other) * NEAR_FACTOR;
    return isNearSoon ? [nearest, other] : this.#chooseOfTwo(pool);
  }

  /** Whether a server that tells its load has most of its slots free. */
  #hasAmpleRoom(server: Address): boolean {
    const load = this.#options.loadOf?.(server);
    return load !== undefined &&
      openAt(load, this.#standingOf(server).inFlight) < load.slots * NEAR_SHARE;
  }

  /** Two at random, the one that will answer sooner first. */
  #chooseOfTwo(pool: Address[]): Address[] {
    if (pool.length < 2) {
      return pool;
    }
    const first = this.#pick(pool);
    const second = this.#pick(pool.filter((server) => server !== first));
    return this.#cost(first) <= this.#cost(second) ? [first, second] : [second, first];
  }

  #pick(servers: Address[]): Address {
    return servers[Math.floor(this.#options.random() * servers.length)];
  }

  #standingOf(server: Address): Standing {
    const known = this.#standings.get(server);
    if (known !== undefined) {
      return known;
    }
    const standing = {
      inFlight: 0,
      latencyMs: 0,
      failures: 0,
      waitingSince: undefined,
      asideUntil: 0,
    };
    this.#standings.set(server, standing);
    return standing;
  }

  #cost(server: Address): number {
    const standing = this.#standingOf(server);
    const load = this.#options.loadOf?.(server);
    if (load !== undefined && load.serviceMs > 0) {
      return expectedMs(load, standing.inFlight);
    }
    return (standing.inFlight + 1) * (standing.latencyMs + 1);
  }

  /** A server set aside is probed by one request at a time. */
  #isUsable(server: Address): boolean {
    const { now } = this.#options;
    const standing = this.#standingOf(server);
    const silentMs = standing.waitingSince === undefined ? 0 : now() - standing.waitingSince;
    if (silentMs > Math.max(SILENCE_MS, standing.latencyMs * SILENCE_FACTOR)) {
      return false;
    }
    if (standing.failures < FAILURES_MAX) {
      return true;
    }
    return now() >= standing.asideUntil && standing.inFlight === 0;
  }

  /** Notes that a request went to a server; the result is called once, when it is over. */
  begin(server: Address): (succeeded: boolean) => void {
    const { now } = this.#options;
    const standing = this.#standingOf(server);
    const startedAt = now();
    standing.inFlight++;
    standing.waitingSince ??= startedAt;
    return (succeeded) => {
      standing.inFlight--;
      standing.waitingSince = standing.inFlight > 0 ? now() : undefined;
      if (succeeded) {
        standing.failures = 0;
        standing.latencyMs += LATENCY_WEIGHT *
          (now() - startedAt - standing.latencyMs);
      } else {
        standing.failures++;
        standing.asideUntil = now() + ASIDE_MS;
      }
    };
  }
}

/** Requests at a server: what it told, or our own where we have more there by now. */
function openAt(load: ServerLoad, inFlight: number): number {
  return Math.max(inFlight, load.running + load.waiting);
}

/** When a server will have answered one request more, in milliseconds. */
function expectedMs(load: ServerLoad, inFlight: number): number {
  const slots = Math.max(1, load.slots);
  const ahead = openAt(load, inFlight);
  const queued = Math.max(0, ahead + 1 - slots) / slots;
  const busy = Math.min(1, ahead / slots);
  return load.serviceMs * (1 + queued + BUSY_SHARE * busy);
}
