/**
 * Runs requests at the local backend server: waits for the lease, admits, sends, and reports the
 * outcome of each request.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import { type AdmissionError, AdmissionErrorKind, type Slot } from "@bulrushwood/admission";
import { type BackendClient, type BackendError, BackendErrorKind } from "@bulrushwood/backend";
import { streamBody } from "@bulrushwood/http_client";
import { type Leases, type Permit, ServeState } from "@bulrushwood/lease";
import type { Ledger } from "@bulrushwood/ledger";
import { Reason, type RequestHead } from "@bulrushwood/protocol";
import {
  type IdempotencyMemory,
  KeyStatus,
  notRun,
  type RequestRecords,
  type RoutedResponse,
  unknown,
} from "@bulrushwood/routing";
import type { DaemonSettings, WorkClass } from "@bulrushwood/settings";
import { now, Outcome, sleep } from "@bulrushwood/types";
import { readHeaders, toRawHeaders } from "./headers.ts";
import type { GrantExtender } from "./grant_extender.ts";
import type { Metrics } from "./metrics.ts";
import type { LocalServer } from "./local_server.ts";
import { readBody } from "./read_body.ts";

/**
 * Largest response that is buffered whole before it is forwarded, in bytes; longer ones are
 * streamed.
 */
export const BUFFERED_RESPONSE_BYTES_MAX = 32 * 1024;
const STOP_RETRY_MS = 50;

/** Dependencies of a `Holder`. */
export interface HolderOptions {
  leases: Leases;
  ledger: Ledger;
  server: LocalServer;
  records: RequestRecords;
  memory: IdempotencyMemory;
  metrics: Metrics;
  settings: DaemonSettings;
  grants: GrantExtender;
  /** Whether this daemon is draining; new requests without a key are then rejected. */
  isDraining: () => boolean;
}

/** Body of a request: whole, streamed or absent. */
export type RequestBody = Buffer | AsyncIterable<Buffer> | undefined;

/** Request that is queued or in flight at this daemon. */
interface Job {
  head: RequestHead;
  body: RequestBody;
  signal: AbortSignal;
  workClass: WorkClass;
  arrivedAt: number;
  deadline: number;
}

/** Runs requests at the local backend server. */
export class Holder {
  readonly #options: HolderOptions;

  constructor(options: HolderOptions) {
    this.#options = options;
  }

