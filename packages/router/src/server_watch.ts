/**
 * Tracks the backend server of a daemon: its incarnation, whether it accepts requests and whether it is
 * reachable. Reports may arrive late, so they are ordered by the incarnation's start, then by sequence number.
 */
import { Subject } from "rxjs";
import {
  isSameIncarnation,
  type ServerIdentity,
  type ServerNotice,
  type ServerReport,
  ServerState,
  type StatusReport,
} from "@bulrushwood/deployment";
import type { Clock } from "@bulrushwood/types";
import { ServerLimit } from "./server_limit.ts";

/** Report intervals without a report or response after which a server counts as unreachable. */
const SILENT_REPORT_INTERVALS = 2.3;
/** Silence timeout of a server that refuses connections, in milliseconds. */
const REFUSED_TIMEOUT_MS = 100;

/** Report intervals without a newer report after which the newest one may be another writer's. */
const DOUBTFUL_REPORT_INTERVALS = 1.5;
/** Least report intervals between two outdated reports that show that the server still reports. */
const REPEATED_REPORT_INTERVALS = 0.5;

/** Start assumed for a leave that an earlier process acknowledged, as the time for new requests may be over. */
const LONG_AGO = Number.NEGATIVE_INFINITY;

/** What is known of a server that left: its incarnation, and whether that may be any earlier one of the same id. */
export interface Departure extends ServerIdentity {
  mayBeEarlier?: boolean;
}

export interface ServerWatchOptions {
  service: string;
  now: Clock;
  /** Returns Unix time in milliseconds. */
  wallClock?: () => number;
  reportEveryMs: number;
  /** Returns the requests a second that a cold server may get; undefined, also where left out, for any number. */
  coldPerSecond?: () => number | undefined;
}

/** State of one daemon's backend server. */
export class ServerWatch {
  readonly #options: ServerWatchOptions;
  readonly #changes = new Subject<void>();
  #report: ServerReport | undefined;
  /** Ids of servers that sent a farewell, so that a late report is not accepted. */
  readonly #departedIds = new Set<string>();
  /** The departure that an earlier process of this daemon stored. */
  #storedDeparture: Departure | undefined;
  /** The farewell of a server that has not sent a report to this process, and when it was received. */
  #earlyFarewell: { departure: Departure; receivedAt: number } | undefined;
  /** When the newest report was received. */
  #reportedAt = Number.NEGATIVE_INFINITY;
  /** The newest of the outdated reports since then. */
  #outdated: { report: ServerReport; receivedAt: number } | undefined;
  #receivedAt = Number.NEGATIVE_INFINITY;
  #connectionRefusedAt = Number.NEGATIVE_INFINITY;
  #leavingSince: number | undefined;
  #limit: ServerLimit;
  #coldUntil = Number.NEGATIVE_INFINITY;

  constructor(options: ServerWatchOptions) {
    this.#options = options;
    this.#limit = new ServerLimit(options.now);
  }

  /** Emits after each accepted report, farewell, stored departure or changed notice in a response. */
  get changes(): Subject<void> {
    return this.#changes;
  }

  /** The newest accepted report; undefined before the first. */
  get report(): ServerReport | undefined {
    return this.#report;
  }

  /** When the newest accepted report was received; in the past before the first. */
  get reportedAt(): number {
    return this.#reportedAt;
  }

  /** The newest report while the server is ready and reachable; undefined otherwise. */
  get ready(): ServerReport | undefined {
    return this.#leavingSince === undefined && this.isReachable ? this.#report : undefined;
  }

  /** Time when the server began to leave; undefined if it is not leaving. */
  get leavingSince(): number | undefined {
    return this.#leavingSince;
  }

  /** The departure of the current server, or of one that sent a farewell before any report; undefined if neither left. */
  get departure(): Departure | undefined {
    if (this.#report === undefined) {
      return this.#earlyFarewell?.departure;
    }
    const { id, bornMs } = this.#report;
    return this.#leavingSince === undefined ? undefined : { id, bornMs };
  }

  /** The request limit of the current incarnation. */
  get limit(): ServerLimit {
    return this.#limit;
  }

  /** Whether the server is still in its warm-up after a start. */
  get isCold(): boolean {
    return this.#options.now() < this.#coldUntil;
  }

