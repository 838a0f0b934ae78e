/**
 * Decides which requests of callers a stopping daemon still accepts. Soon after the stop signal, callers may not know
 * yet that the daemon stops, and it accepts all requests. Later it accepts only those whose deadlines pass before it
 * ends: a request that is cut at the end may have run, and its caller does not learn whether it did.
 */
import type { Clock } from "@bulrushwood/types";

/** Time between the last responses and the end, in milliseconds. */
const LAST_RESPONSES_MS = 200;

/** Options of `Shutdown`. */
export interface ShutdownOptions {
  now: Clock;
  /** Longest time from the stop signal until the process ends, in milliseconds. */
  shutdownMs: number;
  /** Time after the stop signal in which all requests are accepted, in milliseconds; 0 where left out. */
  acceptAllMs?: number;
}

/** Progress of a daemon's graceful stop. */
export class Shutdown {
  readonly #options: ShutdownOptions;
  #startedAt: number | undefined;

  constructor(options: ShutdownOptions) {
    this.#options = options;
  }

  /** Records the stop signal. */
  begin(): void {
    this.#startedAt ??= this.#options.now();
  }

  /** Whether the daemon is stopping. */
  get isEnding(): boolean {
    return this.#startedAt !== undefined;
  }

  /** When the process ends, on its clock in milliseconds; infinite before the stop signal. */
  get endAt(): number {
    return this.#startedAt === undefined ? Infinity : this.#startedAt + this.#options.shutdownMs;
  }

  /** When all open requests get a response, so that it is sent before the end. */
  get lastResponsesAt(): number {
    return this.endAt - Math.min(LAST_RESPONSES_MS, this.#options.shutdownMs / 2);
  }

  /** Whether a request with a deadline is accepted now. */
  mayAccept(deadline: number): boolean {
    const { now, acceptAllMs = 0 } = this.#options;
    const isEarly = this.#startedAt === undefined || now() < this.#startedAt + acceptAllMs;
    return isEarly || deadline <= this.lastResponsesAt;
  }

  /** Time until this daemon, or the next one at its address, may accept a request, in milliseconds. */
  get retryAfterMs(): number {
    return Math.max(1, this.endAt - this.#options.now());
  }
}
