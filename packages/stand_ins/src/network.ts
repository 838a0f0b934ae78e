/**
 * Stand-in for the network between data centres: relays TCP connections between loopback addresses, with a delay for
 * each direction of a pair of hosts, and with links that tests can cut.
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** Host that other hosts reach through this network. */
export interface NetworkHost {
  host: string;
  /** Port on which the network accepts connections for the host. */
  proxyPort: number;
  /** Port on which the host itself listens. */
  port: number;
}

/** Connection between two hosts, with the sockets of both legs. */
interface Connection {
  from: string;
  to: string;
  sockets: Socket[];
}

/** Network whose links can be slow or cut. */
export class Network {
  readonly #servers: Server[] = [];
  readonly #connections = new Set<Connection>();
  readonly #cuts = new Set<string>();
  /** Returns the delay from one host to another, in milliseconds; each direction has its own. */
  readonly #delayMs: (from: string, to: string) => number;

  private constructor(delayMs: (from: string, to: string) => number) {
    this.#delayMs = delayMs;
  }

  /** Starts to accept connections for the hosts. */
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
    return new Promise((resolve) => server.listen(host.proxyPort, host.host, resolve));
  }

  #relay(inbound: Socket, host: NetworkHost): void {
    const from = inbound.remoteAddress ?? "";
    inbound.on("error", () => inbound.destroy());
    if (this.isCut(from, host.host)) {
      this.#blackhole(inbound, { from, to: host.host });
      return;
    }
    const outbound = connect({ host: host.host, port: host.port, localAddress: from });
    const connection: Connection = { from, to: host.host, sockets: [inbound, outbound] };
    this.#connections.add(connection);
    this.#forward(inbound, outbound, this.#delayMs(from, host.host));
    this.#forward(outbound, inbound, this.#delayMs(host.host, from));
    inbound.on("close", () => this.#connections.delete(connection));
  }

  /** Accepts a connection and never sends anything, as a cut link looks to the host that connects. */
  #blackhole(inbound: Socket, hosts: { from: string; to: string }): void {
    const connection: Connection = { ...hosts, sockets: [inbound] };
    this.#connections.add(connection);
    inbound.on("close", () => this.#connections.delete(connection));
  }

  #forward(source: Socket, target: Socket, delayMs: number): void {
    source.setNoDelay(true);
    source.on("error", () => target.destroy());
    source.on("close", () => target.destroy());
    source.on("data", (data) => {
      if (this.#isSocketCut(source)) {
        return;
      }
      if (delayMs === 0) {
        target.write(data);
      } else {
        setTimeout(() => target.writable && target.write(data), delayMs);
      }
    });
  }

  #isSocketCut(socket: Socket): boolean {
    for (const connection of this.#connections) {
      if (connection.sockets.includes(socket)) {
        return this.isCut(connection.from, connection.to);
      }
    }
    return false;
  }

  /** Whether the link between two hosts is cut. */
  isCut(left: string, right: string): boolean {
    return this.#cuts.has(`${left} ${right}`);
  }

  /** Cuts all links between two sets of hosts: connections stay open, and what they receive is dropped. */
  cut(left: string[], right: string[]): void {
    for (const from of left) {
      for (const to of right) {
        this.#cuts.add(`${from} ${to}`);
        this.#cuts.add(`${to} ${from}`);
      }
    }
  }

  /** Restores all cut links. Their connections are closed, since they may have lost data. */
  heal(): void {
    const cuts = new Set(this.#cuts);
    this.#cuts.clear();
    for (const connection of this.#connections) {
      if (cuts.has(`${connection.from} ${connection.to}`)) {
        connection.sockets.forEach((socket) => socket.destroy());
      }
    }
  }

  /** Stops accepting connections and closes the open ones. */
  close(): void {
    for (const server of this.#servers) {
      server.close();
    }
    for (const connection of this.#connections) {
      connection.sockets.forEach((socket) => socket.destroy());
    }
  }
}
