/**
 * Stand-in for the platform's append-only log: append, long-poll read, limited retention and a rate limit on appends.
 * `/control` makes it fail in the ways that the real log does.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { z } from "zod";
import { closeServer, listenOn, readText, sendJson } from "./http_tools.ts";

const APPENDS_PER_SECOND_MAX = 500;
/** Largest number of records in the response to one read. */
const RECORDS_PER_READ_MAX = 500;

/** Behaviour of appends that the control sets. */
export enum AppendMode {
  /** The append takes effect and gets a response. */
  Normal = "normal",
  /** The append takes effect; the connection is closed without a response. */
  LoseResponse = "lose-answer",
  /** The connection is closed without a response; the append takes effect `lateMs` later. */
  ApplyLate = "apply-late",
  /** The connection is closed without a response; the append never takes effect. */
  LoseRequest = "lose",
}

const controlSchema = z.strictObject({
  /** Closes every connection without a response. */
  down: z.boolean().optional(),
  /** Delay of every response, in milliseconds. */
  delayMs: z.number().min(0).max(60_000).optional(),
  appendMode: z.enum(AppendMode).optional(),
  /** Delay after which an append takes effect with `apply-late`, in milliseconds. */
  lateMs: z.number().min(0).max(60_000).optional(),
  /** Number of appends until `appendMode` is `normal` again; absent when it applies to all. */
  appendCount: z.number().int().min(1).optional(),
  /** Number of the newest records to keep; drops the rest at once. */
  keepNewest: z.number().int().min(0).optional(),
  /** Age at which records are dropped, in milliseconds. */
  retentionMs: z.number().int().min(100).optional(),
});

/** Body of a request to `/control`; an absent field stays as it is. */
export type LogControl = z.infer<typeof controlSchema>;

interface StoredRecord {
  offset: number;
  body: string;
  storedAt: number;
}

/** Address that the stand-in listens on, and its retention in milliseconds. */
export interface LogServiceOptions {
  host: string;
  port: number;
  retentionMs?: number;
}

/** Log stand-in that listens in this process. */
export class LogService {
  readonly #server: Server;
  readonly #readWaiters = new Set<() => void>();
  #records: StoredRecord[] = [];
  #end = 1;
  #isDown = false;
  #delayMs = 0;
  #appendMode = AppendMode.Normal;
  #appendCount: number | undefined;
  #lateMs = 0;
  #retentionMs: number;
  /** Token bucket that limits the rate of appends. */
  #appendTokens = APPENDS_PER_SECOND_MAX;
  #appendTokensAt = performance.now();
  #appends = 0;
  #bytesRead = 0;

