/**
 * A small stand-in for a backend server. It announces itself to the daemon beside it, checks grants on
 * its own clock, runs work in slots, and fails on demand in the ways that real servers do. It keeps a
 * record of all that it ran, so that a test can compare what callers were told with what happened.
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

const ANNOUNCE_EVERY_MS = 100;
const ANNOUNCE_TIMEOUT_MS = 500;
const CHECK_GRANTS_EVERY_MS = 10;
/** Requests beyond the slots that wait inside the server, times the slots, before it sheds. */
const QUEUE_PER_SLOT = 4;

/** What became of one piece of work. */
export enum WorkEnd {
  Running = "running",
  Done = "done",
  Cancelled = "cancelled",
  /** Its grant ran out while it ran. */
  GrantLapsed = "grant-lapsed",
}

/** One piece of work that the server ran. */
export interface Work {
  id: string;
  key: string;
  method: string;
  path: string;
  token: string;
  /** Digest-like length of the body that arrived, in bytes. */
  bodyBytes: number;
  /** Times on the machine's wall clock, in milliseconds. */
  startedAt: number;
  endedAt: number;
  end: WorkEnd;
}

const control = z.strictObject({
  /** Time that each piece of work takes, in milliseconds. */
  serviceMs: z.number().min(0).optional(),
  draining: z.boolean().optional(),
  /** Refuses all work as shed. */
  shedding: z.boolean().optional(),
  /** Load that it reports, whatever the truth is. */
  reportedLoad: z.number().optional(),
  /** Breaks off this many of the next answers half way. */
  breakAnswers: z.number().int().min(0).optional(),
  /** Health that it reports, whatever the truth is. */
  reportedHealth: z.enum(["ok", "failing"]).optional(),
  /** Age of the load that it reports, in milliseconds. */
  reportLagMs: z.number().min(0).max(600_000).optional(),
  /** Stops announcing itself. */
  silent: z.boolean().optional(),
});

/** Settings of the stand-in's failures. */
export type BackendControl = z.infer<typeof control>;

/** How to start a stand-in. */
export interface BackendServerOptions {
  host: string;
  port: number;
  /** Where the daemon beside it takes announcements: IP number and port. */
  daemon: string;
  pool: string;
  slots: number;
  connections: number;
  checksGrants: boolean;
  serviceMs: number;
  /** Extra time that work takes right after the start; falls to nothing over two seconds. */
  coldStartMs?: number;
  /** Told when work begins and when it ends. */
  onWork?: (work: Work) => void;
}

/** Load at one time. */
interface LoadSample {
  at: number;
  load: number;
}

interface Running {
  work: Work;
  group: number;
  stop: (end: WorkEnd) => void;
}

/** A backend server stand-in in this process. */
export class BackendServer {
  readonly #options: BackendServerOptions;
  readonly #server: Server;
  readonly #life = randomUUID().slice(0, 8);
  readonly #startedAt = performance.now();
  readonly #works: Work[] = [];
  readonly #running = new Map<string, Running>();
  readonly #queue: (() => void)[] = [];
  readonly #tokens = new Map<string, string>();
  readonly #grants = new Map<number, number>();
  readonly #timers: NodeJS.Timeout[] = [];
  #busy = 0;
  #serviceMs: number;
  #draining = false;
  #shedding = false;
  #reportedLoad: number | undefined;
  #reportedHealth = "ok";
  #reportLagMs = 0;
  /** Load as it was, for reports that lag. */
  readonly #loads: LoadSample[] = [];
  #breakAnswers = 0;
  #silent = false;
  #refused = 0;

  private constructor(options: BackendServerOptions) {
    this.#options = options;
    this.#serviceMs = options.serviceMs;
    this.#server = createServer((incoming, response) => {
      this.#answer(incoming, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 120_000;
    this.#server.maxConnections = options.connections + 8;
  }

