/**
 * What is known of the backend server beside this daemon: its life, whether it takes work, and whether it
 * can be reached. Reports may come late, so they are ordered by the birth of the life, then by number.
 */
import { Subject } from "rxjs";
import {
  isSameLife,
  type ServerIdentity,
  type ServerReport,
  ServerState,
  type StatusReport,
} from "@bulrushwood/deployment";
import type { Clock } from "@bulrushwood/types";

/** A server that sent no report and no answer for so many report intervals counts as silent. */
const SILENT_REPORTS = 2.3;
/** A server that refuses connections is down once nothing was heard for so long, in milliseconds. */
const REFUSED_MS = 100;

/** When a server left whose leaving an earlier process acknowledged: its time for new work may be over. */
const LONG_AGO = Number.NEGATIVE_INFINITY;

/** What a server watch needs. */
export interface ServerWatchOptions {
  service: string;
  now: Clock;
  reportEveryMs: number;
}

/** The backend server beside one daemon. */
export class ServerWatch {
  readonly #options: ServerWatchOptions;
  readonly #changes = new Subject<void>();
  #report: ServerReport | undefined;
  /** Ids that said farewell, so that a late report cannot bring them back. */
  readonly #gone = new Set<string>();
  /** A life that an earlier process here knew to leave. */
  #left: ServerIdentity | undefined;
  #heardAt = Number.NEGATIVE_INFINITY;
  #refusedAt = Number.NEGATIVE_INFINITY;
  #leavingSince: number | undefined;
  #coldUntil = Number.NEGATIVE_INFINITY;

  constructor(options: ServerWatchOptions) {
    this.#options = options;
  }

  /** Emits when the server's life or state changed. */
  get changes(): Subject<void> {
    return this.#changes;
  }

  /** The newest report; undefined before the first. */
  get report(): ServerReport | undefined {
    return this.#report;
  }

  /** The server while it is ready for work and can be reached. */
  get ready(): ServerReport | undefined {
    return this.#leavingSince === undefined && this.isReachable ? this.#report : undefined;
  }

  /** Since when the server is leaving; undefined while it is not. */
  get leavingSince(): number | undefined {
    return this.#leavingSince;
  }

  /** Whether the server has just started and is still slow for that reason. */
  get isCold(): boolean {
    return this.#options.now() < this.#coldUntil;
  }

  /** Whether the server has been heard lately. */
  get isReachable(): boolean {
    const { now, reportEveryMs } = this.#options;
    const silentMs = now() - this.#heardAt;
    const isRefusing = this.#refusedAt > this.#heardAt && silentMs > REFUSED_MS;
    return !isRefusing && silentMs < reportEveryMs * SILENT_REPORTS;
  }

  /** Takes a report; false when it is older than what is known. */
  take(status: StatusReport): boolean {
    if (status.kind === "farewell") {
      return this.#takeFarewell(status.id);
    }
    const { report } = status;
    if (report.service !== this.#options.service || !this.#isNewer(report)) {
      return false;
    }
    const isNewLife = !isSameLife(report, this.#report);
    const isLeaving = report.state !== ServerState.Ready;
    this.#report = report;
    this.#heardAt = this.#options.now();
    this.#coldUntil = this.#heardAt + report.coldMs;
    if (isNewLife) {
      this.#leavingSince = undefined;
    }
    if (isSameLife(report, this.#left)) {
      this.#leavingSince ??= LONG_AGO;
    }
    if (isLeaving) {
      this.#leavingSince ??= this.#options.now();
    }
    this.#changes.next();
    return true;
  }

  /** Notes that a life of the server leaves, as an earlier process here knew. */
  noteLeft(life: ServerIdentity): void {
    this.#left = life;
    if (isSameLife(life, this.#report) && this.#leavingSince === undefined) {
      this.#leavingSince = LONG_AGO;
      this.#changes.next();
    }
  }

  #takeFarewell(id: string): boolean {
    this.#gone.add(id);
    if (this.#report?.id !== id) {
      return false;
    }
    this.#leavingSince ??= this.#options.now();
    this.#changes.next();
    return true;
  }

  #isNewer(report: ServerReport): boolean {
    const known = this.#report;
    if (known === undefined) {
      return true;
    }
    if (known.bornMs !== report.bornMs) {
      return report.bornMs > known.bornMs;
    }
    if (known.id !== report.id) {
      return !this.#gone.has(report.id);
    }
    return report.sequence > known.sequence;
  }

  /** Notes that the server answered something. */
  noteAnswer(): void {
    this.#heardAt = this.#options.now();
  }

  /** Notes that the server refused a connection. */
  noteRefused(): void {
    this.#refusedAt = this.#options.now();
  }
}
