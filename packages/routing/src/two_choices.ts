/**
 * Load balancing over the backend servers of a pool without keys, by the power of two choices: picks two
 * servers at random, and of these the one that is expected to respond sooner. Where servers report their
 * load, the expected time follows from it, since requests of other daemons queue there too. Otherwise it
 * follows from this daemon's own requests in flight and the server's recent latency.
 *
 * Traffic between data centres is expensive, so a server in this daemon's data centre is preferred while it has
 * spare slots. Under higher load, all servers share the requests, since reported loads are some tenths of a
 * second old. This suits a service whose servers and callers are both spread over data centres.
 *
 * A backend server often makes two calls at the same time. If both go to one server, they share the messages between the
 * daemons, and each message takes a daemon about as long as a request in it.
 */
import type { Address, Clock } from "@bulrushwood/types";

/** Weight of the newest latency in the moving mean. */
const LATENCY_WEIGHT = 0.2;
/** Consecutive failures after which a server is ejected. */
const FAILURES_MAX = 3;
/** Time for which a server stays ejected before one request probes it, in milliseconds. */
const EJECTION_MS = 1_000;
/** Shortest silence after which a server with requests in flight is ejected, in milliseconds. */
const SILENCE_TIMEOUT_MS = 500;
/** The silence timeout is at least this multiple of the server's mean latency. */
const SILENCE_FACTOR = 8;

/** Added to the expected response time when all slots are in use, as a share of the server's service time. */
const BUSY_PENALTY = 0.5;

/** A local server is preferred while it uses less than this share of its slots. */
const LOCAL_SLOTS_SHARE = 0.5;
/** A local server is preferred while it is expected to respond at most this factor later than another. */
const LOCAL_DELAY_FACTOR = 1.5;
/** The server beside this daemon counts as responding sooner by this time, in milliseconds: nobody forwards its requests. */
const FORWARDING_MS = 20;
/**
 * A local server is also preferred while it is expected to respond within this share of the time until the target: a
 * caller gains little by a response that comes sooner.
 */
const TARGET_SHARE = 0.5;
/** Smallest concurrency that is assumed for a server with a request limit, so that its expected time is finite. */
const CONCURRENCY_MIN = 0.02;
const MS_PER_SECOND = 1_000;

/** The load that a backend server reported, some tenths of a second old. */
export interface ServerLoad {
  running: number;
  waiting: number;
  /** Requests that the server runs at once. */
  slots: number;
  /** Requests a second that the server accepts; undefined where it names no limit. */
  requestsPerSecond?: number;
  /** Mean service time of one request, in milliseconds; 0 while unknown. */
  serviceMs: number;
  /** Time until the server could begin one more request, in milliseconds; undefined where costs are not estimated. */
  startInMs?: number;
}

/** What is known of the request that a server is chosen for. */
export interface ChoiceOptions {
  /** Time until the response should come, in milliseconds. */
  targetMs?: number;
  /** Expected service time, as a multiple of that of the service's requests; by default that of a mean request. */
  costRatio?: number;
}

interface ServerStats {
  inFlight: number;
  latencyMs: number;
  failures: number;
  /** When the server last ended a request, or got its first one after idling; undefined while idle. */
  awaitingSince: number | undefined;
  ejectedUntil: number;
}

/** Options of `TwoChoices`. */
export interface TwoChoicesOptions {
  now: Clock;
  /** Returns a random number from 0 to 1. */
  random: () => number;
  /** Returns the load that a server reported, or undefined where it reports none. */
  loadOf?: (server: Address) => ServerLoad | undefined;
  /** Whether a server is in this daemon's data centre; where left out, all servers are. */
  isLocal?: (server: Address) => boolean;
  /** Address of this daemon, whose own server needs no forwarding; undefined where it has none. */
  self?: Address;
  /** Time within which a second request goes to the server of the first, in milliseconds; 0, also where left out, for never. */
  pairMs?: number;
}

/** Load balancer for pools without keys, with what this daemon has observed of each server. */
export class TwoChoices {
  readonly #options: TwoChoicesOptions;
  readonly #stats = new Map<Address, ServerStats>();
  /** Server of the last request that may be the first of a pair, and when it was chosen. */
  #first: { server: Address; at: number } | undefined;