  /** Starts a server that listens and announces itself. */
  static async start(options: BackendServerOptions): Promise<BackendServer> {
    const server = new BackendServer(options);
    await listenOn(server.#server, options);
    server.#announce();
    server.#timers.push(
      setInterval(() => server.#announce(), ANNOUNCE_EVERY_MS),
    );
    server.#timers.push(
      setInterval(() => server.#stopLapsed(), CHECK_GRANTS_EVERY_MS),
    );
    return server;
  }

  /** Stops the server and closes its connections. */
  async close(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    await closeServer(this.#server);
  }

  #clockMs(): number {
    return performance.now();
  }

  #announce(): void {
    if (this.#silent) {
      return;
    }
    const { port, pool, slots, connections, checksGrants, daemon } = this.#options;
    const announcement: Announcement = {
      life: this.#life,
      port,
      pool,
      slots,
      connections,
      checksGrants,
      draining: this.#draining,
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

  /** Load as reported: what it was a while ago, or what the control says. */
  #reportLoad(): number {
    const now = this.#clockMs();
    this.#loads.push({ at: now, load: this.#busy });
    while (this.#loads.length > 1 && this.#loads[1].at <= now - this.#reportLagMs) {
      this.#loads.shift();
    }
    return this.#reportedLoad ?? this.#loads[0].load;
  }

  async #answer(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = incoming.url ?? "/";
    if (path === "/control") {
      return await this.#answerControl(incoming, response);
    }
    if (path === "/works") {
      return sendJson(response, 200, {
        works: this.#works,
        refused: this.#refused,
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
      return await this.#answerGrants(incoming, response);
    }
    if (incoming.method === "DELETE" && path.startsWith(`${REQUESTS_PATH}/`)) {
      this.#running.get(
        decodeURIComponent(path.slice(REQUESTS_PATH.length + 1)),
      )
        ?.stop(WorkEnd.Cancelled);
      response.writeHead(204).end();
      return;
    }
    await this.#answerWork(incoming, response);
  }

  async #answerControl(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = control.safeParse(JSON.parse(await readText(incoming)));
    if (!parsed.success) {
      return sendJson(response, 400, { error: z.prettifyError(parsed.error) });
    }
    const settings = parsed.data;
    this.#serviceMs = settings.serviceMs ?? this.#serviceMs;
    this.#draining = settings.draining ?? this.#draining;
    this.#shedding = settings.shedding ?? this.#shedding;
    this.#reportedLoad = settings.reportedLoad ?? this.#reportedLoad;
    this.#reportedHealth = settings.reportedHealth ?? this.#reportedHealth;
    this.#reportLagMs = settings.reportLagMs ?? this.#reportLagMs;
    this.#breakAnswers = settings.breakAnswers ?? this.#breakAnswers;
    this.#silent = settings.silent ?? this.#silent;
    this.#announce();
    sendJson(response, 200, {});
  }

