/**
 * Stand-in for a network path to one server: its open connections can go silent for good, without an end or a reset,
 * while new ones work.
 */
import { connect, createServer, type Server, type Socket } from "node:net";

/** Both ends of one relayed connection. */
interface Pair {
  inner: Socket;
  outer: Socket;
  isSilent: boolean;
}

/** Relays TCP connections to a server. */
export class SilencingProxy {
  readonly #target: { host: string; port: number };
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();

  private constructor(target: { host: string; port: number }) {
    this.#target = target;
    this.#server = createServer((inner) => this.#relay(inner));
  }

  /** Starts to relay connections from one port to another, both on one host. */
  static async listen(host: string, ports: { from: number; to: number }): Promise<SilencingProxy> {
    const proxy = new SilencingProxy({ host, port: ports.to });
    await new Promise<void>((resolve, reject) => {
      proxy.#server.once("error", reject).listen(ports.from, host, resolve);
    });
    return proxy;
  }

  #relay(inner: Socket): void {
    const pair = { inner, outer: connect(this.#target), isSilent: false };
    this.#pairs.add(pair);
    this.#forward(pair, { from: inner, to: pair.outer });
    this.#forward(pair, { from: pair.outer, to: inner });
    inner.once("close", () => this.#pairs.delete(pair));
  }

  #forward(pair: Pair, { from, to }: { from: Socket; to: Socket }): void {
    from.setNoDelay(true);
    from.on("data", (data) => pair.isSilent || to.write(data));
    from.on("end", () => pair.isSilent || to.end());
    from.on("error", () => {});
    from.on("close", () => pair.isSilent || to.destroy());
  }

  /** Lets the connections that are open now carry nothing more, not even their end. */
  silence(): void {
    this.#pairs.forEach((pair) => pair.isSilent = true);
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()));
    this.#pairs.forEach(({ inner, outer }) => {
      inner.destroy();
      outer.destroy();
    });
    await closed;
  }
}
