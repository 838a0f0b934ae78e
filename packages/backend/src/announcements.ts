/**
 * Takes the announcements of the backend server beside this daemon, and tells what is known of it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { BehaviorSubject, type Observable } from "rxjs";
import { ANNOUNCE_PATH, type Announcement, announcementSchema } from "./wire.ts";
import { ServerClock } from "./server_clock.ts";

const ANNOUNCEMENT_BYTES_MAX = 4_096;

/** The backend server beside this daemon, as it last announced itself. */
export interface Neighbour {
  announcement: Announcement;
  clock: ServerClock;
  /** IP number and port that it takes requests at. */
  host: string;
  port: number;
}

/** Where to listen for announcements. Times are in milliseconds. */
export interface AnnouncementsOptions {
  host: string;
  port: number;
  /** Silence after which the server counts as gone. */
  timeoutMs: number;
  /** Told of an announcement that cannot be understood. */
  onMalformed: (message: string) => void;
}

/** Listens for the backend server beside this daemon. */
export class Announcements {
  readonly #options: AnnouncementsOptions;
  readonly #server: Server;
  readonly #neighbour = new BehaviorSubject<Neighbour | undefined>(undefined);
  #heardAt = 0;
  readonly #timer: NodeJS.Timeout;

  private constructor(options: AnnouncementsOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#answer(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 30_000;
    this.#timer = setInterval(
      () => this.#checkSilence(),
      options.timeoutMs / 5,
    );
  }

  /** Starts listening. */
  static async listen(options: AnnouncementsOptions): Promise<Announcements> {
    const announcements = new Announcements(options);
    const server = announcements.#server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(options.port, options.host, resolve);
    });
    return announcements;
  }

  /** The server beside this daemon, each time that it announces itself or falls silent. */
  get neighbour(): Observable<Neighbour | undefined> {
    return this.#neighbour;
  }

  /** The server beside this daemon now; undefined while there is none. */
  get current(): Neighbour | undefined {
    return this.#neighbour.value;
  }

  /** How long the server has not been heard, in milliseconds. */
  get silentMs(): number {
    return performance.now() - this.#heardAt;
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method !== "POST" || request.url !== ANNOUNCE_PATH) {
      response.writeHead(404).end(`Use POST ${ANNOUNCE_PATH}`);
      return;
    }
    const parsed = announcementSchema.safeParse(await readDocument(request));
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      const message = `An announcement is malformed: ${issue.path.join(".")}: ${issue.message}`;
      this.#options.onMalformed(message);
      response.writeHead(400).end(message);
      return;
    }
    this.#take(parsed.data, request);
    response.writeHead(204).end();
  }

  #take(announcement: Announcement, request: IncomingMessage): void {
    const arrivedAt = performance.now();
    const earlier = this.current;
    const isSameLife = earlier?.announcement.life === announcement.life;
    const clock = isSameLife ? earlier!.clock : new ServerClock();
    clock.addSample(announcement.clockMs, arrivedAt);
    this.#heardAt = arrivedAt;
    const host = request.socket.remoteAddress ?? this.#options.host;
    this.#neighbour.next({
      announcement,
      clock,
      host,
      port: announcement.port,
    });
  }

  #checkSilence(): void {
    if (this.current !== undefined && this.silentMs > this.#options.timeoutMs) {
      this.#neighbour.next(undefined);
    }
  }

  /** Stops listening. */
  async close(): Promise<void> {
    clearInterval(this.#timer);
    this.#neighbour.complete();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

async function readDocument(request: IncomingMessage): Promise<unknown> {
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
