/**
 * Heartbeats between daemons: one task for each peer. They carry what a daemon says of its server, ask
 * voters for support, and show which peers are silent.
 */
import { Subject } from "rxjs";
import {
  type Address,
  type CallPeer,
  type Clock,
  createStop,
  type Offset,
  type Sleep,
} from "@bulrushwood/types";
import type { BallotBox } from "@bulrushwood/lease_votes";
import {
  type Beat,
  type BeatReply,
  beatReplySchema,
  beatSchema,
  MemberMethod,
  type SealReply,
  sealReplySchema,
  sealSchema,
} from "./beat.ts";

/** Time between two heartbeats to one peer, in milliseconds; a quarter of a vote's time. */
export const BEAT_MS = 300;
/** Time between two heartbeats to a peer that has been silent for long, in milliseconds. */
const SLOW_BEAT_MS = 1_500;
/** A peer without a heartbeat for so long counts as silent, in milliseconds; three were lost. */
export const SILENT_MS = 1_000;
/** After this silence a peer is asked less often, in milliseconds. */
const LONG_SILENT_MS = 8_000;
const CALL_TIMEOUT_MS = 900;
/** A peer that knows more records is asked for them after this, in milliseconds; reads are mostly faster. */
const CATCH_UP_MS = 120;

/** What is known of a peer. */
export interface Peer {
  beat: Beat;
  /** When its last heartbeat or answer came, on this process's clock. */
  heardAt: number;
}

/** What heartbeats need. */
export interface HeartbeatsOptions {
  self: Address;
  incarnation: string;
  now: Clock;
  sleep: Sleep;
  call: CallPeer;
  ballotBox: BallotBox;
  /** Makes the heartbeat for one peer. */
  createBeat: (peer: Address) => Beat;
  /** Offsets after the last records that are known here, one for each topic that daemons follow. */
  storeEnds: () => Offset[];
  /** Told of support that a voter gave; `sentAt` is when it was asked. */
  onSupport: (peer: Address, reply: BeatReply, sentAt: number) => void;
  /** Told when a peer has known more records for some time. */
  onBehind: (peer: Address) => void;
}

/** Heartbeats of one daemon. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly #peers = new Map<Address, Peer>();
  readonly #tasks = new Map<Address, Promise<void>>();
  readonly #heardAt = new Map<Address, number>();
  readonly #stop = createStop();
  readonly #startedAt: number;
  #isCatchingUp = false;
  readonly #changes = new Subject<Address>();

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
    this.#startedAt = options.now();
  }

  /** Emits a peer's address after each of its heartbeats. */
  get changes(): Subject<Address> {
    return this.#changes;
  }

  /** What peers said last, by address; also of peers that are silent now. */
  get peers(): ReadonlyMap<Address, Peer> {
    return this.#peers;
  }

  /** Whether a peer has been heard lately. */
  isHeard(peer: Address): boolean {
    const heardAt = this.#heardAt.get(peer) ?? Number.NEGATIVE_INFINITY;
    return this.#options.now() - heardAt < SILENT_MS;
  }

  /** For how long a peer has been silent, counted from the start of this process at most. */
  silentMs(peer: Address): number {
    return this.#options.now() - (this.#heardAt.get(peer) ?? this.#startedAt);
  }

  /** Begins to exchange heartbeats with a peer. */
  add(peer: Address): void {
    if (peer !== this.#options.self && !this.#tasks.has(peer)) {
      this.#tasks.set(peer, this.#run(peer));
    }
  }

  async #run(peer: Address): Promise<void> {
    const { sleep, now } = this.#options;
    while (!this.#stop.signal.aborted) {
      const startedAt = now();
      this.#beat(peer);
      const isLongSilent = this.silentMs(peer) > LONG_SILENT_MS;
      const everyMs = isLongSilent ? SLOW_BEAT_MS : BEAT_MS;
      await sleep(Math.max(10, startedAt + everyMs - now()), this.#stop.signal);
    }
  }

  async #beat(peer: Address): Promise<void> {
    const { call, now, createBeat } = this.#options;
    const sentAt = now();
    const called = await call(peer, MemberMethod.Beat, createBeat(peer), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const reply = beatReplySchema.safeParse(called.isOk ? called.value : undefined);
    if (!reply.success) {
      return;
    }
    this.#heardAt.set(peer, now());
    this.#options.onSupport(peer, reply.data, sentAt);
    this.#compareEnds(peer, reply.data.storeEnds);
  }

  /** Sends a heartbeat to all peers now, for news that should not wait. */
  hurry(): void {
    for (const peer of this.#tasks.keys()) {
      if (this.isHeard(peer)) {
        this.#beat(peer);
      }
    }
  }

  #isBehind(ends: Offset[]): boolean {
    const own = this.#options.storeEnds();
    return ends.some((end, topic) => end > (own[topic] ?? 0));
  }

  async #compareEnds(peer: Address, ends: Offset[]): Promise<void> {
    if (this.#isCatchingUp || !this.#isBehind(ends)) {
      return;
    }
    this.#isCatchingUp = true;
    await this.#options.sleep(CATCH_UP_MS, this.#stop.signal);
    this.#isCatchingUp = false;
    if (this.#isBehind(ends) && !this.#stop.signal.aborted) {
      this.#options.onBehind(peer);
    }
  }

  /** Answers a call that concerns membership; undefined when the method is another's. */
  answer(method: string, payload: unknown): BeatReply | SealReply | undefined {
    switch (method) {
      case MemberMethod.Beat:
        return this.#answerBeat(beatSchema.parse(payload));
      case MemberMethod.Seal:
        return this.#answerSeal(sealSchema.parse(payload).tenure);
      default:
        return undefined;
    }
  }

  #answerBeat(beat: Beat): BeatReply {
    const { incarnation, now, ballotBox, storeEnds } = this.#options;
    this.add(beat.address);
    this.#heardAt.set(beat.address, now());
    this.#peers.set(beat.address, { beat, heardAt: now() });
    this.#compareEnds(beat.address, beat.storeEnds);
    this.#changes.next(beat.address);
    const supported = beat.tenures.filter((tenure) => ballotBox.support(tenure));
    return { incarnation, supported, storeEnds: storeEnds() };
  }

  #answerSeal(tenure: string): SealReply {
    const { incarnation, now, ballotBox } = this.#options;
    const uptimeMs = now() - this.#startedAt;
    return { incarnation, isSealed: ballotBox.seal(tenure), uptimeMs };
  }

  /** Asks a daemon to seal a tenure; this one answers itself. */
  async seal(voter: Address, tenure: string): Promise<SealReply | undefined> {
    const { self, call } = this.#options;
    if (voter === self) {
      return this.#answerSeal(tenure);
    }
    const called = await call(voter, MemberMethod.Seal, { tenure }, { timeoutMs: CALL_TIMEOUT_MS });
    const reply = sealReplySchema.safeParse(called.isOk ? called.value : undefined);
    return reply.success ? reply.data : undefined;
  }

  /** Stops all heartbeats. */
  async close(): Promise<void> {
    this.#stop.abort();
    await Promise.all(this.#tasks.values());
  }
}
