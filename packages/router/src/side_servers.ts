/**
 * HTTP listeners besides the one for callers: readiness, status reports of the backend server, metrics.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import {
  type Endpoint,
  type GrantRows,
  type ServerReport,
  ServerState,
  type ServerWire,
} from "@bulrushwood/deployment";
import { readBody } from "@bulrushwood/http_client";
import { type ConnectionLimitOptions, limitConnections, listen } from "@bulrushwood/http_server";
import { Event, type EventLog, logListenerErrors } from "./event_log.ts";
import type { ServerWatch } from "./server_watch.ts";

/** Size limit of status reports, in bytes; a server that holds many ranges sends some tens of KB. */
const REPORT_BYTES_MAX = 1024 * 1024;

/** Handles one request and sends its response. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Options of `SideServer.listen`. */
export interface SideServerOptions {
  log: EventLog;
  connectionLimit: ConnectionLimitOptions;
  /** Ends the wait for a taken port when it aborts. */
  signal?: AbortSignal;
}

/** HTTP listener with one handler. */
export class SideServer {
  readonly #server: Server;

  private constructor(handler: Handler, options: SideServerOptions) {
    const { log, connectionLimit } = options;
    this.#server = createServer((request, response) => {
      Promise.resolve(handler(request, response)).catch((error: Error) => {
        log(Event.TaskFailed, { task: "side server", reason: error.message });
        response.destroy();
      });
    });
    limitConnections(this.#server, connectionLimit);
  }

  /** Starts listening. */
  static async listen(
    endpoint: Endpoint,
    handler: Handler,
    options: SideServerOptions,
  ): Promise<SideServer> {
    const { log, signal } = options;
    const side = new SideServer(handler, options);
    await listen(side.#server, endpoint, { signal, onError: logListenerErrors(log) });
    return side;
  }

  /** Stops listening. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/** Returns a handler for the readiness check: status 200 when ready, 503 otherwise. */
export function handleReadiness(isReady: () => boolean): Handler {
  return (request, response) => {
    request.resume();
    response.writeHead(isReady() ? 200 : 503).end();
  };
}

/** Decides which grants the response to a report contains. */
export type ReportResponder = (
  report: ServerReport,
  options: { mayWait: boolean },
) => Promise<{ grants: GrantRows; recordSent: () => void } | undefined>;

/** Returns a handler for the backend server's status reports; without `respond` the responses contain no grants. */
export function handleReports(
  wire: ServerWire,
  options: {
    watch: ServerWatch;
    respond: ReportResponder | undefined;
    /** Whether the departures that earlier processes stored have been read. */
    hasReadDepartures: () => boolean;
    /** Resolves to whether the store has the departure of the current server, within a bounded time. */
    awaitDeparture: () => Promise<boolean>;
    log: EventLog;
  },
): Handler {
  return async (request, response) => {
    const received = await readBody(request, { bytesMax: REPORT_BYTES_MAX });
    const decoded = wire.readReport(request.method ?? "", request.url ?? "", received);
    if (decoded.isErr) {
      options.log(Event.ReportRejected, { reason: decoded.error.message });
      response.writeHead(400).end(`${decoded.error.message}\n`);
      return;
    }
    const { watch } = options;
    if (decoded.value.kind === "report" && !options.hasReadDepartures()) {
      response.writeHead(503).end("It is not known yet which server had left here\n");
      return;
    }
    const isAccepted = watch.apply(decoded.value);
    // The response must not wait for a server that leaves, which needs its acknowledgement at once.
    const mayWait = watch.leavingSince === undefined;
    const decision = isAccepted && decoded.value.kind === "report"
      ? await options.respond?.(decoded.value.report, { mayWait })
      : undefined;
    const isLeave = decoded.value.kind === "farewell" ||
      decoded.value.report.state !== ServerState.Ready;
    if (isLeave && !(await options.awaitDeparture())) {
      options.log(Event.DepartureUnstored, { server: watch.report?.id });
      response.writeHead(503).end("The departure is not stored yet\n");
      return;
    }
    const body = wire.reportResponse(decision?.grants);
    response.writeHead(200, { "content-type": "application/json", "content-length": body.length });
    response.end(body, decision?.recordSent);
  };
}
