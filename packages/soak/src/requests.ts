/**
 * Records of the requests that callers sent and of their runs at backend servers.
 */
import { now } from "@bulrushwood/types";

/** How a request ended for its caller. */
export enum Ending {
  Pending = "pending",
  /** A whole response came. */
  Answered = "answered",
  /** No connection was established, so nothing was sent. */
  Refused = "refused",
  /** The connection closed without a response, or within one. */
  Closed = "closed",
  /** The connection was reset, which shows that data on it was not read. */
  Reset = "reset",
  /** The caller gave up long after its deadline. */
  GivenUp = "given up",
  /** The connection closed after an earlier response on it had announced that no more requests are read. */
  Unread = "unread",
}

/** Request as its caller saw it. Times are in milliseconds of the process's clock. */
export interface SentRequest {
  id: string;
  /** Kind of caller. */
  kind: string;
  /** Machine of the caller. */
  machine: string;
  path: string;
  /** Whether the request may run at most once. */
  isOnce: boolean;
  key?: number;
  deadlineMs: number;
  sentAt: number;
  /** When its last byte was sent; undefined until then. */
  wholeAt?: number;
  ending: Ending;
  endedAt: number;
  /** Status of the response; 0 without one. */
  status: number;
  /** Why there is no response. */
  detail: string;
  /** Request id in the head of the response. */
  answerId?: string;
  hasOriginMarker?: boolean;
  body?: string;
}

/** How a run ended. */
export enum RunEnding {
  Running = "running",
  /** The server sent its whole response. */
  Answered = "answered",
  /** The other side closed the connection before. */
  Cut = "cut",
  /** The server itself ended the connection. */
  Crashed = "crashed",
}

/** Run of a request at a backend server. */
export interface Run {
  id: string;
  machine: string;
  server: string;
  service: string;
  startedAt: number;
  ending: RunEnding;
  endedAt: number;
}

/** Metadata with which a caller starts a request. */
export type RequestStart = Pick<
  SentRequest,
  "kind" | "machine" | "path" | "isOnce" | "deadlineMs" | "key"
>;

const ID_DIGITS = 16;

/** All requests of a soak and their runs. */
export class Requests {
  readonly sent: SentRequest[] = [];
  readonly runs = new Map<string, Run[]>();
  readonly #idBase: number;

  /** `idBase` distinguishes the request ids of different seeds. */
  constructor(idBase: number) {
    this.#idBase = idBase;
  }

  /** Records a request that is about to be sent. */
  start(start: RequestStart): SentRequest {
    const id = (this.#idBase + this.sent.length).toString(16).padStart(ID_DIGITS, "0");
    const pending = { ending: Ending.Pending, endedAt: 0, status: 0, detail: "" };
    const request = { ...start, id, sentAt: now(), ...pending };
    this.sent.push(request);
    return request;
  }

  /** Records how a request ended; only the first call counts. */
  end(request: SentRequest, ending: Ending, result: Partial<SentRequest> = {}): void {
    if (request.ending === Ending.Pending) {
      Object.assign(request, result, { ending, endedAt: now() });
    }
  }

  /** Records that a server starts to run a request. */
  startRun(run: Pick<Run, "id" | "machine" | "server" | "service">): Run {
    const started = { ...run, startedAt: now(), ending: RunEnding.Running, endedAt: Infinity };
    this.runs.set(run.id, [...this.runsOf(run.id), started]);
    return started;
  }

  /** Records how a run ended; only the first call counts. */
  endRun(run: Run, ending: RunEnding): void {
    if (run.ending === RunEnding.Running) {
      run.ending = ending;
      run.endedAt = now();
    }
  }

  runsOf(id: string): Run[] {
    return this.runs.get(id) ?? [];
  }
}
