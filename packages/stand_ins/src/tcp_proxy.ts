/**
 * Stand-in for a network path to one server: relays TCP connections, which it can delay, reset, cut in one direction, or
 * let go silent without an end or a reset. No byte is lost on a connection that carries later ones.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Endpoint } from "@bulrushwood/deployment";
import { observeEnd, resetOf } from "@bulrushwood/http_client";
import { sleep } from "@bulrushwood/types";

/** Direction of a path. */
export enum Direction {
  ToServer = "to-server",
  FromServer = "from-server",
}

/** Both ends of one relayed connection, and the directions in which it carries nothing more. */
interface Pair {
  inner: Socket;
  outer: Socket;
  silent: Set<Direction>;
}

/** Relays TCP connections to a server. */
export class TcpProxy {
  readonly #target: Endpoint;
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  /** Directions in which new connections carry nothing. */
  readonly #cuts = new Set<Direction>();
  #delayMs = 0;

  private constructor(target: Endpoint) {
    this.#target = target;
    this.#server = createServer((inner) => this.#relay(inner));
  }

  /** Starts to relay connections from one endpoint to another. */
  static async listen(from: Endpoint, to: Endpoint): Promise<TcpProxy> {
    const proxy = new TcpProxy(to);
    await new Promise<void>((resolve, reject) => {
      proxy.#server.once("error", reject).listen(from.port, from.host, resolve);
    });
    return proxy;
  }

  #relay(inner: Socket): void {
    const pair = { inner, outer: connect(this.#target), silent: new Set(this.#cuts) };
    this.#pairs.add(pair);
    this.#forward(pair, Direction.ToServer, { from: inner, to: pair.outer });
    this.#forward(pair, Direction.FromServer, { from: pair.outer, to: inner });
    inner.once("close", () => this.#pairs.delete(pair));
    pair.outer.once("error", () => pair.silent.size > 0 || inner.resetAndDestroy());
  }

  #forward(pair: Pair, direction: Direction, { from, to }: { from: Socket; to: Socket }): void {
    let last = Promise.resolve();
    const pass = (act: () => unknown) => {
      const delayMs = this.#delayMs;
      const carry = async () => {
        if (!pair.silent.has(direction)) {
          await act();
        }
      };
      last = last.then(() => delayMs > 0 ? sleep(delayMs) : undefined).then(carry);
    };
    from.setNoDelay(true);
    from.on("data", (data) => pass(() => to.writable && to.write(data)));
    observeEnd(from);
    from.on("end", () =>
      pass(async () => {
        const reset = await resetOf(from);
        if (reset === undefined) {
          to.end();
        } else {
          to.resetAndDestroy();
        }
      }));
    from.on("error", () => {});
    from.on("close", () => pass(() => to.destroy()));
  }

  /** Lets the connections that are open now carry nothing more, not even their end. */
  silence(): void {
    this.#pairs.forEach(({ silent }) => {
      Object.values(Direction).forEach((direction) => silent.add(direction));
    });
  }

  /** Lets open and new connections carry nothing in one direction; the returned function ends this, and resets them. */
  cut(direction: Direction): () => void {
    this.#cuts.add(direction);
    this.#pairs.forEach(({ silent }) => silent.add(direction));
    return () => {
      this.#cuts.delete(direction);
      this.#pairs.forEach((pair) => pair.silent.has(direction) && resetPair(pair));
    };
  }

  /** Resets all open connections. */
  reset(): void {
    this.#pairs.forEach(resetPair);
  }

  /** Delays whatever passes from now on, in milliseconds. */
  delay(ms: number): void {
    this.#delayMs = ms;
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

function resetPair({ inner, outer }: Pair): void {
  inner.resetAndDestroy();
  outer.resetAndDestroy();
}