  async #answerGrants(
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
    if (extension.life === this.#life) {
      for (const { group, untilMs } of extension.grants) {
        this.#extendGrant(group, untilMs);
      }
    }
    response.writeHead(204).end();
  }

  #extendGrant(group: number, untilMs: number): void {
    this.#grants.set(group, Math.max(untilMs, this.#grants.get(group) ?? 0));
  }

  /** Ends work whose grant has run out: another server may own its key by now. */
  #stopLapsed(): void {
    for (const running of this.#running.values()) {
      if (this.#hasLapsed(running.work, running.group)) {
        running.stop(WorkEnd.GrantLapsed);
      }
    }
  }

  #hasLapsed(work: Work, group: number): boolean {
    const isChecked = this.#options.checksGrants && work.token !== "";
    return isChecked && this.#clockMs() > this.#grantEnd(group);
  }

  #grantEnd(group: number): number {
    return this.#grants.get(group) ?? 0;
  }

  async #answerWork(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const grantText = single(incoming, GRANT_HEADER);
    const key = decodeURIComponent(single(incoming, KEY_HEADER));
    const grant = grantText === "" ? undefined : parseGrant(grantText);
    const refusal = this.#refusalOf(incoming, grant, key);
    if (refusal !== undefined) {
      this.#refused++;
      incoming.resume();
      response.writeHead(503, {
        [REFUSED_HEADER]: refusal,
        "content-length": 0,
      }).end();
      return;
    }
    if (grant !== undefined) {
      this.#tokens.set(key, grant.token);
      this.#extendGrant(grant.group, grant.untilMs);
    }
    const bodyBytes = await countBody(incoming);
    await this.#run(incoming, response, { key, grant, bodyBytes });
  }

  /** Why work is refused before any of it runs. */
  #refusalOf(
    incoming: IncomingMessage,
    grant: Grant | undefined,
    key: string,
  ): string | undefined {
    if (
      this.#shedding ||
      this.#queue.length >= this.#options.slots * QUEUE_PER_SLOT
    ) {
      return "shed";
    }
    if (Number(single(incoming, DEADLINE_HEADER) || "1") <= 0) {
      return "deadline";
    }
    if (!this.#options.checksGrants || single(incoming, GRANT_HEADER) === "") {
      return undefined;
    }
    if (
      grant === undefined || grant.life !== this.#life ||
      grant.untilMs < this.#clockMs()
    ) {
      return "grant";
    }
    const newest = this.#tokens.get(key);
    return newest !== undefined && compareTokens(grant.token, newest) < 0 ? "token" : undefined;
  }

  async #run(
    incoming: IncomingMessage,
    response: ServerResponse,
    options: { key: string; grant: Grant | undefined; bodyBytes: number },
  ): Promise<void> {
    const { key, grant, bodyBytes } = options;
    await this.#takeSlot();
    const work: Work = {
      id: single(incoming, REQUEST_ID_HEADER),
      key,
      method: incoming.method ?? "",
      path: incoming.url ?? "",
      token: grant?.token ?? "",
      bodyBytes,
      startedAt: Date.now(),
      endedAt: 0,
      end: WorkEnd.Running,
    };
    this.#works.push(work);
    this.#options.onWork?.(work);
    work.end = await this.#work(work, grant?.group ?? 0, response);
    work.endedAt = Date.now() - this.#overdueMs(work, grant?.group ?? 0);
    this.#options.onWork?.(work);
    this.#releaseSlot();
    if (work.end === WorkEnd.Done) {
      this.#sendResult(response, work);
    } else {
      response.destroy();
    }
  }

  /** Does the work: waits its time out, unless it is stopped before. */
  #work(work: Work, group: number, response: ServerResponse): Promise<WorkEnd> {
    return new Promise((resolve) => {
      const stop = (end: WorkEnd) => {
        clearTimeout(timer);
        this.#running.delete(work.id);
        resolve(end);
      };
      const finish = () => stop(this.#hasLapsed(work, group) ? WorkEnd.GrantLapsed : WorkEnd.Done);
      const timer = setTimeout(finish, this.#serviceTimeMs(work));
      this.#running.set(work.id, { work, group, stop });
      response.once("close", () => stop(WorkEnd.Cancelled));
    });
  }

  /** Work may name its own time in the query, such as `?service_ms=250`. */
  #serviceTimeMs(work: Work): number {
    const { coldStartMs = 0 } = this.#options;
    const ageMs = performance.now() - this.#startedAt;
    const coldMs = coldStartMs * Math.max(0, 1 - ageMs / 2_000);
    const asked = new URL(work.path, "http://server").searchParams.get(
      "service_ms",
    );
    return (asked === null ? this.#serviceMs : Number(asked)) + coldMs;
  }

  /** Work whose grant ran out while the process was stopped ended with its grant, not later. */
  #overdueMs(work: Work, group: number): number {
    return work.end === WorkEnd.GrantLapsed ? this.#clockMs() - this.#grantEnd(group) : 0;
  }

  #takeSlot(): Promise<void> {
    if (this.#busy < this.#options.slots) {
      this.#busy++;
      return Promise.resolve();
    }
    return new Promise((resolve) => this.#queue.push(resolve));
  }

  #releaseSlot(): void {
    const next = this.#queue.shift();
    if (next === undefined) {
      this.#busy--;
    } else {
      next();
    }
  }

  /** Answers with what was asked, so that a caller can tell whether the answer is its own. */
  #sendResult(response: ServerResponse, work: Work): void {
    const { id, key, path, bodyBytes } = work;
    const padding = Number(
      new URL(path, "http://server").searchParams.get("answer_bytes") ?? 0,
    );
    const head = JSON.stringify({
      id,
      key,
      path,
      bodyBytes,
      host: this.#options.host,
    });
    const body = Buffer.from(head + " ".repeat(padding));
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": body.length,
    });
    if (this.#breakAnswers > 0) {
      this.#breakAnswers--;
      response.write(
        body.subarray(0, Math.floor(body.length / 2)),
        () => response.destroy(),
      );
      return;
    }
    response.end(body);
  }
}

function single(incoming: IncomingMessage, name: string): string {
  const value = incoming.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? "";
}

async function countBody(incoming: IncomingMessage): Promise<number> {
  let bytes = 0;
  for await (const part of incoming) {
    bytes += part.length;
  }
  return bytes;
}
