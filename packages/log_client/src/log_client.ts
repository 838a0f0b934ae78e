/**
 * HTTP client of the platform's append-only log: appends records, and reads from an offset with a long
 * poll. Every call has a timeout, and the error of a failed append says whether it may still take effect.
 */
import { Buffer } from "node:buffer";
import { Agent, type IncomingMessage, request } from "node:http";
import { Result } from "true-myth";
import { z } from "zod";
import type { Offset } from "@bulrushwood/types";
import { LogError, LogErrorKind } from "./errors.ts";

const RECORDS_PER_READ = 500;
const RESPONSE_BYTES_MAX = 32 * 1024 * 1024;
/** Least time beyond the long poll's own wait before a read times out, in milliseconds. */
const READ_MARGIN_MS = 1_000;

const appendResponse = z.object({ offset: z.number().int().nonnegative() });
const expiredResponse = z.object({ first: z.number().int().nonnegative() });
const readResponse = z.object({
  first: z.number().int().nonnegative(),
  end: z.number().int().nonnegative(),
  records: z.array(
    z.object({ offset: z.number().int().nonnegative(), body: z.string() }),
  ),
});

/** Record as stored in the log. */
export interface LogRecord {
  offset: Offset;
  body: string;
}

/** Result of one read. */
export interface Batch {
  /** First offset that the log still retains. */
  first: Offset;
  /** Offset that the next append will get. */
  end: Offset;
  records: LogRecord[];
}

/** Address and timeouts of the log. Times are in milliseconds. */
export interface LogClientOptions {
  url: string;
  requestTimeoutMs?: number;
  /** IP address to call from. */
  localAddress?: string;
}

interface LogResponse {
  status: number;
  body: string;
}

/** Why a call has no response: it was never sent, or it may have reached the log. */
enum CallFailure {
  NotSent = "not-sent",
  NoResponse = "no-answer",
}

async function readBody(response: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of response) {
    size += chunk.length;
    if (size > RESPONSE_BYTES_MAX) {
      throw new Error("The log's response is too large");
    }
    chunks.push(chunk);
  }
  if (!response.complete) {
    throw new Error("The log's response ended early");
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Client of the platform's log. */
export class LogClient {
  readonly #url: string;
  readonly #requestTimeoutMs: number;
  readonly #localAddress: string | undefined;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 4 });

  constructor(options: LogClientOptions) {
    this.#url = options.url;
    this.#requestTimeoutMs = options.requestTimeoutMs ?? 5_000;
    this.#localAddress = options.localAddress;
  }

  /** Appends a record. After an `Ambiguous` error, only later reads show whether it took effect. */
  async append(body: string): Promise<Result<Offset, LogError>> {
    const response = await this.#call("POST", "/records", {
      body,
      timeoutMs: this.#requestTimeoutMs,
    });
    if (response.isErr) {
      const mayHaveArrived = response.error === CallFailure.NoResponse;
      const kind = mayHaveArrived ? LogErrorKind.Ambiguous : LogErrorKind.NotApplied;
      return Result.err(
        new LogError(kind, "The log did not respond to the append"),
      );
    }
    return this.#parseAppendResponse(response.value);
  }

  #parseAppendResponse(response: LogResponse): Result<Offset, LogError> {
    if (response.status >= 500) {
      return Result.err(
        new LogError(
          LogErrorKind.Ambiguous,
          `The log responded to the append with status ${response.status}`,
        ),
      );
    }
    const parsed = appendResponse.safeParse(parseJson(response.body));
    if (response.status === 201 && parsed.success) {
      return Result.ok(parsed.data.offset);
    }
    const message = `The log rejected the append with status ${response.status}`;
    return Result.err(new LogError(LogErrorKind.NotApplied, message));
  }

  /** Reads records from an offset onwards; waits up to `waitMs` for the first one to be appended. */
  async read(
    from: Offset,
    options: { waitMs?: number; signal?: AbortSignal } = {},
  ): Promise<Result<Batch, LogError>> {
    const waitMs = options.waitMs ?? 0;
    const path = `/records?from=${from}&wait_ms=${waitMs}&limit=${RECORDS_PER_READ}`;
    const timeoutMs = waitMs + Math.max(READ_MARGIN_MS, this.#requestTimeoutMs);
    const response = await this.#call("GET", path, {
      timeoutMs,
      signal: options.signal,
    });
    if (response.isErr) {
      return Result.err(
        new LogError(
          LogErrorKind.Unreadable,
          "The log did not respond to the read",
        ),
      );
    }
    return this.#parseReadResponse(response.value);
  }

  #parseReadResponse(response: LogResponse): Result<Batch, LogError> {
    const document = parseJson(response.body);
    if (response.status === 410) {
      const expired = expiredResponse.safeParse(document);
      const first = expired.success ? expired.data.first : undefined;
      const message = "The log no longer retains the requested offset";
      return Result.err(new LogError(LogErrorKind.Expired, message, { first }));
    }
    const parsed = readResponse.safeParse(document);
    if (response.status === 200 && parsed.success) {
      return Result.ok(parsed.data);
    }
    const message = `The log responded to a read with status ${response.status}`;
    return Result.err(new LogError(LogErrorKind.Unreadable, message));
  }

  /** Closes the connections to the log. */
  close(): void {
    this.#agent.destroy();
  }

  #call(
    method: string,
    path: string,
    options: { body?: string; timeoutMs: number; signal?: AbortSignal },
  ): Promise<Result<LogResponse, CallFailure>> {
    return new Promise((resolve) => {
      const call = request(`${this.#url}${path}`, {
        method,
        agent: this.#agent,
        localAddress: this.#localAddress,
        headers: { "content-type": "application/json" },
      });
      const abort = () => call.destroy(new Error("The call timed out or was aborted"));
      const timer = setTimeout(abort, options.timeoutMs);
      options.signal?.addEventListener("abort", abort, { once: true });
      call.on("close", () => {
        clearTimeout(timer);
        options.signal?.removeEventListener("abort", abort);
      });
      call.on("error", (error) => resolve(Result.err(failureOf(error))));
      call.on("response", (response) => {
        readBody(response).then(
          (body) => resolve(Result.ok({ status: response.statusCode ?? 0, body })),
          () => resolve(Result.err(CallFailure.NoResponse)),
        );
      });
      call.end(options.body);
    });
  }
}

function failureOf(error: Error): CallFailure {
  const code = (error as NodeJS.ErrnoException).code;
  return code === "ECONNREFUSED" ? CallFailure.NotSent : CallFailure.NoResponse;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
