/**
 * Estimates how long a backend server works on a request, from the requests that it answered before. Requests of one
 * route differ most by the length of their bodies, so each route has an estimate for each class of lengths, which is
 * drawn towards that of the route while it is based on few requests. Durations are free of waiting and of the slowness
 * of the server at that time. Only answered requests count: a request that was cancelled, cut or lost says how long its
 * caller waited, not how much work it was.
 */

/** Weight of the newest request in the moving means. */
const WEIGHT = 0.08;
/** Requests as many of which a class of lengths must have had for its own estimate to count half. */
const HALF_WEIGHT_REQUESTS = 5;
/** Largest number of estimates, whatever callers send; the one that was made first is dropped first. */
const ESTIMATES_MAX = 500;
/** Bodies up to this length are of one class, in bytes; each further class reaches to four times the length. */
const SHORT_BYTES = 1_024;
const LENGTH_FACTOR = 4;
const LENGTH_CLASSES = 8;

/** What is known of a request before it runs. */
export interface RequestTraits {
  route: string;
  /** Length of the body; 0 where there is none. */
  bytes?: number;
}

interface Estimate {
  ms: number;
  count: number;
}

/** Estimates of one backend server. */
export class RequestCosts {
  readonly #estimates = new Map<string, Estimate>();

  /** Records how long an answered request took, in milliseconds of a server that works as usual. */
  record(traits: RequestTraits, ms: number): void {
    this.#add(traits.route, ms);
    this.#add(keyOf(traits), ms);
  }

  /** Returns the expected duration, in milliseconds; undefined before the first request of the route. */
  expectedMs(traits: RequestTraits): number | undefined {
    const route = this.#estimates.get(traits.route);
    const own = this.#estimates.get(keyOf(traits));
    if (route === undefined || own === undefined) {
      return route?.ms ?? own?.ms;
    }
    const share = own.count / (own.count + HALF_WEIGHT_REQUESTS);
    return share * own.ms + (1 - share) * route.ms;
  }

  #add(key: string, ms: number): void {
    const { ms: before, count } = this.#estimates.get(key) ?? { ms, count: 0 };
    const weight = Math.max(WEIGHT, 1 / (count + 1));
    this.#estimates.set(key, { ms: before + weight * (ms - before), count: count + 1 });
    if (this.#estimates.size > ESTIMATES_MAX) {
      const [oldest] = this.#estimates.keys();
      this.#estimates.delete(oldest);
    }
  }
}

function keyOf({ route, bytes = 0 }: RequestTraits): string {
  const lengthClass = Math.ceil(
    Math.log(Math.max(1, bytes / SHORT_BYTES)) / Math.log(LENGTH_FACTOR),
  );
  return `${route} ${Math.min(LENGTH_CLASSES, lengthClass)}`;
}
