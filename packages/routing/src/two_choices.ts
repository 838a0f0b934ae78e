/**
 * Chooses a backend server of a pool without keys: two at random, and of these the one with fewer of our
 * own requests in flight, weighed by how fast it answered lately.
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
