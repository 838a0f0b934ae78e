/**
 * Serves requests by the backend server beside this daemon: waits for the lease, admits, sends, and
 * tells truthfully what became of each request.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import { type AdmissionError, AdmissionErrorKind, type Slot } from "@bulrushwood/admission";
import { type BackendClient, type BackendError, BackendErrorKind } from "@bulrushwood/backend";
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
import { readHeaders, toFlatHeaders } from "./headers.ts";
import type { GrantExtender } from "./grant_extender.ts";
import type { Measures } from "./measures.ts";
import type { ServerSide } from "./server_side.ts";
import { readWhole } from "./whole_body.ts";

/** Answers up to this size are read whole before they are passed on, in bytes. */
export const WHOLE_BODY_BYTES_MAX = 32 * 1024;
const STOP_RETRY_MS = 50;

/** What a holder needs. */
export interface HolderOptions {
  keeper: Leases;
  ledger: Ledger;
  server: ServerSide;
  records: RequestRecords;
  memory: IdempotencyMemory;
  measures: Measures;
  settings: DaemonSettings;
  grants: GrantExtender;
  /** Whether this daemon takes no new requests for its server. */
  isDraining: () => boolean;
}

/** A request's body: whole, or in parts. */
export type RequestBody = Buffer | AsyncIterable<Buffer> | undefined;

/** One request while it is served here. */
interface Job {
  head: RequestHead;
  body: RequestBody;
  signal: AbortSignal;
  workClass: WorkClass;
  arrivedAt: number;
  deadline: number;
}

/** Serves requests by the backend server beside this daemon. */
export class Holder {
  readonly #options: HolderOptions;

  constructor(options: HolderOptions) {
    this.#options = options;
  }

