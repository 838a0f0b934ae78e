/**
 * The holder's record of each forwarded request, from which it reports whether the request ran. The id of a
 * request that has not started is barred before `not-run` is reported, so that the request cannot start later.
 */
import type { Clock } from "@bulrushwood/types";
import { Outcome } from "@bulrushwood/types";

/** State of a request at its holder. */
export enum RequestState {
  /** Accepted, but not yet sent to the backend server. */
  Waiting = "waiting",
  /** Sent to the backend server. */
  Started = "started",
  /** Ended without being sent. */
  NotRun = "not-run",
  /** Must not be sent, now or later. */
  Barred = "barred",
}

interface RequestRecord {
  state: RequestState;
  /** When the record expires, on this process's clock in milliseconds. */
  until: number;
}

/** The requests that a holder accepted or barred recently, by id. */
export class RequestRecords {
  readonly #records = new Map<string, RequestRecord>();
  readonly #now: Clock;
  readonly #retentionMs: number;

  constructor(options: { now: Clock; retentionMs: number }) {
    this.#now = options.now;
    this.#retentionMs = options.retentionMs;
  }

  /** Number of records. */
  get size(): number {
    return this.#records.size;
  }

  /** Accepts a request; returns false when its id has been barred or accepted before. */
  accept(id: string): boolean {
    this.#dropExpired();
    if (this.#records.has(id)) {
      return false;
    }
    this.#set(id, RequestState.Waiting);
    return true;
  }

  /**
   * Marks a request as started; returns false when it must not be sent. This is the last step before sending,
   * so that a request is never sent after it was barred.
   */
  start(id: string): boolean {
    if (this.#records.get(id)?.state !== RequestState.Waiting) {
      return false;
    }
    this.#records.get(id)!.state = RequestState.Started;
    return true;
  }

  /** Records that a request ended and that no byte of it was sent. */
  recordNotRun(id: string): void {
    const record = this.#records.get(id);
    if (record !== undefined && record.state !== RequestState.Barred) {
      record.state = RequestState.NotRun;
    }
  }

  /** Returns the outcome of a request, after making sure that it cannot start later. */
  bar(id: string): Outcome {
    const record = this.#records.get(id);
    if (record?.state === RequestState.Started) {
      return Outcome.Unknown;
    }
    this.#records.delete(id);
    this.#set(id, RequestState.Barred);
    return Outcome.NotRun;
  }

  #set(id: string, state: RequestState): void {
    this.#records.set(id, { state, until: this.#now() + this.#retentionMs });
  }

  /** Removes expired records. They are in insertion order, so the oldest come first. */
  #dropExpired(): void {
    const now = this.#now();
    for (const [id, record] of this.#records) {
      if (record.until > now) {
        return;
      }
      this.#records.delete(id);
    }
  }
}
