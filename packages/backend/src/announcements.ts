/**
 * Receives the announcements of the backend server beside this daemon and publishes the latest one.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { BehaviorSubject, type Observable } from "rxjs";
import { ANNOUNCE_PATH, type Announcement, announcementSchema } from "./wire.ts";
import { ServerClock } from "./server_clock.ts";

/** Largest body of an announcement. */
const ANNOUNCEMENT_BYTES_MAX = 4_096;

/** State of the backend server beside this daemon, from its latest announcement. */
export interface AnnouncedServer {
  announcement: Announcement;
  clock: ServerClock;
  /** IP number at which the server accepts requests. */
  host: string;
  port: number;
}

/** Options of `Announcements.listen`. Times are in milliseconds. */
export interface AnnouncementsOptions {
  host: string;
  port: number;
  /** Time without an announcement after which the server counts as unreachable. */
  timeoutMs: number;
  /** Called with a description of each malformed announcement. */
  onMalformed: (message: string) => void;
}

/** HTTP endpoint for the announcements of the backend server beside this daemon. */
export class Announcements {
  readonly #options: AnnouncementsOptions;
  readonly #server: Server;
  readonly #announced = new BehaviorSubject<AnnouncedServer | undefined>(undefined);
  #receivedAt = 0;
  readonly #timer: NodeJS.Timeout;

  private constructor(options: AnnouncementsOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 30_000;
    this.#timer = setInterval(
      () => this.#checkSilence(),
      options.timeoutMs / 5,
    );
  }

  static async listen(options: AnnouncementsOptions): Promise<Announcements> {
    const announcements = new Announcements(options);
    const server = announcements.#server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(options.port, options.host, resolve);
    });
    return announcements;
  }

  /** Emits the server at each announcement, and undefined once no announcement came for `timeoutMs`. */
  get changes(): Observable<AnnouncedServer | undefined> {
    return this.#announced;
  }

  /** The announced server; undefined while there is none. */
  get current(): AnnouncedServer | undefined {
    return this.#announced.value;
  }

  /** Time since the latest announcement, in milliseconds. */
  get silentMs(): number {
    return performance.now() - this.#receivedAt;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method !== "POST" || request.url !== ANNOUNCE_PATH) {
      response.writeHead(404).end(`Use POST ${ANNOUNCE_PATH}`);
      return;
    }
    const parsed = announcementSchema.safeParse(await readJson(request));
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      const message = `An announcement is malformed: ${issue.path.join(".")}: ${issue.message}`;
      this.#options.onMalformed(message);
      response.writeHead(400).end(message);
      return;
    }
    this.#update(parsed.data, request);
    response.writeHead(204).end();
  }

  #update(announcement: Announcement, request: IncomingMessage): void {
    const receivedAt = performance.now();
    const previous = this.current;
    const isSameIncarnation = previous?.announcement.life === announcement.life;
    const clock = isSameIncarnation ? previous!.clock : new ServerClock();
    clock.addSample(announcement.clockMs, receivedAt);
    this.#receivedAt = receivedAt;
    const host = request.socket.remoteAddress ?? this.#options.host;
    this.#announced.next({
      announcement,
      clock,
      host,
      port: announcement.port,
    });
  }

  #checkSilence(): void {
    if (this.current !== undefined && this.silentMs > this.#options.timeoutMs) {
      this.#announced.next(undefined);
    }
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    this.#announced.complete();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

/** Parses a body as JSON; returns undefined when it is malformed or too large. */
async function readJson(request: IncomingMessage): Promise<unknown> {
  let text = "";
  for await (const chunk of request) {
    text += chunk;
    if (text.length > ANNOUNCEMENT_BYTES_MAX) {
      return undefined;
    }
  }
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