  /** Runs a request that this daemon or a peer received from a caller, and returns the response. */
  async serve(
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<RoutedResponse> {
    const { records, ledger } = this.#options;
    if (!records.accept(head.id)) {
      return notRun(Reason.Cancelled, "The request was barred before it ran");
    }
    const workClass = ledger.configuration?.configuration
      .classes[head.workClass];
    if (workClass === undefined) {
      records.recordNotRun(head.id);
      return notRun(
        Reason.NotHolder,
        `Class ${head.workClass} is not known here yet`,
      );
    }
    const arrivedAt = now();
    const deadline = arrivedAt + head.remainingMs;
    const response = await this.#serve({
      head,
      body,
      signal,
      workClass,
      arrivedAt,
      deadline,
    });
    if (response.head.outcome === Outcome.NotRun) {
      records.recordNotRun(head.id);
    }
    return response;
  }

  async #serve(job: Job): Promise<RoutedResponse> {
    if (!this.#isKeyed(job)) {
      return this.#isOfOtherPool(job)
        ? notRun(Reason.NotHolder, `The backend server here is not of the pool ${job.head.pool}`)
        : await this.#serveAdmitted(job);
    }
    if (!(await this.#awaitOwnership(job))) {
      return notRun(Reason.NotHolder, "This daemon does not hold the key");
    }
    return await this.#serveAdmitted(job);
  }

  /** Whether a request without a key was meant for an earlier daemon at this address. */
  #isOfOtherPool({ head }: Job): boolean {
    const { announcement } = this.#options.server;
    return announcement !== undefined && announcement.pool !== head.pool;
  }

  #isKeyed(job: Job): boolean {
    return job.head.shard >= 0;
  }

  /**
   * Waits, for a bounded time, until this daemon may serve the key. Returns false at once when the
   * key has another owner and this daemon has applied the record of the move that the sender refers
   * to.
   */
  async #awaitOwnership(job: Job): Promise<boolean> {
    const { leases, ledger, settings } = this.#options;
    const { pool, shard, move } = job.head;
    const until = Math.min(
      job.deadline,
      now() + settings.limits.handoverWaitMs,
    );
    while (now() < until && !job.signal.aborted) {
      const state = leases.stateOf(pool, shard);
      if (state === ServeState.Ready) {
        return true;
      }
      const isBehind = ledger.appliedOffset < move;
      if (state === ServeState.Elsewhere && !isBehind) {
        return false;
      }
      await leases.waitForChange(until - now());
    }
    return false;
  }

  async #serveAdmitted(job: Job): Promise<RoutedResponse> {
    const { server, isDraining } = this.#options;
    const isRejecting = !this.#isKeyed(job) &&
      (isDraining() || !server.acceptsRequests);
    if (isRejecting || server.client === undefined) {
      return notRun(
        Reason.Draining,
        "The backend server here takes no new work",
      );
    }
    const admitted = await this.#admit(job);
    if (admitted.isErr) {
      return rejectionResponse(admitted.error);
    }
    return await this.#serveInSlot(job, admitted.value);
  }

  #admit(job: Job): Promise<Result<Slot, AdmissionError>> {
    const { workClass, deadline, signal, arrivedAt, head } = job;
    const target = {
      name: head.workClass,
      priority: workClass.priority,
      withinMs: workClass.target.withinMs,
    };
    return this.#options.server.admission.admit({
      workClass: target,
      arrivedAt,
      deadline,
      signal,
    });
  }

  async #serveInSlot(job: Job, slot: Slot): Promise<RoutedResponse> {
    if (!this.#isKeyed(job)) {
      return await this.#run(job, slot, undefined);
    }
    const permit = this.#options.leases.begin(job.head.pool, job.head.shard);
    if (permit === undefined) {
      slot.release();
      return notRun(
        Reason.NotHolder,
        "The key changed its owner while the request waited",
      );
    }
    if (job.head.idempotencyKey === "") {
      return await this.#run(job, slot, permit);
    }
    return await this.#runOnce(job, slot, permit);
  }

  /** Runs a request with an idempotency key, unless one with the same key may have run before. */
  async #runOnce(job: Job, slot: Slot, permit: Permit): Promise<RoutedResponse> {
    const { memory } = this.#options;
    const { head } = job;
    const key = `${head.tenant}\n${head.workClass}\n${head.key}\n${head.idempotencyKey}`;
    const { completeSince } = permit;
    const found = memory.find(key, {
      completeSince,
      firstAttempt: head.firstAttempt,
    });
    if (found.keyStatus !== KeyStatus.New) {
      permit.end();
      slot.release();
      return found.response ?? unknown(
        Reason.Repeated,
        "A request with this idempotency key may have run; its answer is not known here",
      );
    }
    memory.begin(key);
    const response = await this.#run(job, slot, permit);
    if (response.head.outcome === Outcome.NotRun) {
      memory.remove(key);
    } else if (response.head.outcome === undefined && !isStream(response.body)) {
      memory.store(key, { head: response.head, body: response.body });
    }
    return response;
  }

  async #run(job: Job, slot: Slot, permit: Permit | undefined): Promise<RoutedResponse> {
    const { client } = this.#options.server;
    const finish = () => {
      slot.release();
      permit?.end();
    };
    if (client === undefined) {
      finish();
      return notRun(Reason.Draining, "The backend server here is gone");
    }
    try {
      return await this.#runAt(job, client, permit, finish);
    } catch (error) {
      this.#finishOnceStopped(job.head.id, client, permit, finish);
      throw error;
    }
  }

  async #runAt(
    job: Job,
    client: BackendClient,
    permit: Permit | undefined,
    finish: () => void,
  ): Promise<RoutedResponse> {
    const sent = await this.#sendToServer(job, client, permit);
    if (sent.isErr) {
      return this.#handleFailure(job, client, permit, { error: sent.error, finish });
    }
    this.#options.metrics.countServed(job.head);
    return await this.#forwardResponse(job, sent.value, finish, () => {
      this.#finishOnceStopped(job.head.id, client, permit, finish);
    });
  }

  #sendToServer(
    job: Job,
    client: BackendClient,
    permit: Permit | undefined,
  ): Promise<Result<IncomingMessage, BackendError>> {
    const { records } = this.#options;
    const { head, deadline, body, signal } = job;
    const mayStart = () => (permit === undefined || permit.isValid()) && records.start(head.id);
    if (permit !== undefined) {
      this.#options.grants.recordGrant(permit.group, permit.heldUntil());
    }
    return client.send({
      id: head.id,
      method: head.method,
      path: head.path,
      headers: toRawHeaders(head.headers),
      key: head.key,
      deadline,
      mayStart,
      lease: permit,
      body,
      signal,
    });
  }

  #handleFailure(
    job: Job,
    client: BackendClient,
    permit: Permit | undefined,
    options: { error: BackendError; finish: () => void },
  ): RoutedResponse {
    const { error, finish } = options;
    switch (error.kind) {
      case BackendErrorKind.NotSent:
        finish();
        return notRun(notSentReason(job), error.message);
      case BackendErrorKind.MayNotStart:
        finish();
        return notRun(Reason.NotHolder, error.message);
      case BackendErrorKind.Rejected:
        finish();
        return notRun(Reason.ServerRejected, error.message);
      case BackendErrorKind.NoResponse:
      case BackendErrorKind.Cancelled:
        this.#finishOnceStopped(job.head.id, client, permit, finish);
        return unknown(abortReason(job, error), error.message);
    }
  }

  /**
   * Frees a request's slot and permit once the server confirms that the request no longer runs, or
   * once the request counts as ended without a confirmation.
   */
  async #finishOnceStopped(
    id: string,
    client: BackendClient,
    permit: Permit | undefined,
    finish: () => void,
  ): Promise<void> {
    while (!(await client.stop(id))) {
      if (this.#hasEnded(client, permit)) {
        break;
      }
      await sleep(STOP_RETRY_MS);
    }
    finish();
  }

  /**
   * Whether a request counts as ended although the server has not confirmed it: the request has no
   * key, the server has a new incarnation, or the grant has expired at a server that checks grants.
   */
  #hasEnded(client: BackendClient, permit: Permit | undefined): boolean {
    const { server, grants } = this.#options;
    if (permit === undefined || server.client !== client) {
      return true;
    }
    return server.checksGrants && grants.grantedUntil(permit.group) < now();
  }

  /** Forwards the server's response: a small one whole, a large one as a stream. */
  async #forwardResponse(
    job: Job,
    message: IncomingMessage,
    finish: () => void,
    finishOnceStopped: () => void,
  ): Promise<RoutedResponse> {
    const head = {
      status: message.statusCode ?? 502,
      headers: readHeaders(message.rawHeaders),
    };
    if (isSmall(message, job.head.method)) {
      const body = await readBody(message);
      if (body === undefined) {
        finishOnceStopped();
        return unknown(
          Reason.ServerFailed,
          "The backend server broke off its answer",
        );
      }
      finish();
      return { head, body };
    }
    const body = streamBody(message);
    body.once("close", () => {
      if (message.complete && body.errored === null) {
        finish();
      } else {
        finishOnceStopped();
      }
    });
    return { head, body };
  }
}

