/**
 * A caller: sends one request and notes what it was told.
 */
import { Buffer } from "node:buffer";
import { Agent, type IncomingMessage, request } from "node:http";

/** What a caller was told of its request. */
export enum ToldKind {
  /** The backend server's whole answer. */
  Answered = "answered",
  NotRun = "not-run",
  Unknown = "unknown",
  /** The connection was reset, or the answer was cut short. */
  Reset = "reset",
  /** The connection was refused. */
  Refused = "refused",
}

/** What a caller was told. */
export interface Told {
  kind: ToldKind;
  status: number;
  reason: string;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** From the first byte sent to the whole answer, in milliseconds. */
  durationMs: number;
}

/** One request of a caller. */
export interface CallerRequest {
  /** IP number and port of a daemon's caller listener. */
  address: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Buffer | string;
  agent?: Agent;
  signal?: AbortSignal;
}

const TIMEOUT_MS = 30_000;

/** Reads a whole body; undefined when it was cut short. */
function readBody(response: IncomingMessage): Promise<string | undefined> {
  const parts: Buffer[] = [];
  return new Promise((resolve) => {
    response.on("data", (part: Buffer) => parts.push(part));
    response.on("end", () => resolve(Buffer.concat(parts).toString("utf8")));
    response.on("error", () => resolve(undefined));
    response.on("close", () => resolve(undefined));
  });
}

function kindOf(response: IncomingMessage, body: string | undefined): ToldKind {
  if (body === undefined) {
    return ToldKind.Reset;
  }
  const outcome = response.headers["bulrushwood-outcome"];
  if (outcome === undefined) {
    return ToldKind.Answered;
  }
  return outcome === "not-run" ? ToldKind.NotRun : ToldKind.Unknown;
}

/** Sends a request; never rejects. */
export function sendRequest(options: CallerRequest): Promise<Told> {
  const startedAt = performance.now();
  const { method, headers, agent, body } = options;
  const { signal, address } = options;
  return new Promise((resolve) => {
    const settle = (told: Omit<Told, "durationMs">) => {
      resolve({ ...told, durationMs: performance.now() - startedAt });
    };
    const [host, port] = address.split(":");
    const call = request({
      host,
      port,
      path: options.path,
      method,
      headers,
      agent: agent ?? false,
      signal,
    });
    const timer = setTimeout(() => call.destroy(new Error("No answer came in time")), TIMEOUT_MS);
    call.on("close", () => clearTimeout(timer));
    call.on("error", (error) => {
      const isRefused = (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
      const kind = isRefused ? ToldKind.Refused : ToldKind.Reset;
      settle({ kind, status: 0, reason: error.message, headers: {}, body: "" });
    });
    call.on("response", async (response) => {
      const text = await readBody(response);
      settle({
        kind: kindOf(response, text),
        status: response.statusCode ?? 0,
        reason: String(response.headers["bulrushwood-reason"] ?? ""),
        headers: response.headers,
        body: text ?? "",
      });
    });
    call.end(body);
  });
}
