/**
 * Heartbeats between daemons: one task for each partner. They carry what a daemon says of its server, ask
 * voters for support, and show which peers are silent. In a large deployment most peers are only heard of
 * through others.
 */
import {
  type Address,
  type CallPeer,
  type Clock,
  createStop,
  type Offset,
  type Sleep,
} from "@bulrushwood/types";
import type { VoteManager } from "@bulrushwood/lease_votes";
import {
  type Beat,
  type BeatReply,
  beatReplySchema,
  beatSchema,
  type DaemonStatus,
  type Entry,
  MemberMethod,
  type News,
  type SealReply,
  sealReplySchema,
  sealSchema,
} from "./beat.ts";
import type { Member } from "./members.ts";
import { ALL_PAIRS_MAX, choosePartners, PartnerRole } from "./partners.ts";

/** Time between two heartbeats to one peer, in milliseconds; a quarter of a vote's time. */
export const BEAT_MS = 300;
/** Time between two heartbeats to a peer that has been silent for long, in milliseconds. */
const SLOW_BEAT_MS = 1_500;
/** A peer without a heartbeat for so long counts as silent, in milliseconds; three were lost. */
const SILENT_MS = 1_000;
/** The same in a large deployment, where hubs are told less often, and tell others later. */
const FAR_SILENT_MS = 1_800;
/** Time between two heartbeats to a hub or source in a large deployment, in milliseconds. */
const HUB_BEAT_MS = 500;
/** How often partners are chosen anew, in milliseconds. */
const CHOOSE_MS = 250;
/** A partner that did not answer is tried again after this, in milliseconds. */
const RETRY_SILENT_MS = 8_000;
/** After this silence a peer is asked less often, in milliseconds. */
const LONG_SILENT_MS = 8_000;
const CALL_TIMEOUT_MS = 900;
/** A peer that knows more records is asked for them after this, in milliseconds; reads are mostly faster. */
const CATCH_UP_MS = 120;

/** What is known of a peer. */
export interface Peer {
  beat: DaemonStatus;
  /** Entry that the peer asks to write into the ownership table; null for none. */
  entry: Entry | null;
  /** When its last heartbeat or answer came, on this process's clock. */
  heardAt: number;
}

/** What heartbeats need. */
export interface HeartbeatsOptions {
  self: Address;
  service: string;
  incarnation: string;
  now: Clock;
  sleep: Sleep;
  call: CallPeer;
  ballotBox: VoteManager;
  /** Services whose servers everybody must know. */
  openServices: () => ReadonlySet<string>;
  /** Daemons that are partners whatever else is chosen, as voters of a running tenure are. */
  keptPartners: () => Address[];
  /** What this daemon says of itself. */
  status: () => DaemonStatus;
  /** Makes the heartbeat for one peer. */
  createBeat: (peer: Address, role: PartnerRole) => Beat;
  /** Offsets after the last records that are known here, one for each topic that daemons follow. */
  storeEnds: () => Offset[];
  /** Told of support that a voter gave; `sentAt` is when it was asked. */
  onSupport: (peer: Address, reply: BeatReply, sentAt: number) => void;
  /** Told when a peer has known more records for some time. */
  onBehind: (peer: Address) => void;
}

/** A daemon that heartbeats go to. */
interface Partner {
  role: PartnerRole;
  /** Since when, on this process's clock. */
  since: number;
  stop: AbortController;
  task: Promise<void>;
}

