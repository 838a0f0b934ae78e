/**
 * Stand-in for a backend server. It announces itself to its daemon, checks grants on its own clock, runs requests in
 * slots, and `/control` makes it fail in the ways that real servers do. It records every request that it ran, so that
 * a test can compare the outcomes that callers saw with what the server did.
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import { z } from "zod";
import {
  ANNOUNCE_PATH,
  type Announcement,
  compareTokens,
  DEADLINE_HEADER,
  type Grant,
  GRANT_HEADER,
  grantExtensionSchema,
  GRANTS_PATH,
  KEY_HEADER,
  parseGrant,
  REFUSED_HEADER,
  REQUEST_ID_HEADER,
  REQUESTS_PATH,
} from "@bulrushwood/backend";
import { closeServer, listenOn, readText, sendJson } from "./http_tools.ts";

const ANNOUNCE_INTERVAL_MS = 100;
const ANNOUNCE_TIMEOUT_MS = 500;
const GRANT_CHECK_INTERVAL_MS = 10;
/** Requests that the server queues for each slot before it sheds load. */
const QUEUED_PER_SLOT_MAX = 4;

/** State of a request that the server started to run. */
export enum WorkState {
  Running = "running",
  Done = "done",
  Cancelled = "cancelled",
  /** The grant expired while the request was running. */
  GrantLapsed = "grant-lapsed",
}

/** Record of a request that the server ran. */
export interface Work {
  id: string;
  key: string;
  method: string;
  path: string;
  token: string;
  /** Length of the received body in bytes; the content is not recorded. */
  bodyBytes: number;
  /** Start on the machine's wall clock, in milliseconds. */
  startedAt: number;
  /** End on the machine's wall clock, in milliseconds; 0 while the request is running. */
  endedAt: number;
  end: WorkState;
}

const controlSchema = z.strictObject({
  /** Time that each request takes, in milliseconds. */
  serviceMs: z.number().min(0).optional(),
  draining: z.boolean().optional(),
  /** Rejects all requests as shed. */
  shedding: z.boolean().optional(),
  /** Load that the server reports instead of its real one. */
  reportedLoad: z.number().optional(),
  /** Number of the next responses that break off halfway through the body. */
  breakAnswers: z.number().int().min(0).optional(),
  /** Health that the server reports. */
  reportedHealth: z.enum(["ok", "failing"]).optional(),
  /** Age of the load that the server reports, in milliseconds. */
  reportLagMs: z.number().min(0).max(600_000).optional(),
  /** Stops the announcements to the daemon. */
  silent: z.boolean().optional(),
});

/** Body of a request to `/control`; an absent field stays as it is. */
export type BackendControl = z.infer<typeof controlSchema>;

/** Address, capacity and timing of a stand-in. */
export interface BackendServerOptions {
  host: string;
  port: number;
  /** IP address and port at which its daemon accepts announcements. */
  daemon: string;
  pool: string;
  slots: number;
  connections: number;
  checksGrants: boolean;
  /** Time that each request takes, in milliseconds. */
  serviceMs: number;
  /** Extra time that a request takes right after the start, in milliseconds; falls to 0 over two seconds. */
  coldStartMs?: number;
  /** Called when a request starts to run and when it ends. */
  onWork?: (work: Work) => void;
}

/** Number of slots in use at one time. */
interface LoadSample {
  at: number;
  load: number;
}

interface RunningWork {
  work: Work;
  group: number;
  stop: (end: WorkState) => void;
}

