/**
 * Caller of a daemon: sends one request and classifies its outcome.
 */
import { Buffer } from "node:buffer";
import { Agent, type IncomingMessage, request } from "node:http";

/** Kinds of outcomes of a request, as the caller sees them. */
export enum CallerOutcomeKind {
  /** The backend server's complete response. */
  Responded = "answered",
  NotRun = "not-run",
  Unknown = "unknown",
  /** The connection was reset, or the response was truncated. */
  Reset = "reset",
  /** The connection was refused. */
  Refused = "refused",
}

/** Outcome of a request, as the caller sees it. */
export interface CallerOutcome {
  kind: CallerOutcomeKind;
  status: number;
  reason: string;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** Time from the first byte sent to the end of the response, in milliseconds. */
  durationMs: number;
}

/** Request to one daemon. */
export interface CallerRequest {
  /** IP address and port of a daemon's listener for callers. */
  address: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Buffer | string;
  agent?: Agent;
  signal?: AbortSignal;
}

/** Timeout of a request, in milliseconds. */
const TIMEOUT_MS = 30_000;

/** Reads the body of a response; resolves with undefined when it is truncated. */
function readBody(response: IncomingMessage): Promise<string | undefined> {
  const parts: Buffer[] = [];
  return new Promise((resolve) => {
    response.on("data", (part: Buffer) => parts.push(part));
    response.on("end", () => resolve(Buffer.concat(parts).toString("utf8")));
    response.on("error", () => resolve(undefined));
    response.on("close", () => resolve(undefined));
  });
}

function kindOf(response: IncomingMessage, body: string | undefined): CallerOutcomeKind {
  if (body === undefined) {
    return CallerOutcomeKind.Reset;
  }
  const outcome = response.headers["bulrushwood-outcome"];
  if (outcome === undefined) {
    return CallerOutcomeKind.Responded;
  }
  return outcome === "not-run" ? CallerOutcomeKind.NotRun : CallerOutcomeKind.Unknown;
}

/** Sends a request and returns its outcome. A failed connection is an outcome too: the promise never rejects. */
export function sendRequest(options: CallerRequest): Promise<CallerOutcome> {
  const startedAt = performance.now();
  const { method, headers, agent, body } = options;
  const { signal, address } = options;
  return new Promise((resolve) => {
    const settle = (outcome: Omit<CallerOutcome, "durationMs">) => {
      resolve({ ...outcome, durationMs: performance.now() - startedAt });
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
    const timer = setTimeout(
      () => call.destroy(new Error("No response within the timeout")),
      TIMEOUT_MS,
    );
    call.on("close", () => clearTimeout(timer));
    call.on("error", (error) => {
      const isRefused = (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
      const kind = isRefused ? CallerOutcomeKind.Refused : CallerOutcomeKind.Reset;
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
