/**
 * Failure detector for daemons. Each daemon sends heartbeats to the next few in the order of their addresses
 * (its heartbeat peers). It reports one as lost when it has received no heartbeat reply for the silence timeout
 * and the other daemons that watch the same peer have received none for half of it. A wrong report is harmless:
 * the daemon that it names starts again as a new incarnation.
 */
import { Result } from "true-myth";
import { z } from "zod";
import {
  type Address,
  type Clock,
  createStop,
  type Incarnation,
  type Sleep,
} from "@bulrushwood/types";
import { type Entry, type Instance, type Ledger, Presence, RecordKind } from "@bulrushwood/ledger";

/** Number of daemons that watch each daemon. */
const WATCHERS_PER_DAEMON = 3;
/** Method of the call that checks that a peer responds. */
export const HEARTBEAT_METHOD = "membership.heartbeat";
/** Method of the call that asks a watcher how long a daemon has been unresponsive. */
export const SILENCE_METHOD = "membership.silence";

const silenceRequest = z.object({ address: z.string() });
const silenceReply = z.object({ silentMs: z.number() });
const heartbeatReply = z.object({ folded: z.number() });

/** Settings and dependencies of a detector. Times are in milliseconds. */
export interface DetectorOptions {
  ledger: Ledger;
  address: Address;
  now: Clock;
  sleep: Sleep;
  call: (
    peer: Address,
    method: string,
    payload: unknown,
    options: { timeoutMs: number },
  ) => Promise<Result<unknown, Error>>;
  append: (entry: Entry) => void;
  newId: () => string;
  heartbeatMs: number;
  lostAfterMs: number;
  /** Called with the offset up to which a peer has applied the log. */
  onPeerApplied: (peer: Address, appliedOffset: number) => void;
}

/** Sends heartbeats to some peers and reports those that are lost. */
export class Detector {
  readonly #options: DetectorOptions;
  readonly #repliedAt = new Map<Address, number>();
  readonly #reported = new Set<Incarnation>();
  readonly #stop = createStop();
  readonly #startedAt: number;
  #task: Promise<void> | undefined;

  constructor(options: DetectorOptions) {
    this.#options = options;
    this.#startedAt = options.now();
  }

  /** Starts to send heartbeats periodically. */
  start(): void {
    this.#task = this.#run();
  }

  async #run(): Promise<void> {
    const { sleep, heartbeatMs } = this.#options;
    while (!this.#stop.signal.aborted) {
      await Promise.all(
        this.heartbeatPeers().map((instance) => this.#sendHeartbeat(instance)),
      );
      await sleep(heartbeatMs, this.#stop.signal);
    }
  }

  #activeInstances(): Instance[] {
    const { ledger } = this.#options;
    const active = [...ledger.instances.values()].filter((instance) =>
      instance.presence === Presence.Present ||
      instance.presence === Presence.Leaving
    );
    return active.sort((left, right) => left.address < right.address ? -1 : 1);
  }

  /** Returns the heartbeat peers of this daemon: the next few in the ring of addresses. */
  heartbeatPeers(): Instance[] {
    return this.#peersInRing(this.#options.address, 1);
  }

  #peersInRing(address: Address, direction: 1 | -1): Instance[] {
    const active = this.#activeInstances();
    const ownIndex = active.findIndex((instance) => instance.address === address);
    if (ownIndex < 0) {
      return [];
    }
    const count = Math.min(WATCHERS_PER_DAEMON, active.length - 1);
    const steps = Array.from(
      { length: count },
      (_, index) => (index + 1) * direction,
    );
    return steps.map((step) => active.at((ownIndex + step) % active.length)!);
  }

  async #sendHeartbeat(instance: Instance): Promise<void> {
    const { call, heartbeatMs, lostAfterMs, now, onPeerApplied } = this.#options;
    const { address } = instance;
    const called = await call(address, HEARTBEAT_METHOD, {}, {
      timeoutMs: heartbeatMs,
    });
    const reply = heartbeatReply.safeParse(
      called.isOk ? called.value : undefined,
    );
    if (reply.success) {
      this.#repliedAt.set(address, now());
      onPeerApplied(address, reply.data.folded);
      return;
    }
    if (
      this.silenceMsOf(address) > lostAfterMs && await this.#otherWatchersAgree(address)
    ) {
      this.#reportLost(instance);
    }
  }

  /** Whether any heartbeat peer has replied recently; true when there is no heartbeat peer. */
  get receivesHeartbeats(): boolean {
    const peers = this.heartbeatPeers();
    const recentMs = this.#options.heartbeatMs * 3;
    return peers.length === 0 ||
      peers.some((instance) => this.silenceMsOf(instance.address) < recentMs);
  }

  /** Returns the time since a peer last replied to a heartbeat, in milliseconds. */
  silenceMsOf(address: Address): number {
    return this.#options.now() -
      (this.#repliedAt.get(address) ?? this.#startedAt);
  }

  /**
   * Asks the other watchers of a daemon whether it is unresponsive for them too. One of them that still
   * receives its replies is enough to keep it from being reported.
   */
  async #otherWatchersAgree(address: Address): Promise<boolean> {
    const { call, heartbeatMs, lostAfterMs } = this.#options;
    const watchers = this.#peersInRing(address, -1).filter((watcher) =>
      watcher.address !== this.#options.address
    );
    const replies = await Promise.all(
      watchers.map((watcher) =>
        call(watcher.address, SILENCE_METHOD, { address }, {
          timeoutMs: heartbeatMs,
        })
      ),
    );
    const silences = replies.map((reply) =>
      silenceReply.safeParse(reply.isOk ? reply.value : null)
    );
    const received = silences.filter((silence) => silence.success);
    const agreeing = received.filter((silence) => silence.data.silentMs > lostAfterMs / 2);
    return agreeing.length === received.length &&
      (received.length > 0 || watchers.length === 0);
  }

  #reportLost(instance: Instance): void {
    if (this.#reported.has(instance.incarnation)) {
      return;
    }
    this.#reported.add(instance.incarnation);
    const { address, incarnation } = instance;
    this.#options.append({
      id: this.#options.newId(),
      kind: RecordKind.InstanceLost,
      address,
      incarnation,
      by: this.#options.address,
      declared: false,
    });
  }

  /** Handles a call of a peer's detector; returns undefined for any other method. */
  handleCall(method: string, payload: unknown): Promise<unknown> | undefined {
    if (method === HEARTBEAT_METHOD) {
      return Promise.resolve({ folded: this.#options.ledger.appliedOffset });
    }
    if (method === SILENCE_METHOD) {
      const { address } = silenceRequest.parse(payload);
      return Promise.resolve({ silentMs: this.silenceMsOf(address) });
    }
    return undefined;
  }

  /** Stops sending heartbeats. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }
}
