/**
 * A stand-in for the network between data centres: relays TCP connections between loopback addresses,
 * with delays and cuts for each pair of hosts.
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** One host whose peers reach it through this network. */
export interface NetworkHost {
  host: string;
  /** Port at which the network takes connections for the host. */
  seenPort: number;
  /** Port at which the host itself listens. */
  port: number;
}

/** A connection between two hosts. */
interface Pipe {
  from: string;
  to: string;
  sockets: Socket[];
}

/** A network whose links can be slow or cut. */
export class Network {
  readonly #servers: Server[] = [];
  readonly #pipes = new Set<Pipe>();
  readonly #cuts = new Set<string>();
  /** Delay from one host to another in one direction, in milliseconds. */
  readonly #delayMs: (from: string, to: string) => number;

  private constructor(delayMs: (from: string, to: string) => number) {
    this.#delayMs = delayMs;
  }

  /** Starts a network for some hosts. */
  static async start(
    hosts: NetworkHost[],
    options: { delayMs?: (from: string, to: string) => number } = {},
  ): Promise<Network> {
    const network = new Network(options.delayMs ?? (() => 0));
    await Promise.all(hosts.map((host) => network.#listen(host)));
    return network;
  }

  #listen(host: NetworkHost): Promise<void> {
    const server = createServer((socket) => this.#relay(socket, host));
    this.#servers.push(server);
    return new Promise((resolve) => server.listen(host.seenPort, host.host, resolve));
  }

  #relay(near: Socket, host: NetworkHost): void {
    const from = near.remoteAddress ?? "";
    near.on("error", () => near.destroy());
    if (this.isCut(from, host.host)) {
      this.#ignore(near, { from, to: host.host });
      return;
    }
    const far = connect({ host: host.host, port: host.port, localAddress: from });
    const pipe: Pipe = { from, to: host.host, sockets: [near, far] };
    this.#pipes.add(pipe);
    this.#pass(near, far, this.#delayMs(from, host.host));
    this.#pass(far, near, this.#delayMs(host.host, from));
    near.on("close", () => this.#pipes.delete(pipe));
  }

  /** Takes a connection and says nothing, as a cut network does. */
  #ignore(near: Socket, ends: { from: string; to: string }): void {
    const pipe: Pipe = { ...ends, sockets: [near] };
    this.#pipes.add(pipe);
    near.on("close", () => this.#pipes.delete(pipe));
  }

  #pass(source: Socket, sink: Socket, delayMs: number): void {
    source.setNoDelay(true);
    source.on("error", () => sink.destroy());
    source.on("close", () => sink.destroy());
    source.on("data", (data) => {
      if (this.#isFrozen(source)) {
        return;
      }
      if (delayMs === 0) {
        sink.write(data);
      } else {
        setTimeout(() => sink.writable && sink.write(data), delayMs);
      }
    });
  }

  #isFrozen(socket: Socket): boolean {
    for (const pipe of this.#pipes) {
      if (pipe.sockets.includes(socket)) {
        return this.isCut(pipe.from, pipe.to);
      }
    }
    return false;
  }

  /** Whether two hosts cannot reach each other. */
  isCut(left: string, right: string): boolean {
    return this.#cuts.has(`${left} ${right}`);
  }

  /** Cuts all links between two sets of hosts; what is under way is lost, connections stay silent. */
  cut(left: string[], right: string[]): void {
    for (const from of left) {
      for (const to of right) {
        this.#cuts.add(`${from} ${to}`);
        this.#cuts.add(`${to} ${from}`);
      }
    }
  }

  /** Ends all cuts; connections that lost data are closed. */
  heal(): void {
    const cuts = new Set(this.#cuts);
    this.#cuts.clear();
    for (const pipe of this.#pipes) {
      if (cuts.has(`${pipe.from} ${pipe.to}`)) {
        pipe.sockets.forEach((socket) => socket.destroy());
      }
    }
  }

  /** Ends the network. */
  close(): void {
    for (const server of this.#servers) {
      server.close();
    }
    for (const pipe of this.#pipes) {
      pipe.sockets.forEach((socket) => socket.destroy());
    }
  }
}