  constructor(options: TwoChoicesOptions) {
    this.#options = options;
  }

  /** Returns the chosen server, followed by one to try after it. */
  choose(servers: Address[], { targetMs = 0, costRatio = 1 }: ChoiceOptions = {}): Address[] {
    const usable = servers.filter((server) => this.#isUsable(server));
    const pool = usable.length > 0 ? usable : servers;
    const paired = this.#takePaired(pool);
    if (paired !== undefined) {
      const others = pool.filter((server) => server !== paired);
      return [paired, ...this.#chooseOfTwo(others, costRatio).slice(0, 1)];
    }
    const chosen = this.#chooseAnew(pool, { targetMs, costRatio });
    this.#first = chosen.length > 0 ? { server: chosen[0], at: this.#options.now() } : undefined;
    return chosen;
  }

  /** Returns the server of the request before if this one is the second of a pair and the server has slots for it. */
  #takePaired(pool: Address[]): Address | undefined {
    const { now, pairMs = 0, loadOf } = this.#options;
    const first = this.#first;
    this.#first = undefined;
    if (first === undefined || now() - first.at >= pairMs || !pool.includes(first.server)) {
      return undefined;
    }
    const load = loadOf?.(first.server);
    const hasSlots = load === undefined ||
      openRequests(load, this.#statsOf(first.server).inFlight) < concurrencyOf(load);
    return hasSlots ? first.server : undefined;
  }

  /** Chooses by the expected response times alone. */
  #chooseAnew(pool: Address[], { targetMs, costRatio }: Required<ChoiceOptions>): Address[] {
    if (pool.length < 2) {
      return pool;
    }
    const { isLocal = () => true, self } = this.#options;
    const own = self !== undefined && pool.includes(self) ? self : undefined;
    const locals = pool.filter((server) => server !== own && isLocal(server));
    const [sampled] = this.#chooseOfTwo(locals, costRatio);
    const local = this.#choosePreferred(own, sampled, costRatio);
    if (local === undefined) {
      return this.#chooseOfTwo(pool, costRatio);
    }
    const [other] = this.#chooseOfTwo(pool.filter((server) => server !== local), costRatio);
    const localCost = this.#cost(local, costRatio);
    const isSoonEnough = this.#reports(local) && localCost <= targetMs * TARGET_SHARE;
    const isLocalPreferred = isSoonEnough || (this.#hasSpareSlots(local) &&
      localCost <= this.#cost(other, costRatio) * LOCAL_DELAY_FACTOR);
    return isLocalPreferred ? [local, other] : this.#chooseOfTwo(pool, costRatio);
  }

  /** Returns the own server where that is expected to respond about as soon as another local one. */
  #choosePreferred(
    own: Address | undefined,
    sampled: Address | undefined,
    costRatio: number,
  ): Address | undefined {
    if (own === undefined || sampled === undefined) {
      return own ?? sampled;
    }
    const isOwnPreferred = this.#hasSpareSlots(own) &&
      this.#cost(own, costRatio) <= this.#cost(sampled, costRatio) + FORWARDING_MS;
    return isOwnPreferred ? own : sampled;
  }

  #reports(server: Address): boolean {
    const load = this.#options.loadOf?.(server);
    return load !== undefined && load.serviceMs > 0;
  }

  /** Whether a server reports its load and has enough free slots to be preferred for being local. */
  #hasSpareSlots(server: Address): boolean {
    const load = this.#options.loadOf?.(server);
    return load !== undefined &&
      openRequests(load, this.#statsOf(server).inFlight) < concurrencyOf(load) * LOCAL_SLOTS_SHARE;
  }

