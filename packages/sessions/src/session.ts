/**
 * Session with a deployment: sends labelled requests and writes a canonical transcript of the outcome that each
 * caller saw, the work that each server ran and the owners of keys, without times, ids and addresses.
 */
import type { Buffer } from "node:buffer";
import { audit, type AuditReport, groupByLabel, type SentRequest } from "./audit.ts";
import { type CallerOutcome, CallerOutcomeKind, sendRequest } from "./caller.ts";
import type { Deployment, RecordedWork } from "./deployment.ts";

/** Longest time to wait for the servers' records of work, in milliseconds. */
const RECORDS_TIMEOUT_MS = 3_000;

/** Request to send in a session. */
export interface SessionRequest {
  label: string;
  /** Name of the instance that receives the request. */
  via: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Buffer | string;
  /** Whether the request may run more than once. */
  idempotent?: boolean;
  signal?: AbortSignal;
}

/** Transcript of one request. */
interface RequestLine {
  label: string;
  sent: string;
  told: string;
  ran: string[];
}

/** Transcript of a session in canonical form. */
export interface Transcript {
  requests: RequestLine[];
  owners: Record<string, string>;
  audit: Omit<AuditReport, "requests" | "works">;
}

/** Requests sent to a deployment, with their outcomes and the recorded owners of keys. */
export class Session {
  readonly #deployment: Deployment;
  readonly #requests: (SentRequest & { sent: string })[] = [];
  readonly #owners: Record<string, string> = {};

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /** Sends a request and records its outcome. */
  async send(options: SessionRequest): Promise<CallerOutcome> {
    const { label, via, method, headers, body, signal } = options;
    const separator = options.path.includes("?") ? "&" : "?";
    const path = `${options.path}${separator}label=${label}`;
    const address = this.#deployment.callerAddress(via);
    const outcome = await sendRequest({ address, method, path, headers, body, signal });
    const sent = `${method} ${options.path} via ${via}`;
    const idempotent = options.idempotent ?? false;
    this.#requests.push({ label, idempotent, outcome, sent });
    return outcome;
  }

  /** Records the current owner of a key in the transcript, under a name for the point in time. */
  async recordOwner(
    when: string,
    options: { via: string; pool: string; key: string },
  ): Promise<string> {
    const { via, pool, key } = options;
    const explained = await this.#deployment.admin(via).explain(pool, key);
    const owner = explained.isOk ? explained.value.owner : "nobody";
    this.#owners[`${when}: ${pool} ${key}`] = owner;
    return owner;
  }

  /** Compares the outcomes that callers saw with the work that servers ran. */
  audit(): AuditReport {
    return audit(this.#requests, this.#deployment.works);
  }

  /** Waits until the servers' records of all requests with a response have arrived, or until the timeout. */
  async awaitRecords(): Promise<void> {
    const isRecorded = () => {
      const recorded = new Set(this.#deployment.works.map((work) => work.path.split("label=")[1]));
      const withResponse = this.#requests.filter(({ outcome }) =>
        outcome.kind === CallerOutcomeKind.Responded
      );
      return withResponse.every((request) => recorded.has(request.label)) &&
        this.#deployment.unfinished.length === 0;
    };
    await this.#deployment.waitUntil(isRecorded, "the records of work", RECORDS_TIMEOUT_MS).catch(
      () => {},
    );
  }

  /** Counts the outcomes that callers saw, by kind. */
  countOutcomes(): Map<CallerOutcomeKind, number> {
    const counts = new Map<CallerOutcomeKind, number>();
    for (const { outcome } of this.#requests) {
      counts.set(outcome.kind, (counts.get(outcome.kind) ?? 0) + 1);
    }
    return counts;
  }

  /** Returns the transcript of the session in canonical form. */
  transcript(): Transcript {
    const { requests: _requests, works: _works, ...findings } = this.audit();
    const works = groupByLabel(this.#deployment.works);
    const lines = this.#requests.map((request) =>
      toRequestLine(request, works.get(request.label) ?? [])
    );
    lines.sort((left, right) => left.label < right.label ? -1 : 1);
    return { requests: lines, owners: this.#owners, audit: findings };
  }
}

function toRequestLine(
  request: SentRequest & { sent: string },
  works: RecordedWork[],
): RequestLine {
  const { label, sent, outcome } = request;
  const hasResponse = outcome.kind === CallerOutcomeKind.Responded;
  return {
    label,
    sent,
    told: hasResponse
      ? `answered ${outcome.status}`
      : `${outcome.kind} ${outcome.status} ${outcome.reason}`,
    ran: works.map((work) => `${work.instance} ${work.end}`).sort(),
  };
}