  private constructor(options: LogServiceOptions) {
    this.#retentionMs = options.retentionMs ?? Number.POSITIVE_INFINITY;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Starts a log and resolves once it listens. */
  static async start(options: LogServiceOptions): Promise<LogService> {
    const service = new LogService(options);
    await listenOn(service.#server, options);
    return service;
  }

  /** Stops the log and closes its connections. */
  close(): Promise<void> {
    this.#wakeReaders();
    return closeServer(this.#server);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://log");
    if (url.pathname === "/control") {
      return await this.#handleControl(request, response);
    }
    if (this.#isDown) {
      response.destroy();
      return;
    }
    await this.#delay();
    if (request.method === "POST" && url.pathname === "/records") {
      return await this.#handleAppend(request, response);
    }
    if (request.method === "GET" && url.pathname === "/records") {
      return await this.#handleRead(url, response);
    }
    sendJson(response, 404, { error: "No such path; use /records" });
  }

  async #delay(): Promise<void> {
    if (this.#delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.#delayMs));
    }
  }

  async #handleControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === "GET") {
      const counters = {
        end: this.#end,
        appends: this.#appends,
        bytesRead: this.#bytesRead,
      };
      sendJson(response, 200, counters);
      return;
    }
    const parsed = controlSchema.safeParse(JSON.parse(await readText(request)));
    if (!parsed.success) {
      return sendJson(response, 400, { error: z.prettifyError(parsed.error) });
    }
    this.#applyControl(parsed.data);
    response.once("finish", () => this.#closeIfDown());
    sendJson(response, 200, { end: this.#end });
  }

  #applyControl(settings: LogControl): void {
    this.#isDown = settings.down ?? this.#isDown;
    this.#delayMs = settings.delayMs ?? this.#delayMs;
    this.#lateMs = settings.lateMs ?? this.#lateMs;
    this.#retentionMs = settings.retentionMs ?? this.#retentionMs;
    if (settings.appendMode !== undefined) {
      this.#appendMode = settings.appendMode;
      this.#appendCount = settings.appendCount;
    }
    if (settings.keepNewest !== undefined) {
      this.#records = settings.keepNewest === 0 ? [] : this.#records.slice(-settings.keepNewest);
    }
  }

  #closeIfDown(): void {
    if (this.#isDown) {
      this.#wakeReaders();
      this.#server.closeAllConnections();
    }
  }

  async #handleAppend(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readText(request);
    if (!this.#takeAppendToken()) {
      return sendJson(response, 429, { error: "Too many appends a second" });
    }
    switch (this.#takeAppendMode()) {
      case AppendMode.Normal:
        return sendJson(response, 201, { offset: this.#store(body) });
      case AppendMode.LoseResponse:
        this.#store(body);
        break;
      case AppendMode.ApplyLate:
        setTimeout(() => this.#store(body), this.#lateMs);
        break;
      case AppendMode.LoseRequest:
        break;
    }
    response.destroy();
  }

  #takeAppendMode(): AppendMode {
    const mode = this.#appendMode;
    if (this.#appendCount !== undefined) {
      this.#appendCount--;
      if (this.#appendCount === 0) {
        this.#appendMode = AppendMode.Normal;
        this.#appendCount = undefined;
      }
    }
    return mode;
  }

  #takeAppendToken(): boolean {
    const now = performance.now();
    const refill = (now - this.#appendTokensAt) * APPENDS_PER_SECOND_MAX / 1_000;
    this.#appendTokens = Math.min(APPENDS_PER_SECOND_MAX, this.#appendTokens + refill);
    this.#appendTokensAt = now;
    if (this.#appendTokens < 1) {
      return false;
    }
    this.#appendTokens--;
    return true;
  }

  #store(body: string): number {
    const offset = this.#end;
    this.#end++;
    this.#appends++;
    this.#records.push({ offset, body, storedAt: performance.now() });
    this.#wakeReaders();
    return offset;
  }

  #wakeReaders(): void {
    for (const wake of this.#readWaiters) {
      wake();
    }
    this.#readWaiters.clear();
  }

  #dropExpired(): void {
    const earliestStoredAt = performance.now() - this.#retentionMs;
    while (this.#records.length > 0 && this.#records[0].storedAt < earliestStoredAt) {
      this.#records.shift();
    }
  }

  async #handleRead(url: URL, response: ServerResponse): Promise<void> {
    const from = Number(url.searchParams.get("from") ?? "1");
    const waitMs = Number(url.searchParams.get("wait_ms") ?? "0");
    const limit = Math.min(
      RECORDS_PER_READ_MAX,
      Number(url.searchParams.get("limit") ?? RECORDS_PER_READ_MAX),
    );
    if (
      !Number.isInteger(from) || !Number.isFinite(waitMs) ||
      !Number.isInteger(limit)
    ) {
      return sendJson(response, 400, {
        error: "from, wait_ms and limit are whole numbers",
      });
    }
    if (from >= this.#end && waitMs > 0) {
      await this.#waitForRecord(waitMs, response);
      await this.#delay();
    }
    if (this.#isDown) {
      response.destroy();
      return;
    }
    this.#sendRecords(from, limit, response);
  }

  #sendRecords(from: number, limit: number, response: ServerResponse): void {
    this.#dropExpired();
    const first = this.#records[0]?.offset ?? this.#end;
    if (from < first) {
      return sendJson(response, 410, { first });
    }
    const start = from - first;
    const page = this.#records.slice(start, start + limit);
    const records = page.map((record) => ({
      offset: record.offset,
      body: record.body,
    }));
    this.#bytesRead += records.reduce(
      (sum, record) => sum + record.body.length,
      0,
    );
    sendJson(response, 200, { first, end: this.#end, records });
  }

  #waitForRecord(waitMs: number, response: ServerResponse): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#readWaiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#readWaiters.add(wake);
      response.on("close", wake);
    });
  }
}