/** Heartbeats of one daemon. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly #peers = new Map<Address, Peer>();
  readonly #members = new Map<Address, Member>();
  readonly #partners = new Map<Address, Partner>();
  readonly #heardAt = new Map<Address, number>();
  /** Peers that could not be reached, and since when. */
  readonly #absentSince = new Map<Address, number>();
  /** Partners that did not answer, and when that was noticed. */
  readonly #silentAt = new Map<Address, number>();
  readonly #stop = createStop();
  readonly #startedAt: number;
  #isCatchingUp = false;
  #chooser: Promise<void> | undefined;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
    this.#startedAt = options.now();
  }

  /** What peers said last, by address; also of peers that are silent now. */
  get peers(): ReadonlyMap<Address, Peer> {
    return this.#peers;
  }

  /** Whether this daemon exchanges heartbeats with all others. */
  get isWithAll(): boolean {
    return this.#members.size < ALL_PAIRS_MAX;
  }

  /** Whether this daemon sends heartbeats to a peer. */
  isPartner(peer: Address): boolean {
    return this.#partners.has(peer);
  }

  /** Whether a peer has been heard, or heard of, lately. */
  isHeard(peer: Address): boolean {
    const heardAt = this.#heardAt.get(peer) ?? Number.NEGATIVE_INFINITY;
    return this.#options.now() - heardAt < this.silentLimitMs;
  }

  /** A peer that was not heard for so long counts as silent, in milliseconds. */
  get silentLimitMs(): number {
    return this.isWithAll ? SILENT_MS : FAR_SILENT_MS;
  }

  /** For how long a peer has been silent, counted from the start of this process at most. */
  silentMs(peer: Address): number {
    return this.#options.now() - (this.#heardAt.get(peer) ?? this.#startedAt);
  }

  /**
   * For how long a peer has been out of reach, as far as this daemon can tell: in a large deployment, only
   * what it tried itself counts against those that it does not hear.
   */
  absentMs(peer: Address): number {
    if (this.isWithAll || this.isHeard(peer)) {
      return this.silentMs(peer);
    }
    const since = this.#absentSince.get(peer);
    return since === undefined ? 0 : this.#options.now() - since;
  }

  /** Notes whether a peer could be reached. */
  noteReach(peer: Address, isReached: boolean): void {
    if (isReached) {
      this.#absentSince.delete(peer);
    } else if (!this.#absentSince.has(peer)) {
      this.#absentSince.set(peer, this.#options.now());
    }
  }

  /** Takes a daemon that the store names. */
  add(member: Member): void {
    if (member.address !== this.#options.self) {
      this.#members.set(member.address, member);
      this.#chooser ??= this.#runChooser();
    }
  }

  async #runChooser(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#options.sleep(CHOOSE_MS, this.#stop.signal);
      this.#choose();
    }
  }

  #choose(): void {
    const { self, service, openServices, keptPartners, now } = this.#options;
    const chosen = choosePartners({
      self,
      service,
      members: [...this.#members.values()],
      openServices: openServices(),
      isSilent: (address) => this.#isNotedSilent(address),
    });
    for (const address of keptPartners()) {
      if (address !== self && !chosen.has(address)) {
        chosen.set(address, PartnerRole.Voter);
      }
    }
    chosen.forEach((role, address) => this.#begin(address, role));
    for (const [address, { stop, since }] of this.#partners) {
      if (!chosen.has(address)) {
        stop.abort();
        this.#partners.delete(address);
      } else if (!this.isHeard(address) && now() - since > SILENT_MS) {
        this.#noteSilent(address);
      }
    }
  }

  /** A voter that is kept though it is silent is noted anew, so that it does not become a hub again. */
  #noteSilent(address: Address): void {
    if (!this.#isNotedSilent(address)) {
      this.#silentAt.set(address, this.#options.now());
    }
  }

  #isNotedSilent(address: Address): boolean {
    const silentAt = this.#silentAt.get(address) ?? Number.NEGATIVE_INFINITY;
    return this.#options.now() - silentAt < RETRY_SILENT_MS;
  }

  #begin(peer: Address, role: PartnerRole): void {
    const known = this.#partners.get(peer);
    if (known !== undefined) {
      known.role = role;
      return;
    }
    const stop = createStop();
    const since = this.#options.now();
    const partner: Partner = { role, since, stop, task: Promise.resolve() };
    this.#partners.set(peer, partner);
    this.#silentAt.delete(peer);
    partner.task = this.#run(peer, partner);
  }

  async #run(peer: Address, partner: Partner): Promise<void> {
    const { sleep, now } = this.#options;
    const { signal } = partner.stop;
    while (!signal.aborted) {
      const startedAt = now();
      this.#beat(peer, partner.role);
      await sleep(Math.max(10, startedAt + this.#everyMs(peer, partner) - now()), signal);
    }
  }

  #everyMs(peer: Address, { role }: Partner): number {
    if (this.silentMs(peer) > LONG_SILENT_MS) {
      return SLOW_BEAT_MS;
    }
    const isRare = role === PartnerRole.Hub || role === PartnerRole.Source;
    return isRare && !this.#options.keptPartners().includes(peer) ? HUB_BEAT_MS : BEAT_MS;
  }

  async #beat(peer: Address, role: PartnerRole): Promise<void> {
    const { call, now, createBeat } = this.#options;
    const sentAt = now();
    const called = await call(peer, MemberMethod.Beat, createBeat(peer, role), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const reply = beatReplySchema.safeParse(called.isOk ? called.value : undefined);
    if (!reply.success) {
      return;
    }
    this.#noteHeard(peer);
    reply.data.news.forEach((news) => this.#learn(news));
    this.#options.onSupport(peer, reply.data, sentAt);
    this.#compareEnds(peer, reply.data.storeEnds);
  }

  #noteHeard(peer: Address): void {
    this.#heardAt.set(peer, this.#options.now());
    this.#silentAt.delete(peer);
    this.#absentSince.delete(peer);
  }

  /** Takes what a peer tells of itself or of another daemon, unless newer things are known. */
  #learn({ ageMs, ...status }: News): void {
    const { self, now } = this.#options;
    const { address } = status;
    const heardAt = now() - ageMs;
    if (address === self || heardAt < (this.#peers.get(address)?.heardAt ?? -Infinity)) {
      return;
    }
    const entry = this.#peers.get(address)?.entry ?? null;
    this.#peers.set(address, { beat: status, entry, heardAt });
    this.#heardAt.set(address, Math.max(heardAt, this.#heardAt.get(address) ?? heardAt));
  }

  /** What this daemon can tell: of itself, and where that is asked for, of its service's other servers. */
  #newsFor(beat: Beat): News[] {
    const { status, service, now } = this.#options;
    if (!beat.wantsStatus) {
      return [];
    }
    const own = { ...status(), ageMs: 0 };
    if (!beat.wantsNews) {
      return [own];
    }
    const others = [...this.#peers.values()]
      .filter((peer) => peer.beat.service === service && this.isHeard(peer.beat.address))
      .map(({ beat: { server, ...daemon }, heardAt }) => ({
        ...daemon,
        server: server && { ...server, load: { ...server.load, pieces: [] } },
        ageMs: Math.max(0, now() - heardAt),
      }));
    return [own, ...others];
  }

  /** Sends a heartbeat to all partners now, for news that should not wait. */
  hurry(): void {
    for (const [peer, { role }] of this.#partners) {
      if (this.isHeard(peer)) {
        this.#beat(peer, role);
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
    this.#noteHeard(beat.address);
    if (!this.#members.has(beat.address)) {
      // The store may name it to this daemon later.
      this.add({ ...beat, instance: "" });
    }
    const { entry, ...status } = beat;
    this.#peers.set(beat.address, { beat: status, entry, heardAt: now() });
    this.#compareEnds(beat.address, beat.storeEnds);
    const supported = beat.tenures.filter((tenure) => ballotBox.support(tenure));
    return { incarnation, supported, storeEnds: storeEnds(), news: this.#newsFor(beat) };
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
    this.#partners.forEach(({ stop }) => stop.abort());
    await Promise.all([...this.#partners.values()].map(({ task }) => task));
    await this.#chooser;
  }
}