/** Backend server stand-in that listens in this process. */
export class BackendServer {
  readonly #options: BackendServerOptions;
  readonly #server: Server;
  readonly #incarnation = randomUUID().slice(0, 8);
  readonly #startedAt = performance.now();
  readonly #workRecords: Work[] = [];
  readonly #running = new Map<string, RunningWork>();
  /** Wakes the requests that are queued for a slot. */
  readonly #slotWaiters: (() => void)[] = [];
  /** Newest grant token of each key. */
  readonly #newestTokens = new Map<string, string>();
  /** End of the grant of each lease group, on this server's clock. */
  readonly #grantEnds = new Map<number, number>();
  readonly #timers: NodeJS.Timeout[] = [];
  #usedSlots = 0;
  #serviceMs: number;
  #isDraining = false;
  #isShedding = false;
  #reportedLoad: number | undefined;
  #reportedHealth = "ok";
  #reportLagMs = 0;
  /** Recent load, oldest first, for reports that lag. */
  readonly #loadSamples: LoadSample[] = [];
  #responsesToBreak = 0;
  #isSilent = false;
  #rejectedCount = 0;

  private constructor(options: BackendServerOptions) {
    this.#options = options;
    this.#serviceMs = options.serviceMs;
    this.#server = createServer((incoming, response) => {
      this.#handle(incoming, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 120_000;
    this.#server.maxConnections = options.connections + 8;
  }

  /** Starts a server and its announcements, and resolves once it listens. */
  static async start(options: BackendServerOptions): Promise<BackendServer> {
    const server = new BackendServer(options);
    await listenOn(server.#server, options);
    server.#announce();
    server.#timers.push(
      setInterval(() => server.#announce(), ANNOUNCE_INTERVAL_MS),
    );
    server.#timers.push(
      setInterval(() => server.#stopLapsedWork(), GRANT_CHECK_INTERVAL_MS),
    );
    return server;
  }

  /** Stops the server and its announcements, and closes its connections. */
  async close(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    await closeServer(this.#server);
  }

  #clockMs(): number {
    return performance.now();
  }

  #announce(): void {
    if (this.#isSilent) {
      return;
    }
    const { port, pool, slots, connections, checksGrants, daemon } = this.#options;
    const announcement: Announcement = {
      life: this.#incarnation,
      port,
      pool,
      slots,
      connections,
      checksGrants,
      draining: this.#isDraining,
      clockMs: this.#clockMs(),
      load: this.#reportLoad(),
    };
    const call = request(`http://${daemon}${ANNOUNCE_PATH}`, {
      method: "POST",
      timeout: ANNOUNCE_TIMEOUT_MS,
      localAddress: this.#options.host,
    });
    call.on("response", (response) => response.resume());
    call.on("error", () => {});
    call.on("timeout", () => call.destroy());
    call.end(JSON.stringify(announcement));
  }

