/**
 * Heartbeats between daemons. One task chooses the heartbeat peers and sends all heartbeats that are due, so that a
 * daemon wakes up equally often however many peers it has. Heartbeats carry the status of a daemon and its server,
 * ask voters for support, and show which peers are unresponsive. In a large deployment, a daemon gets the status
 * of most peers only through others.
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
  type DaemonStatus,
  type Heartbeat,
  type HeartbeatReply,
  heartbeatReplySchema,
  heartbeatSchema,
  MemberMethod,
  type OwnershipEntry,
  type SealReply,
  sealReplySchema,
  sealSchema,
  type StatusUpdate,
} from "./messages.ts";
import type { Member } from "./members.ts";
import {
  chooseHeartbeatPeers,
  createRank,
  FULL_MESH_LIMIT,
  HeartbeatPeerRole,
} from "./heartbeat_peers.ts";

/** Time between heartbeats to a peer, in milliseconds; a quarter of the time for which a vote lasts. */
export const HEARTBEAT_MS = 300;
/** The same in a large deployment for votes that last long, in milliseconds. */
export const LONG_HEARTBEAT_MS = 600;
/** Time between heartbeats to a peer that has been unresponsive for long, in milliseconds. */
const SLOW_HEARTBEAT_MS = 1_500;
/** Time without a heartbeat after which a peer counts as unresponsive, in milliseconds; three were lost. */
const SILENCE_TIMEOUT_MS = 1_000;
/** The same in a large deployment, where hubs get heartbeats less often and pass status on with a delay. */
const LARGE_SILENCE_TIMEOUT_MS = 1_800;
/** Time between heartbeats to a hub or source in a large deployment, in milliseconds. */
const HUB_HEARTBEAT_MS = 600;
/** Time between heartbeats to a source in another data centre while that in the own one responds, in milliseconds. */
const SPARE_SOURCE_HEARTBEAT_MS = 1_800;
/** Silence from which on a source no longer counts as responding, in milliseconds; two heartbeats were lost. */
const SOURCE_SILENCE_MS = 1_300;
/** Time without any update after which a peer that gets no heartbeats from here counts as unresponsive, in milliseconds. */
const INDIRECT_SILENCE_TIMEOUT_MS = 2_400;
/** Time for which an unresponsive heartbeat peer is left out of the choice, in milliseconds. */
const UNRESPONSIVE_RETRY_MS = 8_000;
/** Silence after which a peer gets heartbeats less often, in milliseconds. */
const LONG_SILENCE_MS = 8_000;
const CALL_TIMEOUT_MS = 900;
/**
 * Delay before a peer that has more records is asked for them, in milliseconds. Reading them from the store
 * is mostly faster.
 */
const CATCH_UP_DELAY_MS = 120;

/** Latest status of a peer. */
export interface Peer {
  status: DaemonStatus;
  /** Entry that the peer asks to be written into the ownership table, or null for none. */
  entry: OwnershipEntry | null;
  /** When its last heartbeat or reply was received, on this process's clock in milliseconds. */
  receivedAt: number;
}

/** Options of `Heartbeats`. */
export interface HeartbeatsOptions {
  self: Address;
  service: string;
  dataCentre?: string;
  incarnation: string;
  now: Clock;
  sleep: Sleep;
  /** Sleeps between rounds; by default as `sleep`. */
  pause?: Sleep;
  call: CallPeer;
  voteManager: VoteManager;
  /** How long a vote lasts that names no time, in milliseconds. */
  supportMs: number;
  /** Returns the time between heartbeats to voters, in milliseconds; by default a quarter of the shortest vote. */
  intervalMs?: () => number;
  /** Returns the services without keys, whose servers every daemon must have the status of. */
  unkeyedServices: () => ReadonlySet<string>;
  /** Returns the daemons that are always heartbeat peers, such as the voters of a running tenure. */
  requiredPeers: () => Address[];
  /** Returns the status of this daemon. */
  status: () => DaemonStatus;
  /** Makes the heartbeat for a peer. */
  createHeartbeat: (peer: Address, role: HeartbeatPeerRole) => Heartbeat;
  /** Returns the offset after the last record that this daemon has, for each topic that daemons follow. */
  storeEnds: () => Offset[];
  /**
   * Called with each reply, for the support that it grants and how long it lasts, in milliseconds; `sentAt` is when the
   * heartbeat was sent.
   */
  onSupport: (
    peer: Address,
    reply: HeartbeatReply,
    options: { sentAt: number; supportMs: number },
  ) => void;
  /** Called when a peer still has more records than this daemon after a delay. */
  onBehind: (peer: Address) => void;
  /** Called when another incarnation has taken a peer's address; all that is known of the earlier one is outdated. */
  onReplaced?: (peer: Address) => void;
}

