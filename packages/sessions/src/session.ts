/**
 * One session with a deployment: sends labelled requests, and writes down in canonical form what each
 * caller was told, what each server ran and who owned what, free of times, ids and addresses.
 */
import type { Buffer } from "node:buffer";
import { audit, type AuditReport, groupByLabel, type SentRequest } from "./audit.ts";
import { sendRequest, type Told, ToldKind } from "./caller.ts";
import type { Deployment, RecordedWork } from "./deployment.ts";

const RECORDS_MS = 3_000;

/** One request of a session. */
export interface SessionRequest {
  label: string;
  /** Name of the instance that takes the request. */
  via: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Buffer | string;
  /** Whether the request may run more than once. */
  idempotent?: boolean;
  signal?: AbortSignal;
}

/** What happened to one request. */
interface RequestLine {
  label: string;
  sent: string;
  told: string;
  ran: string[];
}

/** A whole session in canonical form. */
export interface Transcript {
  requests: RequestLine[];
  owners: Record<string, string>;
  audit: Omit<AuditReport, "requests" | "works">;
}

/** A session with a deployment. */
export class Session {
  readonly #deployment: Deployment;
  readonly #requests: (SentRequest & { sent: string })[] = [];
  readonly #owners: Record<string, string> = {};

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /** Sends a request and notes what the caller was told. */
  async send(options: SessionRequest): Promise<Told> {
    const { label, via, method, headers, body, signal } = options;
    const separator = options.path.includes("?") ? "&" : "?";
    const path = `${options.path}${separator}label=${label}`;
    const address = this.#deployment.callerAddress(via);
    const told = await sendRequest({ address, method, path, headers, body, signal });
    const sent = `${method} ${options.path} via ${via}`;
    const idempotent = options.idempotent ?? false;
    this.#requests.push({ label, idempotent, told, sent });
    return told;
  }

  /** Notes who owns a key, under a name that tells when. */
  async noteOwner(
    when: string,
    options: { via: string; pool: string; key: string },
  ): Promise<string> {
    const { via, pool, key } = options;
    const explained = await this.#deployment.admin(via).explain(pool, key);
    const owner = explained.isOk ? explained.value.owner : "nobody";
    this.#owners[`${when}: ${pool} ${key}`] = owner;
    return owner;
  }

  /** Compares what callers were told with what the servers ran. */
  audit(): AuditReport {
    return audit(this.#requests, this.#deployment.works);
  }

  /** Waits until the servers' records of all answered requests have arrived, for a bounded time. */
  async awaitRecords(): Promise<void> {
    const isRecorded = () => {
      const done = new Set(this.#deployment.works.map((work) => work.path.split("label=")[1]));
      const answered = this.#requests.filter(({ told }) => told.kind === ToldKind.Answered);
      return answered.every((request) => done.has(request.label)) &&
        this.#deployment.unfinished.length === 0;
    };
    await this.#deployment.waitUntil(isRecorded, "the records", RECORDS_MS).catch(() => {});
  }

  /** What callers were told, with the number of times. */
  countTold(): Map<ToldKind, number> {
    const counts = new Map<ToldKind, number>();
    for (const { told } of this.#requests) {
      counts.set(told.kind, (counts.get(told.kind) ?? 0) + 1);
    }
    return counts;
  }

  /** The session in canonical form. */
  transcript(): Transcript {
    const { requests: _requests, works: _works, ...findings } = this.audit();
    const works = groupByLabel(this.#deployment.works);
    const lines = this.#requests.map((request) => lineOf(request, works.get(request.label) ?? []));
    lines.sort((left, right) => left.label < right.label ? -1 : 1);
    return { requests: lines, owners: this.#owners, audit: findings };
  }
}

function lineOf(request: SentRequest & { sent: string }, works: RecordedWork[]): RequestLine {
  const { label, sent, told } = request;
  const isOwnAnswer = told.kind === ToldKind.Answered;
  return {
    label,
    sent,
    told: isOwnAnswer ? `answered ${told.status}` : `${told.kind} ${told.status} ${told.reason}`,
    ran: works.map((work) => `${work.instance} ${work.end}`).sort(),
  };
}