  /** Samples the load, and returns the reported one: that of `reportLagMs` ago, or the one set by `/control`. */
  #reportLoad(): number {
    const now = this.#clockMs();
    this.#loadSamples.push({ at: now, load: this.#usedSlots });
    while (this.#loadSamples.length > 1 && this.#loadSamples[1].at <= now - this.#reportLagMs) {
      this.#loadSamples.shift();
    }
    return this.#reportedLoad ?? this.#loadSamples[0].load;
  }

  async #handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = incoming.url ?? "/";
    if (path === "/control") {
      return await this.#handleControl(incoming, response);
    }
    if (path === "/works") {
      return sendJson(response, 200, {
        works: this.#workRecords,
        refused: this.#rejectedCount,
      });
    }
    if (path === "/health") {
      const status = this.#reportedHealth === "ok" ? 200 : 503;
      return sendJson(response, status, { health: this.#reportedHealth });
    }
    if (path === "/load") {
      return sendJson(response, 200, { load: this.#reportLoad() });
    }
    if (path === GRANTS_PATH) {
      return await this.#handleGrants(incoming, response);
    }
    if (incoming.method === "DELETE" && path.startsWith(`${REQUESTS_PATH}/`)) {
      this.#running.get(
        decodeURIComponent(path.slice(REQUESTS_PATH.length + 1)),
      )
        ?.stop(WorkState.Cancelled);
      response.writeHead(204).end();
      return;
    }
    await this.#handleWork(incoming, response);
  }

  async #handleControl(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = controlSchema.safeParse(JSON.parse(await readText(incoming)));
    if (!parsed.success) {
      return sendJson(response, 400, { error: z.prettifyError(parsed.error) });
    }
    const settings = parsed.data;
    this.#serviceMs = settings.serviceMs ?? this.#serviceMs;
    this.#isDraining = settings.draining ?? this.#isDraining;
    this.#isShedding = settings.shedding ?? this.#isShedding;
    this.#reportedLoad = settings.reportedLoad ?? this.#reportedLoad;
    this.#reportedHealth = settings.reportedHealth ?? this.#reportedHealth;
    this.#reportLagMs = settings.reportLagMs ?? this.#reportLagMs;
    this.#responsesToBreak = settings.breakAnswers ?? this.#responsesToBreak;
    this.#isSilent = settings.silent ?? this.#isSilent;
    this.#announce();
    sendJson(response, 200, {});
  }

  async #handleGrants(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (incoming.method === "OPTIONS") {
      response.writeHead(204).end();
      return;
    }
    const extension = grantExtensionSchema.parse(
      JSON.parse(await readText(incoming)),
    );
    if (extension.life === this.#incarnation) {
      for (const { group, untilMs } of extension.grants) {
        this.#extendGrant(group, untilMs);
      }
    }
    response.writeHead(204).end();
  }

  #extendGrant(group: number, untilMs: number): void {
    this.#grantEnds.set(group, Math.max(untilMs, this.#grantEnds.get(group) ?? 0));
  }

  /** Stops requests whose grant has expired: another server may own their keys by now. */
  #stopLapsedWork(): void {
    for (const running of this.#running.values()) {
      if (this.#hasGrantLapsed(running.work, running.group)) {
        running.stop(WorkState.GrantLapsed);
      }
    }
  }

  #hasGrantLapsed(work: Work, group: number): boolean {
    const isChecked = this.#options.checksGrants && work.token !== "";
    return isChecked && this.#clockMs() > this.#grantEnd(group);
  }

  #grantEnd(group: number): number {
    return this.#grantEnds.get(group) ?? 0;
  }

  async #handleWork(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const grantText = headerValue(incoming, GRANT_HEADER);
    const key = decodeURIComponent(headerValue(incoming, KEY_HEADER));
    const grant = grantText === "" ? undefined : parseGrant(grantText);
    const rejection = this.#rejectionReason(incoming, grant, key);
    if (rejection !== undefined) {
      this.#rejectedCount++;
      incoming.resume();
      response.writeHead(503, {
        [REFUSED_HEADER]: rejection,
        "content-length": 0,
      }).end();
      return;
    }
    if (grant !== undefined) {
      this.#newestTokens.set(key, grant.token);
      this.#extendGrant(grant.group, grant.untilMs);
    }
    const bodyBytes = await countBodyBytes(incoming);
    await this.#run(incoming, response, { key, grant, bodyBytes });
  }

  /** Returns why a request is rejected before it runs; undefined when it may run. */
  #rejectionReason(
    incoming: IncomingMessage,
    grant: Grant | undefined,
    key: string,
  ): string | undefined {
    if (
      this.#isShedding ||
      this.#slotWaiters.length >= this.#options.slots * QUEUED_PER_SLOT_MAX
    ) {
      return "shed";
    }
    if (Number(headerValue(incoming, DEADLINE_HEADER) || "1") <= 0) {
      return "deadline";
    }
    if (!this.#options.checksGrants || headerValue(incoming, GRANT_HEADER) === "") {
      return undefined;
    }
    if (
      grant === undefined || grant.life !== this.#incarnation ||
      grant.untilMs < this.#clockMs()
    ) {
      return "grant";
    }
    const newestToken = this.#newestTokens.get(key);
    return newestToken !== undefined && compareTokens(grant.token, newestToken) < 0
      ? "token"
      : undefined;
  }

  async #run(
    incoming: IncomingMessage,
    response: ServerResponse,
    options: { key: string; grant: Grant | undefined; bodyBytes: number },
  ): Promise<void> {
    const { key, grant, bodyBytes } = options;
    await this.#acquireSlot();
    const work: Work = {
      id: headerValue(incoming, REQUEST_ID_HEADER),
      key,
      method: incoming.method ?? "",
      path: incoming.url ?? "",
      token: grant?.token ?? "",
      bodyBytes,
      startedAt: Date.now(),
      endedAt: 0,
      end: WorkState.Running,
    };
    this.#workRecords.push(work);
    this.#options.onWork?.(work);
    work.end = await this.#simulateWork(work, grant?.group ?? 0, response);
    work.endedAt = Date.now() - this.#overdueMs(work, grant?.group ?? 0);
    this.#options.onWork?.(work);
    this.#releaseSlot();
    if (work.end === WorkState.Done) {
      this.#sendResponse(response, work);
    } else {
      response.destroy();
    }
  }

  /** Waits for the service time of a request, or until the request is stopped. */
  #simulateWork(work: Work, group: number, response: ServerResponse): Promise<WorkState> {
    return new Promise((resolve) => {
      const stop = (end: WorkState) => {
        clearTimeout(timer);
        this.#running.delete(work.id);
        // After a suspension, the end of the connection may be seen before the end of the grant.
        resolve(this.#hasGrantLapsed(work, group) ? WorkState.GrantLapsed : end);
      };
      const timer = setTimeout(() => stop(WorkState.Done), this.#serviceTimeMs(work));
      this.#running.set(work.id, { work, group, stop });
      response.once("close", () => stop(WorkState.Cancelled));
    });
  }

  /** Returns the time that a request takes; its query may set it, as in `?service_ms=250`. */
  #serviceTimeMs(work: Work): number {
    const { coldStartMs = 0 } = this.#options;
    const ageMs = performance.now() - this.#startedAt;
    const coldMs = coldStartMs * Math.max(0, 1 - ageMs / 2_000);
    const requestedMs = new URL(work.path, "http://server").searchParams.get(
      "service_ms",
    );
    return (requestedMs === null ? this.#serviceMs : Number(requestedMs)) + coldMs;
  }

  /**
   * Returns how long ago the grant of a lapsed request expired. A process that was suspended notices it late, but the
   * request ended with its grant, since nothing ran in between.
   */
  #overdueMs(work: Work, group: number): number {
    return work.end === WorkState.GrantLapsed ? this.#clockMs() - this.#grantEnd(group) : 0;
  }

  #acquireSlot(): Promise<void> {
    if (this.#usedSlots < this.#options.slots) {
      this.#usedSlots++;
      return Promise.resolve();
    }
    return new Promise((resolve) => this.#slotWaiters.push(resolve));
  }

  #releaseSlot(): void {
    const next = this.#slotWaiters.shift();
    if (next === undefined) {
      this.#usedSlots--;
    } else {
      next();
    }
  }

  /** Echoes the request in the response, so that a caller can verify that the response belongs to its request. */
  #sendResponse(response: ServerResponse, work: Work): void {
    const { id, key, path, bodyBytes } = work;
    const paddingBytes = Number(
      new URL(path, "http://server").searchParams.get("answer_bytes") ?? 0,
    );
    const document = JSON.stringify({
      id,
      key,
      path,
      bodyBytes,
      host: this.#options.host,
    });
    const body = Buffer.from(document + " ".repeat(paddingBytes));
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": body.length,
    });
    if (this.#responsesToBreak > 0) {
      this.#responsesToBreak--;
      response.write(
        body.subarray(0, Math.floor(body.length / 2)),
        () => response.destroy(),
      );
      return;
    }
    response.end(body);
  }
}

function headerValue(incoming: IncomingMessage, name: string): string {
  const value = incoming.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? "";
}

async function countBodyBytes(incoming: IncomingMessage): Promise<number> {
  let bytes = 0;
  for await (const part of incoming) {
    bytes += part.length;
  }
  return bytes;
}