  /** Serves a request that this daemon or a peer took from a caller. */
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
    const answer = await this.#serve({
      head,
      body,
      signal,
      workClass,
      arrivedAt,
      deadline,
    });
    if (answer.head.outcome === Outcome.NotRun) {
      records.recordNotRun(head.id);
    }
    return answer;
  }

  async #serve(job: Job): Promise<RoutedResponse> {
    if (!this.#isKeyed(job)) {
      return await this.#serveAdmitted(job);
    }
    if (!(await this.#awaitOwnership(job))) {
      return notRun(Reason.NotHolder, "This daemon does not hold the key");
    }
    return await this.#serveAdmitted(job);
  }

  #isKeyed(job: Job): boolean {
    return job.head.shard >= 0;
  }

  /** Waits, for a bounded time, while this daemon may come to hold the key. */
  async #awaitOwnership(job: Job): Promise<boolean> {
    const { keeper, ledger, settings } = this.#options;
    const { pool, shard, move } = job.head;
    const until = Math.min(
      job.deadline,
      now() + settings.limits.handoverWaitMs,
    );
    while (now() < until && !job.signal.aborted) {
      const state = keeper.stateOf(pool, shard);
      if (state === ServeState.Ready) {
        return true;
      }
      const isBehind = ledger.appliedOffset < move;
      if (state === ServeState.Elsewhere && !isBehind) {
        return false;
      }
      await keeper.waitForChange(until - now());
    }
    return false;
  }

  async #serveAdmitted(job: Job): Promise<RoutedResponse> {
    const { server, isDraining } = this.#options;
    const isRefusing = !this.#isKeyed(job) &&
      (isDraining() || !server.takesWork);
    if (isRefusing || server.client === undefined) {
      return notRun(
        Reason.Draining,
        "The backend server here takes no new work",
      );
    }
    const admitted = await this.#admit(job);
    if (admitted.isErr) {
      return refusalAnswer(admitted.error);
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
    const permit = this.#options.keeper.begin(job.head.pool, job.head.shard);
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

  /** Runs a request with an idempotency key, unless a request with the same key was seen. */
  async #runOnce(job: Job, slot: Slot, permit: Permit): Promise<RoutedResponse> {
    const { memory } = this.#options;
    const { head } = job;
    const key = `${head.tenant}\n${head.workClass}\n${head.key}\n${head.idempotencyKey}`;
    const { completeSince: vouchedSince } = permit;
    const found = memory.find(key, {
      completeSince: vouchedSince,
      firstAttempt: head.firstAttempt,
    });
    if (found.keyStatus !== KeyStatus.New) {
      permit.end();
      slot.release();
      return found.answer ?? unknown(
        Reason.Repeated,
        "A request with this idempotency key may have run; its answer is not known here",
      );
    }
    memory.begin(key);
    const answer = await this.#run(job, slot, permit);
    if (answer.head.outcome === Outcome.NotRun) {
      memory.forget(key);
    } else if (answer.head.outcome === undefined && !isStream(answer.body)) {
      memory.keep(key, { head: answer.head, body: answer.body });
    }
    return answer;
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
      this.#settleStopped(job.head.id, client, permit, finish);
      throw error;
    }
  }

  async #runAt(
    job: Job,
    client: BackendClient,
    permit: Permit | undefined,
    finish: () => void,
  ): Promise<RoutedResponse> {
    const sent = await this.#send(job, client, permit);
    if (sent.isErr) {
      return this.#concludeFailure(job, client, permit, { error: sent.error, finish });
    }
    this.#options.measures.noteServed(job.head);
    return await this.#passOn(job, sent.value, finish, () => {
      this.#settleStopped(job.head.id, client, permit, finish);
    });
  }

  #send(
    job: Job,
    client: BackendClient,
    permit: Permit | undefined,
  ): Promise<Result<IncomingMessage, BackendError>> {
    const { records } = this.#options;
    const { head, deadline, body, signal } = job;
    const mayStart = () => (permit === undefined || permit.isValid()) && records.start(head.id);
    if (permit !== undefined) {
      this.#options.grants.noteGranted(permit.group, permit.heldUntil());
    }
    return client.send({
      id: head.id,
      method: head.method,
      path: head.path,
      headers: toFlatHeaders(head.headers),
      key: head.key,
      deadline,
      mayStart,
      cover: permit,
      body,
      signal,
    });
  }

  #concludeFailure(
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
      case BackendErrorKind.Refused:
        finish();
        return notRun(Reason.ServerRefused, error.message);
      case BackendErrorKind.BrokenOff:
      case BackendErrorKind.Cancelled:
        this.#settleStopped(job.head.id, client, permit, finish);
        return unknown(brokenOffReason(job, error), error.message);
    }
  }

  /**
   * Frees a request's slot and key once the server is sure not to run it any more: it says so itself,
   * or the grant that covered the request has run out on a server that checks grants.
   */
  async #settleStopped(
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

  /** Whether work that the server does not answer for cannot be running any more. */
  #hasEnded(client: BackendClient, permit: Permit | undefined): boolean {
    const { server, grants } = this.#options;
    if (permit === undefined || server.client !== client) {
      return true;
    }
    return server.checksGrants && grants.grantedUntil(permit.group) < now();
  }

  /** Passes an answer on: a short one whole, a long one in parts. */
  async #passOn(
    job: Job,
    message: IncomingMessage,
    finish: () => void,
    settleStopped: () => void,
  ): Promise<RoutedResponse> {
    const head = {
      status: message.statusCode ?? 502,
      headers: readHeaders(message.rawHeaders),
    };
    if (isShort(message, job.head.method)) {
      const body = await readWhole(message);
      if (body === undefined) {
        settleStopped();
        return unknown(
          Reason.ServerFailed,
          "The backend server broke off its answer",
        );
      }
      finish();
      return { head, body };
    }
    message.once("close", () => {
      if (message.complete) {
        finish();
      } else {
        settleStopped();
      }
    });
    return { head, body: message };
  }
}

function isStream(body: RoutedResponse["body"]): body is AsyncIterable<Buffer> {
  return body !== undefined && !Buffer.isBuffer(body);
}

function isShort(message: IncomingMessage, method: string): boolean {
  const status = message.statusCode ?? 0;
  if (method === "HEAD" || status === 204 || status === 304) {
    return true;
  }
  const length = message.headers["content-length"];
  return length !== undefined && Number(length) <= WHOLE_BODY_BYTES_MAX;
}

function refusalAnswer(error: AdmissionError): RoutedResponse {
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

function brokenOffReason(job: Job, error: BackendError): Reason {
  if (error.kind === BackendErrorKind.Cancelled) {
    return Reason.Cancelled;
  }
  return now() >= job.deadline ? Reason.DeadlinePassed : Reason.ServerFailed;
}
