/**
 * Shares the event loop between new connections and work.
 *
 * Node.js accepts one connection in each round of its event loop. If each round did all the work that is at hand, new
 * connections would wait for as many rounds as there are connections before them, and their callers would have left
 * once they are accepted. So each round does only a few milliseconds of work, and while rounds find connections to
 * accept, the loop takes turns: in one it only accepts connections, in the next it works as well.
 *
 * While work waits, the most urgent goes first: a late response to a call that a backend server waits for fails all the
 * work that it has done until then. Urgent work passes other work only for some time, so that none waits for ever.
 */
import process from "node:process";
import type { Clock } from "@bulrushwood/types";

/** Time for which work waits while connections are accepted, and then for which it goes on, in milliseconds. */
const TURN_MS = 20;
/** Time by which work may pass work of the next rank that came before it, in milliseconds. */
const PASS_MS_PER_RANK = 25;
/** Longest time by which work may pass other work, in milliseconds; most requests have a target of some hundred. */
const PASS_MS_MAX = 200;
/** Time of work in one round after which the rest waits for the next round, in milliseconds. */
const SLICE_MS = 5;

export interface EventLoopOptions {
  now: Clock;
  /** Returns for how long the event loop has been idle in all, in milliseconds; undefined where that is not known. */
  idleMs?: () => number;
  /** Called with the times for which each piece of work, and the oldest one that waits, have waited, in milliseconds. */
  onRelease?: (waitMs: number, oldestMs: number) => void;
}

/** Time after an idle event loop has woken up in which what it reads has just arrived, in milliseconds. */
const FRESH_MS = 1;

/** A piece of work that waits. */
interface Waiting {
  joinedAt: number;
  /** Position in the order of work: the time of its arrival, later by what more urgent work may pass it by. */
  position: number;
  release: () => void;
}

/** A time in which the event loop either only accepts connections or works as well. */
interface Turn {
  isForWork: boolean;
  endsAt: number;
}

/** The rounds of this process's event loop while connections and requests arrive. */
export class EventLoop {
  readonly #options: EventLoopOptions;
  /** Work that came since the last poll. */
  #joined: Waiting[] = [];
  /** Work that came before the last poll and after the one before it. */
  #polled: Waiting[] = [];
  /** Work that may go on, in order of its position. */
  readonly #due: Waiting[] = [];
  #isScheduled = false;
  /** Time for which the event loop had been idle when work last came, and when that was. */
  #idleMs = 0;
  #wokeAt = Number.NEGATIVE_INFINITY;
  /** Whether a connection was accepted in this round. */
  #hasAccepted = false;
  /** The turn while connections are accepted; undefined while none waits to be accepted. */
  #turn: Turn | undefined;

  constructor(options: EventLoopOptions) {
    this.#options = options;
  }

  /** Records that a connection was accepted, whose first request comes with the next poll. */
  recordAccepted(): void {
    this.#hasAccepted = true;
    this.#schedule();
  }

  /**
   * Resolves when the caller may work: after the event loop has polled all connections again, so that the end of a
   * caller's connection or a cancellation that arrived up to then was handled. Work with a lower rank goes first, unless
   * other work came long before it.
   */
  nextPoll(rank = 0): Promise<void> {
    const joinedAt = this.#options.now();
    if (this.#isFresh(joinedAt)) {
      this.#options.onRelease?.(0, 0);
      return Promise.resolve();
    }
    this.#schedule();
    const position = joinedAt + Math.min(PASS_MS_MAX, rank * PASS_MS_PER_RANK);
    return new Promise((release) => this.#joined.push({ joinedAt, position, release }));
  }

  /** Whether the event loop was idle until a moment ago, so that nothing waits and no end of a connection is unread. */
  #isFresh(at: number): boolean {
    const { idleMs } = this.#options;
    if (idleMs === undefined) {
      return false;
    }
    const idle = idleMs();
    if (idle > this.#idleMs) {
      this.#idleMs = idle;
      this.#wokeAt = at;
    }
    const isWaiting = this.#isScheduled || this.#due.length > 0;
    return !isWaiting && at - this.#wokeAt < FRESH_MS;
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => this.#endPoll());
    }
  }

  /** Runs after each poll until there is neither work nor a connection whose request comes next. */
  #endPoll(): void {
    this.#isScheduled = false;
    const at = this.#options.now();
    const hasAccepted = this.#hasAccepted;
    this.#hasAccepted = false;
    this.#turn = hasAccepted ? nextTurn(this.#turn, at) : undefined;
    this.#polled.forEach((waiting) => this.#addDue(waiting));
    this.#polled = this.#joined;
    this.#joined = [];
    if (hasAccepted || this.#due.length + this.#polled.length > 0) {
      this.#schedule();
    }
    if (this.#turn?.isForWork !== false) {
      this.#releaseNext(at + SLICE_MS);
    }
  }

  #addDue(waiting: Waiting): void {
    const index = this.#due.findLastIndex(({ position }) => position <= waiting.position);
    this.#due.splice(index + 1, 0, waiting);
  }

  /** Releases work one after the other until a time, each when all that the one before set off has run. */
  #releaseNext(until: number): void {
    if (this.#due.length === 0) {
      return;
    }
    const { now, onRelease } = this.#options;
    const { joinedAt, release } = this.#due.shift()!;
    if (onRelease !== undefined) {
      const oldestAt = this.#due.reduce(
        (least, other) => Math.min(least, other.joinedAt),
        joinedAt,
      );
      onRelease(now() - joinedAt, now() - oldestAt);
    }
    release();
    // A tick that is queued by a microtask runs after all other microtasks.
    queueMicrotask(() =>
      process.nextTick(() => {
        if (now() < until) {
          this.#releaseNext(until);
        }
      })
    );
  }
}

/** Returns the turn at a time: the current one until it ends, then the other kind; the first one is for connections. */
function nextTurn(turn: Turn | undefined, at: number): Turn {
  return turn !== undefined && at < turn.endsAt
    ? turn
    : { isForWork: turn !== undefined && !turn.isForWork, endsAt: at + TURN_MS };
}