  /** Requests a second that the server may get now; undefined for any number. */
  get allowedPerSecond(): number | undefined {
    return least(this.#limit.allowedPerSecond, this.#coldPerSecond);
  }

  /** The same, without a limit that the server has not named for a while. */
  get recentPerSecond(): number | undefined {
    return least(this.#limit.recentRequestsPerSecond, this.#coldPerSecond);
  }

  get #coldPerSecond(): number | undefined {
    return this.isCold ? this.#options.coldPerSecond?.() : undefined;
  }

  /** Records that a server said how long it stays cold; a server may become cold again at any moment. */
  recordCold(id: string, coldMs: number): void {
    if (this.#report?.id === id) {
      this.#coldUntil = this.#options.now() + coldMs;
    }
  }

  /** Whether a report or response was received within the silence timeout. */
  get isReachable(): boolean {
    const { now, reportEveryMs } = this.#options;
    const silenceMs = now() - this.#receivedAt;
    const refusesConnections = this.#connectionRefusedAt > this.#receivedAt &&
      silenceMs > REFUSED_TIMEOUT_MS;
    return !refusesConnections && silenceMs < reportEveryMs * SILENT_REPORT_INTERVALS;
  }

  /** Applies a report or farewell; returns false if it is outdated or of another service or server. */
  apply(status: StatusReport): boolean {
    if (status.kind === "farewell") {
      return this.#applyFarewell(status.id);
    }
    const { report } = status;
    const mayApply = report.service === this.#options.service &&
      (this.#report === undefined || isNewer(report, this.#report, this.#departedIds) ||
        this.#isStillReporting(report));
    if (!mayApply) {
      this.#applyOutdated(report);
      return false;
    }
    this.#outdated = undefined;
    this.#reportedAt = this.#options.now();
    const isNewIncarnation = !isSameIncarnation(report, this.#report);
    const isLeaving = report.state !== ServerState.Ready;
    this.#report = report;
    this.#receivedAt = this.#options.now();
    this.#coldUntil = this.#receivedAt + report.coldMs;
    if (isNewIncarnation) {
      this.#leavingSince = undefined;
      this.#limit = new ServerLimit(this.#options.now);
    }
    if (isCovered(report, this.#storedDeparture)) {
      this.#leavingSince ??= LONG_AGO;
    }
    if (isCovered(report, this.#earlyFarewell?.departure)) {
      this.#leavingSince ??= this.#earlyFarewell?.receivedAt;
    }
    if (isLeaving) {
      this.#leavingSince ??= this.#options.now();
    }
    this.#changes.next();
    return true;
  }

  /** Records a departure that the store has. */
  recordDeparture(departure: Departure): void {
    this.#storedDeparture = departure;
    if (isCovered(this.#report, departure) && this.#leavingSince === undefined) {
      this.#leavingSince = LONG_AGO;
      this.#changes.next();
    }
  }

  /** Ends the time for new requests to the current incarnation, which announced to a peer that it leaves. */
  endDrain(): void {
    if (this.#leavingSince !== LONG_AGO) {
      this.#leavingSince = LONG_AGO;
      this.#changes.next();
    }
  }

  /** An outdated report may be newer than it seems, and a server that leaves does not change its mind. */
  #applyOutdated(report: ServerReport): void {
    const isLeaving = report.state !== ServerState.Ready;
    if (isLeaving && isSameIncarnation(report, this.#report) && this.#leavingSince === undefined) {
      this.#leavingSince = this.#options.now();
      this.#changes.next();
    }
  }

  #applyFarewell(id: string): boolean {
    this.#departedIds.add(id);
    if (this.#report === undefined) {
      const { now, wallClock = Date.now } = this.#options;
      const departure = { id, bornMs: wallClock(), mayBeEarlier: true };
      this.#earlyFarewell = { departure, receivedAt: now() };
      this.#changes.next();
    }
    if (this.#report?.id !== id) {
      return false;
    }
    this.#leavingSince ??= this.#options.now();
    this.#changes.next();
    return true;
  }

  /**
   * Whether an outdated report shows that the newest one was another writer's, with too large a start time or sequence
   * number: the server goes on reporting, and nothing confirms the newest report. Reports that arrive late do so
   * together, or beside newer ones.
   */
  #isStillReporting(report: ServerReport): boolean {
    const { now, reportEveryMs } = this.#options;
    const earlier = this.#outdated;
    const isNewest = earlier === undefined || isNewer(report, earlier.report, this.#departedIds);
    if (!isNewest || this.#departedIds.has(report.id)) {
      return false;
    }
    this.#outdated = { report, receivedAt: now() };
    return earlier !== undefined && isSameIncarnation(report, earlier.report) &&
      now() - earlier.receivedAt > reportEveryMs * REPEATED_REPORT_INTERVALS &&
      now() - this.#reportedAt > reportEveryMs * DOUBTFUL_REPORT_INTERVALS;
  }

  /** Records what a response of a server says of itself; `sentAt` is when its request was sent. */
  recordNotice(server: ServerIdentity, notice: ServerNotice, options: { sentAt: number }): void {
    if (!isSameIncarnation(server, this.#report)) {
      return;
    }
    let hasChanged = this.#limit.apply(notice, options);
    if (notice.isLeaving && this.#leavingSince === undefined) {
      this.#leavingSince = this.#options.now();
      hasChanged = true;
    }
    if (hasChanged) {
      this.#changes.next();
    }
  }

  /** Records that the server responded. */
  recordResponse(): void {
    this.#receivedAt = this.#options.now();
  }

  /** Records that the server refused a connection. */
  recordConnectionRefused(): void {
    this.#connectionRefusedAt = this.#options.now();
  }
}

function least(one: number | undefined, other: number | undefined): number | undefined {
  return one === undefined || other === undefined ? one ?? other : Math.min(one, other);
}

/** Returns whether a report is of a server that left; false if either is undefined. */
function isCovered(report: ServerReport | undefined, departure: Departure | undefined): boolean {
  if (report === undefined || departure === undefined) {
    return false;
  }
  const { id, bornMs, mayBeEarlier = false } = departure;
  return isSameIncarnation(report, departure) ||
    (mayBeEarlier && report.id === id && report.bornMs < bornMs);
}

/** Returns whether a report is newer than another; reports of servers that have left are never newer. */
function isNewer(
  report: ServerReport,
  other: ServerReport,
  departedIds: ReadonlySet<string>,
): boolean {
  if (other.bornMs !== report.bornMs) {
    return report.bornMs > other.bornMs;
  }
  if (other.id !== report.id) {
    return !departedIds.has(report.id);
  }
  return report.sequence > other.sequence;
}
