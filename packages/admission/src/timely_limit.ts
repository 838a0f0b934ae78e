/**
 * Bounds the requests at a server that lets their deadlines pass. Such a server has more work than it can do, even where
 * it has free slots by its own account, for example because connections wait to be accepted. Each request that it gets
 * costs a caller the whole deadline and delays the others further, so while most requests end late, the server gets
 * fewer, and the rest are rejected at once.
 */

/** Weight of the newest request in the moving means. */
const MEAN_WEIGHT = 0.1;
/** Share of late requests up to which all slots are used: a server may lose single responses. */
const LATE_SHARE_MAX = 0.5;
/** A late request counts if it had at least this multiple of the time that timely ones take. */
const TIME_FACTOR = 2;
/** Requests at once that show whether the server responds in time again. */
const PROBES = 1;

/** Limit on the requests at one server, from how many of them end late. */
export class TimelyLimit {
  #lateShare = 0;
  /** Mean time that timely requests take, in milliseconds. */
  #timelyMs = 0;

  /** Records that a request had its response before its deadline, after some milliseconds. */
  recordTimely(ms: number): void {
    this.#timelyMs += MEAN_WEIGHT * (ms - this.#timelyMs);
    this.#record(0);
  }

  /** Records that a request had no response when its deadline passed, after some milliseconds. */
  recordLate(ms: number): void {
    if (ms >= this.#timelyMs * TIME_FACTOR) {
      this.#record(1);
    }
  }

  #record(late: number): void {
    this.#lateShare += MEAN_WEIGHT * (late - this.#lateShare);
  }

  /** Returns how many of a server's slots may be used. */
  limit(slots: number): number {
    const share = (1 - this.#lateShare) / (1 - LATE_SHARE_MAX);
    return share >= 1 ? slots : Math.min(slots, Math.max(PROBES, Math.floor(slots * share)));
  }
}
