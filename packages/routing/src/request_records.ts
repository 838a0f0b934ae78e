/**
 * What a holder remembers of each forwarded request, so that it can say truthfully whether the request
 * ran. An id that it has not begun is barred before anybody is told that it was not run.
 */
import type { Clock } from "@bulrushwood/types";
import { Outcome } from "@bulrushwood/types";

/** What a holder knows of a request. */
export enum RequestState {
  /** Taken; not sent to the backend server yet. */
  Waiting = "waiting",
  /** Sent to the backend server. */
  Started = "started",
  /** Over without being sent. */
  NotRun = "not-run",
  /** Must not be sent any more. */
  Barred = "barred",
}

interface RequestRecord {
  state: RequestState;
  /** When the record may be forgotten, on this process's clock in milliseconds. */
  until: number;
}

/** The requests that a holder took lately. */
export class RequestRecords {
  readonly #records = new Map<string, RequestRecord>();
  readonly #now: Clock;
  readonly #keepMs: number;

  constructor(options: { now: Clock; keepMs: number }) {
    this.#now = options.now;
    this.#keepMs = options.keepMs;
  }

  /** Number of requests remembered. */
  get size(): number {
    return this.#records.size;
  }

  /** Takes a request; false when its id was barred or taken before. */
  take(id: string): boolean {
    this.#dropOld();
    if (this.#records.has(id)) {
      return false;
    }
    this.#set(id, RequestState.Waiting);
    return true;
  }

  /** Notes, as the last step before sending, that the request starts; false when it is barred. */
  start(id: string): boolean {
    if (this.#records.get(id)?.state !== RequestState.Waiting) {
      return false;
    }
    this.#records.get(id)!.state = RequestState.Started;
    return true;
  }

  /** Notes that a request is over and that no byte of it was sent. */
  noteNotRun(id: string): void {
    const record = this.#records.get(id);
    if (record !== undefined && record.state !== RequestState.Barred) {
      record.state = RequestState.NotRun;
    }
  }

  /** Says whether a request ran, after making sure that it will not start later. */
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
    this.#records.set(id, { state, until: this.#now() + this.#keepMs });
  }

  /** Records are in the order they were made, so the old ones come first. */
  #dropOld(): void {
    const now = this.#now();
    for (const [id, record] of this.#records) {
      if (record.until > now) {
        return;
      }
      this.#records.delete(id);
    }
  }
}