  /** Returns two random servers, the one that is expected to respond sooner first. */
  #chooseOfTwo(pool: Address[], costRatio: number): Address[] {
    if (pool.length < 2) {
      return pool;
    }
    const first = this.#pickRandom(pool);
    const second = this.#pickRandom(pool.filter((server) => server !== first));
    const isFirstSooner = this.#cost(first, costRatio) <= this.#cost(second, costRatio);
    return isFirstSooner ? [first, second] : [second, first];
  }

  #pickRandom(servers: Address[]): Address {
    return servers[Math.floor(this.#options.random() * servers.length)];
  }

  #statsOf(server: Address): ServerStats {
    const existing = this.#stats.get(server);
    if (existing !== undefined) {
      return existing;
    }
    const stats = {
      inFlight: 0,
      latencyMs: 0,
      failures: 0,
      awaitingSince: undefined,
      ejectedUntil: 0,
    };
    this.#stats.set(server, stats);
    return stats;
  }

  /** Expected time until a server responds, or a measure that orders servers alike where it reports no load. */
  #cost(server: Address, costRatio: number): number {
    const stats = this.#statsOf(server);
    const load = this.#options.loadOf?.(server);
    if (load !== undefined && load.serviceMs > 0) {
      return expectedMs(load, { inFlight: stats.inFlight, costRatio });
    }
    return (stats.inFlight + 1) * (stats.latencyMs + 1);
  }

  /** Whether a server is not ejected. After the ejection time, one request at a time probes it. */
  #isUsable(server: Address): boolean {
    const { now } = this.#options;
    const stats = this.#statsOf(server);
    const unresponsiveMs = stats.awaitingSince === undefined ? 0 : now() - stats.awaitingSince;
    if (unresponsiveMs > Math.max(SILENCE_TIMEOUT_MS, stats.latencyMs * SILENCE_FACTOR)) {
      return false;
    }
    if (stats.failures < FAILURES_MAX) {
      return true;
    }
    return now() >= stats.ejectedUntil && stats.inFlight === 0;
  }

  /** Forgets what was observed of the server at an address that another one has taken over. */
  forget(server: Address): void {
    this.#stats.delete(server);
  }

  /** Records that a request was sent to a server; the returned function must be called once, when it ends. */
  begin(server: Address): (succeeded: boolean) => void {
    const { now } = this.#options;
    const stats = this.#statsOf(server);
    const startedAt = now();
    stats.inFlight++;
    stats.awaitingSince ??= startedAt;
    return (succeeded) => {
      stats.inFlight--;
      stats.awaitingSince = stats.inFlight > 0 ? now() : undefined;
      if (succeeded) {
        stats.failures = 0;
        stats.latencyMs += LATENCY_WEIGHT *
          (now() - startedAt - stats.latencyMs);
      } else {
        stats.failures++;
        stats.ejectedUntil = now() + EJECTION_MS;
      }
    };
  }
}

/** Number of requests that a server runs at once, which a request limit may keep below its slots. */
function concurrencyOf({ slots, serviceMs, requestsPerSecond }: ServerLoad): number {
  const most = Math.max(1, slots);
  return requestsPerSecond === undefined
    ? most
    : Math.min(most, Math.max(CONCURRENCY_MIN, requestsPerSecond * serviceMs / MS_PER_SECOND));
}

/** Number of requests at a server: as it reported, or this daemon's own in flight where those are more. */
function openRequests(load: ServerLoad, inFlight: number): number {
  return Math.max(inFlight, load.running + load.waiting);
}

/** Expected time until a server responds to one more request, in milliseconds. */
function expectedMs(
  load: ServerLoad,
  { inFlight, costRatio }: { inFlight: number; costRatio: number },
): number {
  const slots = concurrencyOf(load);
  const ahead = openRequests(load, inFlight);
  const busy = Math.min(1, ahead / slots);
  const ownMs = load.serviceMs * costRatio * (1 + BUSY_PENALTY * busy);
  if (load.startInMs === undefined) {
    const queued = Math.max(0, ahead + 1 - slots) / slots;
    return ownMs + load.serviceMs * queued;
  }
  // Requests that were sent since the server reported its load may have taken its free slots.
  const unreported = Math.max(0, inFlight - load.running - load.waiting);
  const queued = load.startInMs > 0 ? unreported / slots : Math.max(0, ahead + 1 - slots) / slots;
  return ownMs + load.startInMs + load.serviceMs * queued;
}