/** A peer that this daemon sends heartbeats to. */
interface HeartbeatPeer {
  role: HeartbeatPeerRole;
  /** When heartbeats to the peer started, on this process's clock. */
  since: number;
  /** When the last heartbeat was sent, on this process's clock. */
  sentAt: number;
}

/** Sends and receives the heartbeats of one daemon, and tracks the status of its peers. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;
  readonly #peers = new Map<Address, Peer>();
  readonly #members = new Map<Address, Member>();
  readonly #heartbeatPeers = new Map<Address, HeartbeatPeer>();
  /** Incarnation of the daemon that was last heard at each address. */
  readonly #incarnations = new Map<Address, string>();
  readonly #receivedAt = new Map<Address, number>();
  /** When a peer was last heard by this daemon itself. */
  readonly #heardAt = new Map<Address, number>();
  /** When a peer was first found unreachable. */
  readonly #unreachableSince = new Map<Address, number>();
  /** When a heartbeat peer was last marked unresponsive. */
  readonly #unresponsiveAt = new Map<Address, number>();
  readonly #stop = createStop();
  readonly #startedAt: number;
  /** Order of the peers in which this daemon prefers them as voters; each daemon has its own. */
  readonly rank: (peer: Address) => number;
  #isCatchingUp = false;
  #task: Promise<void> | undefined;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
    this.#startedAt = options.now();
    this.rank = createRank(options.self);
  }

  /** The latest status of each peer, by address, including unresponsive ones. */
  get peers(): ReadonlyMap<Address, Peer> {
    return this.#peers;
  }

  /** Whether the deployment is small, so that all daemons exchange heartbeats with each other. */
  get isFullMesh(): boolean {
    return this.#members.size < FULL_MESH_LIMIT;
  }

  /** Whether this daemon sends heartbeats to a peer. */
  isHeartbeatPeer(peer: Address): boolean {
    return this.#heartbeatPeers.has(peer);
  }

  /** Whether a heartbeat, reply or update of a peer was received within the silence timeout. */
  isResponsive(peer: Address): boolean {
    const receivedAt = this.#receivedAt.get(peer) ?? Number.NEGATIVE_INFINITY;
    const isIndirect = !this.isFullMesh && !this.#heartbeatPeers.has(peer);
    const timeoutMs = isIndirect ? INDIRECT_SILENCE_TIMEOUT_MS : this.silenceTimeoutMs;
    return this.#options.now() - receivedAt < timeoutMs;
  }

  /** Addresses of the peers that are responsive. */
  get responsivePeers(): Address[] {
    return [...this.#peers.keys()].filter((peer) => this.isResponsive(peer));
  }

  /** Time without a heartbeat after which a peer counts as unresponsive, in milliseconds. */
  get silenceTimeoutMs(): number {
    return this.isFullMesh ? SILENCE_TIMEOUT_MS : LARGE_SILENCE_TIMEOUT_MS;
  }

  /** Time since a heartbeat of a peer was received, or since the start of this process, in milliseconds. */
  silenceMs(peer: Address): number {
    return this.#options.now() - (this.#receivedAt.get(peer) ?? this.#startedAt);
  }

  /**
   * Time for which a peer has been unreachable, as far as this daemon has observed, in milliseconds. In a large
   * deployment, silence alone does not count: an unresponsive peer is unreachable only since this daemon itself
   * failed to reach it.
   */
  unreachableMs(peer: Address): number {
    if (this.isFullMesh || this.isResponsive(peer)) {
      return this.silenceMs(peer);
    }
    const since = this.#unreachableSince.get(peer);
    return since === undefined ? 0 : this.#options.now() - since;
  }

  /** Records whether an attempt to reach a peer succeeded. */
  recordReachability(peer: Address, isReached: boolean): void {
    if (isReached) {
      this.#unreachableSince.delete(peer);
    } else if (!this.#unreachableSince.has(peer)) {
      this.#unreachableSince.set(peer, this.#options.now());
    }
  }

  /** Adds a member of the deployment, as read from the store. */
  add(member: Member): void {
    if (member.address !== this.#options.self) {
      this.#members.set(member.address, member);
      this.#task ??= this.#run();
    }
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    const { sleep, pause = sleep } = this.#options;
    while (!signal.aborted) {
      await pause(HEARTBEAT_MS, signal);
      if (!signal.aborted) {
        this.#selectPeers();
        this.#sendDue();
      }
    }
  }

  /** Sends the heartbeats whose time has come, up to half a period early. */
  #sendDue(): void {
    const at = this.#options.now() + HEARTBEAT_MS / 2;
    for (const [peer, heartbeatPeer] of this.#heartbeatPeers) {
      if (heartbeatPeer.sentAt + this.#intervalMs(peer, heartbeatPeer) <= at) {
        heartbeatPeer.sentAt = this.#options.now();
        this.#sendHeartbeat(peer, heartbeatPeer.role);
      }
    }
  }

  #selectPeers(): void {
    const { self, service, dataCentre, unkeyedServices, requiredPeers, now } = this.#options;
    for (const [address, { since }] of this.#heartbeatPeers) {
      if (!this.isResponsive(address) && now() - since > SILENCE_TIMEOUT_MS) {
        this.#markUnresponsive(address);
      }
    }
    const chosen = chooseHeartbeatPeers({
      service,
      dataCentre,
      members: [...this.#members.values()],
      unkeyedServices: unkeyedServices(),
      rank: this.rank,
      isUnresponsive: (address) => this.#isMarkedUnresponsive(address),
    });
    for (const address of requiredPeers()) {
      if (address !== self && !chosen.has(address)) {
        chosen.set(address, HeartbeatPeerRole.Voter);
      }
    }
    chosen.forEach((role, address) => this.#start(address, role));
    for (const address of this.#heartbeatPeers.keys()) {
      if (!chosen.has(address)) {
        this.#heartbeatPeers.delete(address);
      }
    }
  }

  /**
   * Marks a peer as unresponsive, again where the last mark has expired. A voter can stay a heartbeat peer
   * while it is unresponsive, and must not be chosen as a hub again meanwhile.
   */
  #markUnresponsive(address: Address): void {
    if (!this.#isMarkedUnresponsive(address)) {
      this.#unresponsiveAt.set(address, this.#options.now());
    }
  }

  #isMarkedUnresponsive(address: Address): boolean {
    const unresponsiveAt = this.#unresponsiveAt.get(address) ?? Number.NEGATIVE_INFINITY;
    return this.#options.now() - unresponsiveAt < UNRESPONSIVE_RETRY_MS;
  }

  #start(peer: Address, role: HeartbeatPeerRole): void {
    const existing = this.#heartbeatPeers.get(peer);
    if (existing !== undefined) {
      existing.role = role;
      return;
    }
    const since = this.#options.now();
    this.#heartbeatPeers.set(peer, { role, since, sentAt: Number.NEGATIVE_INFINITY });
    this.#unresponsiveAt.delete(peer);
  }

  #intervalMs(peer: Address, { role }: HeartbeatPeer): number {
    if (this.silenceMs(peer) > LONG_SILENCE_MS) {
      return SLOW_HEARTBEAT_MS;
    }
    const isInfrequent = role === HeartbeatPeerRole.Hub || role === HeartbeatPeerRole.Source;
    if (isInfrequent && !this.#options.requiredPeers().includes(peer)) {
      return this.#isSpareSource(peer, role) ? SPARE_SOURCE_HEARTBEAT_MS : HUB_HEARTBEAT_MS;
    }
    return this.#options.intervalMs?.() ?? HEARTBEAT_MS;
  }

  /** Whether a source in the own data centre reports the same servers, so that this one is only asked now and then. */
  #isSpareSource(peer: Address, role: HeartbeatPeerRole): boolean {
    const { service, dataCentre } = this.#options;
    const member = this.#members.get(peer);
    const isOther = role === HeartbeatPeerRole.Source && member !== undefined &&
      member.service !== service && member.dataCentre !== dataCentre;
    return isOther && [...this.#heartbeatPeers].some(([address, other]) => {
      const source = this.#members.get(address);
      return other.role === HeartbeatPeerRole.Source && source?.service === member.service &&
        source.dataCentre === dataCentre && this.silenceMs(address) < SOURCE_SILENCE_MS;
    });
  }

  async #sendHeartbeat(peer: Address, role: HeartbeatPeerRole): Promise<void> {
    const { call, now, createHeartbeat } = this.#options;
    const sentAt = now();
    const called = await call(peer, MemberMethod.Heartbeat, createHeartbeat(peer, role), {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const reply = heartbeatReplySchema.safeParse(called.isOk ? called.value : undefined);
    if (!reply.success) {
      return;
    }
    this.#recordReceived(peer, reply.data.incarnation);
    reply.data.news.forEach((update) => this.#applyUpdate(update));
    const { supportMs = this.#options.supportMs } = reply.data;
    this.#options.onSupport(peer, reply.data, { sentAt, supportMs });
    this.#compareStoreEnds(peer, reply.data.storeEnds);
  }

  #recordReceived(peer: Address, incarnation: string): void {
    this.#recordIncarnation(peer, incarnation);
    this.#receivedAt.set(peer, this.#options.now());
    this.#heardAt.set(peer, this.#options.now());
    this.#unresponsiveAt.delete(peer);
    this.#unreachableSince.delete(peer);
  }

  /**
   * Records which incarnation is at an address. Any service may use the address of a lost machine again, so what the
   * incarnation before it reported does not hold for the new one.
   */
  #recordIncarnation(address: Address, incarnation: string): void {
    const previous = this.#incarnations.get(address);
    if (previous === incarnation) {
      return;
    }
    this.#incarnations.set(address, incarnation);
    if (previous !== undefined) {
      this.#peers.delete(address);
      this.#unreachableSince.delete(address);
      this.#options.onReplaced?.(address);
    }
  }

  /** Applies the status of a daemon that a peer passed on, unless something newer is known of its address. */
  #applyUpdate({ ageMs, ...status }: StatusUpdate): void {
    const { self, now } = this.#options;
    const { address, incarnation } = status;
    const lastReceivedAt = now() - ageMs;
    const isCurrent = this.#incarnations.get(address) === incarnation;
    const knownAt = isCurrent
      ? this.#peers.get(address)?.receivedAt
      : this.#receivedAt.get(address);
    if (address === self || lastReceivedAt < (knownAt ?? Number.NEGATIVE_INFINITY)) {
      return;
    }
    this.#recordIncarnation(address, incarnation);
    const entry = this.#peers.get(address)?.entry ?? null;
    this.#peers.set(address, { status, entry, receivedAt: lastReceivedAt });
    this.#receivedAt.set(
      address,
      Math.max(lastReceivedAt, this.#receivedAt.get(address) ?? lastReceivedAt),
    );
  }

  /** Whether a peer has sent heartbeats or replies to this daemon itself within the silence timeout. */
  #isHeardDirectly(peer: Address): boolean {
    const heardAt = this.#heardAt.get(peer) ?? Number.NEGATIVE_INFINITY;
    return this.#options.now() - heardAt < this.silenceTimeoutMs;
  }

  /** Returns what a heartbeat asks for: this daemon's status, or also that of its service's other daemons. */
  #updatesFor(heartbeat: Heartbeat): StatusUpdate[] {
    const { status, service, now } = this.#options;
    const { newsOf = [service] } = heartbeat;
    if (!heartbeat.wantsStatus) {
      return [];
    }
    const own = { ...status(), ageMs: 0 };
    if (!heartbeat.wantsNews) {
      return [own];
    }
    const others = [...this.#peers.values()]
      .filter(({ status: { service: other, address } }) =>
        newsOf.includes(other) && this.#isHeardDirectly(address)
      )
      .map(({ status: { server, ...daemon }, receivedAt }) => ({
        ...daemon,
        server: server && { ...server, load: { ...server.load, pieces: [] } },
        ageMs: Math.max(0, now() - receivedAt),
      }));
    return [own, ...others];
  }

  /** Sends a heartbeat to all responsive heartbeat peers now, for an update that should not wait. */
  sendNow(): void {
    for (const [peer, { role }] of this.#heartbeatPeers) {
      if (this.isResponsive(peer)) {
        this.#sendHeartbeat(peer, role);
      }
    }
  }

  #isBehind(ends: Offset[]): boolean {
    const own = this.#options.storeEnds();
    return ends.some((end, topic) => end > (own[topic] ?? 0));
  }

  async #compareStoreEnds(peer: Address, ends: Offset[]): Promise<void> {
    if (this.#isCatchingUp || !this.#isBehind(ends)) {
      return;
    }
    this.#isCatchingUp = true;
    await this.#options.sleep(CATCH_UP_DELAY_MS, this.#stop.signal);
    this.#isCatchingUp = false;
    if (this.#isBehind(ends) && !this.#stop.signal.aborted) {
      this.#options.onBehind(peer);
    }
  }

  /** Handles a call that concerns membership; returns undefined for any other method. */
  handleCall(method: string, payload: unknown): HeartbeatReply | SealReply | undefined {
    switch (method) {
      case MemberMethod.Heartbeat:
        return this.#replyToHeartbeat(heartbeatSchema.parse(payload));
      case MemberMethod.Seal:
        return this.#replyToSeal(sealSchema.parse(payload).tenure);
      default:
        return undefined;
    }
  }

  #replyToHeartbeat(heartbeat: Heartbeat): HeartbeatReply {
    const { incarnation, now, voteManager, storeEnds } = this.#options;
    this.#recordReceived(heartbeat.address, heartbeat.incarnation);
    if (!this.#members.has(heartbeat.address)) {
      // The store may deliver the sender's record later than its first heartbeat.
      this.add({ ...heartbeat, instance: "" });
    }
    const { entry, ...status } = heartbeat;
    this.#peers.set(heartbeat.address, { status, entry, receivedAt: now() });
    this.#compareStoreEnds(heartbeat.address, heartbeat.storeEnds);
    const { supportMs = this.#options.supportMs } = heartbeat;
    const supported = heartbeat.tenures.filter((tenure) => voteManager.support(tenure, supportMs));
    const news = this.#updatesFor(heartbeat);
    return { incarnation, supported, supportMs, storeEnds: storeEnds(), news };
  }

  #replyToSeal(tenure: string): SealReply {
    const { incarnation, now, voteManager } = this.#options;
    const uptimeMs = now() - this.#startedAt;
    return { incarnation, isSealed: voteManager.seal(tenure), uptimeMs };
  }

  /** Asks a daemon to seal a tenure; handles the request locally where that is this daemon. */
  async seal(voter: Address, tenure: string): Promise<SealReply | undefined> {
    const { self, call } = this.#options;
    if (voter === self) {
      return this.#replyToSeal(tenure);
    }
    const called = await call(voter, MemberMethod.Seal, { tenure }, { timeoutMs: CALL_TIMEOUT_MS });
    const reply = sealReplySchema.safeParse(called.isOk ? called.value : undefined);
    return reply.success ? reply.data : undefined;
  }

  /** Stops all heartbeats. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }
}
