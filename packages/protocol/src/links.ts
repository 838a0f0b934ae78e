/**
 * All links of one daemon: listens for peers, dials them on demand, and keeps one link for each.
 */
import { randomUUID } from "node:crypto";
import { createServer, type Server } from "node:http";
import { WebSocket, WebSocketServer } from "ws";
import { Result } from "true-myth";
import { type ConnectionLimitOptions, limitConnections, listen } from "@bulrushwood/http_server";
import { type Address, createStop, everyTicks } from "@bulrushwood/types";
import { MESSAGE_BYTES_MAX } from "./codec.ts";
import { LinkError, LinkErrorKind } from "./errors.ts";
import { Link, type LinkHandlers, SILENCE_CHECK_MS } from "./link.ts";

const DIAL_TIMEOUT_MS = 800;
/** Time after a failed dial for which the peer counts as unreachable without a new dial, in milliseconds. */
const REDIAL_DELAY_MS = 100;

/** Options of `Links`. */
export interface LinksOptions {
  /** Address that peers dial. */
  self: Address;
  /** IP address to listen on and to dial from. */
  host: string;
  port: number;
  handlers: LinkHandlers;
  /** Called with each error of the listener, such as a port that is taken. */
  onListenError?: (error: NodeJS.ErrnoException) => void;
  /** Ends the wait for a taken port when it aborts. */
  signal?: AbortSignal;
  /** Limits the connections that are no links yet. */
  connectionLimit?: ConnectionLimitOptions;
}

interface FailedDial {
  at: number;
  error: LinkError;
}

/** The links of one daemon, by peer. */
export class Links {
  readonly #options: LinksOptions;
  /** Identifies these links among all that have had their address. */
  readonly #incarnation = randomUUID();
  readonly #links = new Map<Address, Link>();
  readonly #all = new Set<Link>();
  readonly #dials = new Map<Address, Promise<Result<Link, LinkError>>>();
  readonly #failed = new Map<Address, FailedDial>();
  readonly #http: Server;
  readonly #server: WebSocketServer;
  /** One timer for all links, so that idle links cost no wake-ups; undefined while there are none. */
  /** Ends the checks for silence; undefined while there is no link. */
  #silenceChecks: AbortController | undefined;
  #isClosed = false;
  /** Bytes sent and received on closed links. */
  #closedBytes = 0;

