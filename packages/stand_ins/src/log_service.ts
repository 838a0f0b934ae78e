/**
 * A small stand-in for the platform's append-only log: append, long-poll read, limited retention, a
 * limit on appends a second, and controls that make it fail in the ways that the real one does.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { z } from "zod";
import { closeServer, listenOn, readText, sendJson } from "./http_tools.ts";

const APPENDS_PER_SECOND_MAX = 500;
const READ_LIMIT_MAX = 500;

/** What an append does while the control is set. */
export enum AppendMode {
  /** Takes effect and is answered. */
  Normal = "normal",
  /** Takes effect; the connection is closed without an answer. */
  LoseAnswer = "lose-answer",
  /** The connection is closed without an answer; takes effect `lateMs` later. */
  ApplyLate = "apply-late",
  /** The connection is closed without an answer; takes no effect. */
  Lose = "lose",
}

const control = z.strictObject({
  /** Closes every connection without an answer. */
  down: z.boolean().optional(),
  /** Delays every answer, in milliseconds. */
  delayMs: z.number().min(0).max(60_000).optional(),
  appendMode: z.enum(AppendMode).optional(),
  /** With `apply-late`: when the append takes effect, in milliseconds. */
  lateMs: z.number().min(0).max(60_000).optional(),
  /** How many appends `appendMode` holds for before it is `normal` again; absent for all. */
  appendCount: z.number().int().min(1).optional(),
  /** Drops all but the newest records. */
  keepNewest: z.number().int().min(0).optional(),
  /** How long records are kept, in milliseconds. */
  retentionMs: z.number().int().min(100).optional(),
});

/** Settings of the stand-in's failures. */
export type LogControl = z.infer<typeof control>;

interface StoredRecord {
  offset: number;
  body: string;
  storedAt: number;
}

/** Where the stand-in listens. */
export interface LogServiceOptions {
  host: string;
  port: number;
  retentionMs?: number;
}

/** The log stand-in as a server in this process. */
export class LogService {
  readonly #server: Server;
  readonly #waiters = new Set<() => void>();
  #records: StoredRecord[] = [];
  #end = 1;
  #down = false;
  #delayMs = 0;
  #appendMode = AppendMode.Normal;
  #appendCount: number | undefined;
  #lateMs = 0;
  #retentionMs: number;
  #tokens = APPENDS_PER_SECOND_MAX;
  #tokensAt = performance.now();
  #appends = 0;
  #bytesRead = 0;

  private constructor(options: LogServiceOptions) {
    this.#retentionMs = options.retentionMs ?? Number.POSITIVE_INFINITY;
    this.#server = createServer((request, response) => {
      this.#answer(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Starts a log that listens on the given address. */
  static async start(options: LogServiceOptions): Promise<LogService> {
    const service = new LogService(options);
    await listenOn(service.#server, options);
    return service;
  }

  /** Stops the log and closes its connections. */
  close(): Promise<void> {
    this.#wakeWaiters();
    return closeServer(this.#server);
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://log");
    if (url.pathname === "/control") {
      return await this.#answerControl(request, response);
    }
    if (this.#down) {
      response.destroy();
      return;
    }
    await this.#delay();
    if (request.method === "POST" && url.pathname === "/records") {
      return await this.#answerAppend(request, response);
    }
    if (request.method === "GET" && url.pathname === "/records") {
      return await this.#answerRead(url, response);
    }
    sendJson(response, 404, { error: "No such path; use /records" });
  }

  async #delay(): Promise<void> {
    if (this.#delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.#delayMs));
    }
  }

  async #answerControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === "GET") {
      const figures = {
        end: this.#end,
        appends: this.#appends,
        bytesRead: this.#bytesRead,
      };
      sendJson(response, 200, figures);
      return;
    }
    const parsed = control.safeParse(JSON.parse(await readText(request)));
    if (!parsed.success) {
      return sendJson(response, 400, { error: z.prettifyError(parsed.error) });
    }
    this.#applyControl(parsed.data);
    response.once("finish", () => this.#closeIfDown());
    sendJson(response, 200, { end: this.#end });
  }

  #applyControl(settings: LogControl): void {
    this.#down = settings.down ?? this.#down;
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
    if (this.#down) {
      this.#wakeWaiters();
      this.#server.closeAllConnections();
    }
  }

  async #answerAppend(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readText(request);
    if (!this.#takeToken()) {
      return sendJson(response, 429, { error: "Too many appends a second" });
    }
    switch (this.#takeAppendMode()) {
      case AppendMode.Normal:
        return sendJson(response, 201, { offset: this.#store(body) });
      case AppendMode.LoseAnswer:
        this.#store(body);
        break;
      case AppendMode.ApplyLate:
        setTimeout(() => this.#store(body), this.#lateMs);
        break;
      case AppendMode.Lose:
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

  #takeToken(): boolean {
    const now = performance.now();
    const refill = (now - this.#tokensAt) * APPENDS_PER_SECOND_MAX / 1_000;
    this.#tokens = Math.min(APPENDS_PER_SECOND_MAX, this.#tokens + refill);
    this.#tokensAt = now;
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens--;
    return true;
  }

  #store(body: string): number {
    const offset = this.#end;
    this.#end++;
    this.#appends++;
    this.#records.push({ offset, body, storedAt: performance.now() });
    this.#wakeWaiters();
    return offset;
  }

  #wakeWaiters(): void {
    for (const wake of this.#waiters) {
      wake();
    }
    this.#waiters.clear();
  }

  #dropExpired(): void {
    const oldest = performance.now() - this.#retentionMs;
    while (this.#records.length > 0 && this.#records[0].storedAt < oldest) {
      this.#records.shift();
    }
  }

  async #answerRead(url: URL, response: ServerResponse): Promise<void> {
    const from = Number(url.searchParams.get("from") ?? "1");
    const waitMs = Number(url.searchParams.get("wait_ms") ?? "0");
    const limit = Math.min(
      READ_LIMIT_MAX,
      Number(url.searchParams.get("limit") ?? READ_LIMIT_MAX),
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
    if (this.#down) {
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
    const kept = this.#records.slice(start, start + limit);
    const records = kept.map((record) => ({
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
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#waiters.add(wake);
      response.on("close", wake);
    });
  }
}