function isStream(body: RoutedResponse["body"]): body is AsyncIterable<Buffer> {
  return body !== undefined && !Buffer.isBuffer(body);
}

function isSmall(message: IncomingMessage, method: string): boolean {
  const status = message.statusCode ?? 0;
  if (method === "HEAD" || status === 204 || status === 304) {
    return true;
  }
  const length = message.headers["content-length"];
  return length !== undefined && Number(length) <= BUFFERED_RESPONSE_BYTES_MAX;
}

function rejectionResponse(error: AdmissionError): RoutedResponse {
  switch (error.kind) {
    case AdmissionErrorKind.Overloaded:
      return notRun(Reason.Overloaded, error.message, error.retryAfterMs);
    case AdmissionErrorKind.DeadlinePassed:
      return notRun(Reason.DeadlinePassed, error.message);
    case AdmissionErrorKind.Cancelled:
      return notRun(Reason.Cancelled, error.message);
  }
}

function notSentReason(job: Job): Reason {
  if (job.signal.aborted) {
    return Reason.Cancelled;
  }
  return now() >= job.deadline ? Reason.DeadlinePassed : Reason.ServerFailed;
}

function abortReason(job: Job, error: BackendError): Reason {
  if (error.kind === BackendErrorKind.Cancelled) {
    return Reason.Cancelled;
  }
  return now() >= job.deadline ? Reason.DeadlinePassed : Reason.ServerFailed;
}