  private constructor(options: LinksOptions) {
    this.#options = options;
    this.#http = createServer((_request, response) => response.writeHead(426).end());
    this.#server = new WebSocketServer({
      server: this.#http,
      maxPayload: MESSAGE_BYTES_MAX,
      perMessageDeflate: false,
    });
    this.#server.on("connection", (socket) => this.#accept(socket));
    this.#server.on("error", () => {});
    if (options.connectionLimit !== undefined) {
      limitConnections(this.#http, options.connectionLimit);
    }
  }

  /** Starts listening for peers. */
  static async listen(options: LinksOptions): Promise<Links> {
    const links = new Links(options);
    const { signal, onListenError: onError } = options;
    await listen(links.#http, options, { signal, onError });
    return links;
  }

  /** Bytes sent and received on all links so far. */
  get bytes(): number {
    let bytes = this.#closedBytes;
    for (const link of this.#all) {
      bytes += link.bytesSent + link.bytesReceived;
    }
    return bytes;
  }

  /** Number of open links, including those that wait for the peer's hello. */
  get count(): number {
    return this.#all.size;
  }

  #accept(socket: WebSocket): void {
    const { self, handlers } = this.#options;
    const incarnation = this.#incarnation;
    const link = this.#track(new Link({ socket, self, incarnation, handlers }));
    link.ready.then((ready) => {
      if (ready.isOk) {
        this.#adopt(link);
      }
    });
  }

  /** Keeps a new link for its peer, unless there is one to the same incarnation; returns the one that is kept. */
  #adopt(link: Link): Link {
    const existing = this.peek(link.peer);
    if (existing !== undefined && existing.peerIncarnation === link.peerIncarnation) {
      return existing;
    }
    this.#links.set(link.peer, link);
    // The incarnation at its other end has lost its address, so nothing more comes from there.
    existing?.close();
    return link;
  }

  /** Tracks a link until it closes; a link that is made while this side closes is closed at once. */
  #track(link: Link): Link {
    if (this.#isClosed) {
      link.close();
      return link;
    }
    this.#all.add(link);
    this.#startSilenceChecks();
    link.closed.then(() => {
      this.#all.delete(link);
      if (this.#all.size === 0) {
        this.#silenceChecks?.abort();
        this.#silenceChecks = undefined;
      }
      this.#closedBytes += link.bytesSent + link.bytesReceived;
      if (this.#links.get(link.peer) === link) {
        this.#links.delete(link.peer);
      }
    });
    return link;
  }

  #startSilenceChecks(): void {
    if (this.#silenceChecks === undefined) {
      const checks = createStop();
      this.#silenceChecks = checks;
      everyTicks(SILENCE_CHECK_MS, () => this.#checkSilence(), checks.signal);
    }
  }

  #checkSilence(): void {
    this.#all.forEach((link) => link.checkSilence());
  }

  /** Lets all peers know this process's clock again, for use when it stood still while the instance was suspended. */
  synchronise(): void {
    this.#all.forEach((link) => link.synchronise());
  }

  /** Returns the open link to a peer, or undefined when there is none. */
  peek(peer: Address): Link | undefined {
    const link = this.#links.get(peer);
    return link?.isOpen ? link : undefined;
  }

  /** Returns the link to a peer; dials the peer when there is none, or the one there is went silent. */
  async get(peer: Address): Promise<Result<Link, LinkError>> {
    const link = this.peek(peer);
    if (link?.isIdle) {
      await link.checkIdle();
    }
    if (link?.isOpen) {
      return Result.ok(link);
    }
    if (this.#isClosed) {
      return Result.err(unreachable(peer, "the links of this daemon are closed"));
    }
    const failed = this.#failed.get(peer);
    if (
      failed !== undefined && performance.now() - failed.at < REDIAL_DELAY_MS
    ) {
      return Result.err(failed.error);
    }
    const pendingDial = this.#dials.get(peer) ?? this.#dial(peer);
    this.#dials.set(peer, pendingDial);
    const dialled = await pendingDial;
    this.#dials.delete(peer);
    return dialled;
  }

  async #dial(peer: Address): Promise<Result<Link, LinkError>> {
    const dialled = await this.#openLink(peer);
    if (dialled.isErr) {
      this.#failed.set(peer, { at: performance.now(), error: dialled.error });
      return dialled;
    }
    this.#failed.delete(peer);
    return dialled.map((link) => this.#adopt(link));
  }

  /** Opens a link, with its listeners attached before the peer's first message can arrive. */
  #openLink(peer: Address): Promise<Result<Link, LinkError>> {
    const { self, host, handlers } = this.#options;
    const incarnation = this.#incarnation;
    let socket: WebSocket;
    try {
      socket = new WebSocket(`ws://${peer}/`, {
        perMessageDeflate: false,
        maxPayload: MESSAGE_BYTES_MAX,
        handshakeTimeout: DIAL_TIMEOUT_MS,
        localAddress: host,
      });
    } catch (error) {
      return Promise.resolve(Result.err(unreachable(peer, (error as Error).message)));
    }
    return new Promise((resolve) => {
      socket.once("error", (error) => resolve(Result.err(unreachable(peer, error.message))));
      socket.once("open", () => {
        const link = this.#track(new Link({ socket, self, incarnation, peer, handlers }));
        link.ready.then((ready) => {
          resolve(ready.mapErr((error) => unreachable(peer, error.message)));
        });
      });
    });
  }

  /** Whether a link has frames that were not handed to the operating system yet. */
  get hasUnsent(): boolean {
    return [...this.#all].some((link) => link.hasUnsent);
  }

  /** Closes all links and stops listening. */
  async close(): Promise<void> {
    this.#isClosed = true;
    for (const link of this.#all) {
      link.close();
    }
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
    await new Promise<void>((resolve) => {
      this.#http.close(() => resolve());
      this.#http.closeAllConnections();
    });
  }
}

function unreachable(peer: Address, cause: string): LinkError {
  return new LinkError(
    LinkErrorKind.Unreachable,
    `The peer ${peer} cannot be reached: ${cause}`,
  );
}
