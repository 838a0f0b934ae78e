/**
 * Shows whether new callers reach this daemon: connects to its own listener for callers, as they do. Readiness checks have a
 * listener of their own, which is reached even while the other one accepts connections so late that callers have left.
 */
import { connect, type Socket } from "node:net";
import type { Endpoint } from "@bulrushwood/deployment";
import { type Clock, createStop, everyTicks } from "@bulrushwood/types";

/** Time between probes, in milliseconds. */
const INTERVAL_MS = 500;
/** Time after which callers count as not accepted, in milliseconds; most have left by then. */
const TIMEOUT_MS = 700;

export interface AcceptanceProbeOptions {
  /** Address of the listener for callers. */
  endpoint: Endpoint;
  now: Clock;
}

/** Probes of the listener for callers. */
export class AcceptanceProbe {
  readonly #options: AcceptanceProbeOptions;
  readonly #stop = createStop();
  #socket: Socket | undefined;
  /** Since when a probe waits to be accepted; undefined while none waits. */
  #waitsSince: number | undefined;

  constructor(options: AcceptanceProbeOptions) {
    this.#options = options;
  }

  /** Starts to probe periodically. */
  start(): void {
    everyTicks(INTERVAL_MS, () => this.#probe(), this.#stop.signal);
  }

  /** Whether new callers are accepted in time. */
  get isAccepted(): boolean {
    return this.#waitsSince === undefined ||
      this.#options.now() - this.#waitsSince < TIMEOUT_MS;
  }

  /** Records a connection that the listener accepted and keeps; returns whether it is a probe, which ends then. */
  recordAccepted(
    { remoteAddress, remotePort }: Pick<Socket, "remoteAddress" | "remotePort">,
  ): boolean {
    // A connection to an address of this machine may come from another one of its addresses.
    const isProbe = remotePort !== undefined && remotePort === this.#socket?.localPort &&
      remoteAddress === this.#socket.localAddress;
    if (isProbe) {
      this.#waitsSince = undefined;
      this.#socket?.destroy();
      this.#socket = undefined;
    }
    return isProbe;
  }

  /** Opens a connection unless one waits; a probe whose connection was closed goes on with a new one. */
  #probe(): void {
    const { endpoint, now } = this.#options;
    if (this.#socket !== undefined) {
      return;
    }
    this.#waitsSince ??= now();
    const socket = connect(endpoint);
    this.#socket = socket;
    socket.on("error", () => {}).once("close", () => {
      if (this.#socket === socket) {
        this.#socket = undefined;
      }
    });
  }

  /** Ends all probes. */
  close(): void {
    this.#stop.abort();
    this.#socket?.destroy();
  }
}
