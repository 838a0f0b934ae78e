/**
 * Finds out which requests a backend server ran when it ended, and shares that with all daemons: at once with those
 * that can be reached, and through the store with those that restart. The daemon beside a server decides whether it
 * has ended: connections that are lost while the server listens, or that a leaving server closes, are no end.
 */
import { Buffer } from "node:buffer";
import type { Subscription } from "rxjs";
import { z } from "zod";
import type { Quarantine } from "@bulrushwood/admission";
import {
  incarnationName,
  isSameIncarnation,
  type KeyedValue,
  type ServerIdentity,
  type Store,
} from "@bulrushwood/deployment";
import { appendUntilAccepted, type KeyedFollower, parseRecord } from "@bulrushwood/ledger_store";
import type { RequestHead } from "@bulrushwood/protocol";
import {
  type Address,
  type CallPeer,
  type Clock,
  createStop,
  type Sleep,
} from "@bulrushwood/types";
import { Event, type EventLog } from "./event_log.ts";
import { fingerprintOf } from "./fingerprint.ts";
import type { ServerWatch } from "./server_watch.ts";

/** Prefix of the records' keys; the daemon's address follows. */
const KEY_PREFIX = "ended/";
/** Ends of its server that a daemon's record contains. */
const ENDS_MAX = 8;
/** Time after the first lost connection in which the others are noticed, in milliseconds. */
const GATHER_MS = 80;
/** Time between checks whether the server has ended, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Connections that are opened to find out whether the server listens; later, only a new incarnation shows its end. */
const PROBES_MAX = 2;
/** Time after which lost connections of a server that still listens are forgotten, in milliseconds. */
const CONFIRM_TIMEOUT_MS = 3_000;
/** Delay in which cleared requests are collected, in milliseconds. */
const CLEAR_DELAY_MS = 50;
const CALL_TIMEOUT_MS = 800;

/** Methods of the calls between daemons about ends of servers. */
enum EndMethod {
  Ended = "requests.ended",
  Cleared = "requests.cleared",
}

const endSchema = z.object({
  server: z.string(),
  /** Unix time of the end on the daemon's clock, in milliseconds. */
  endedAt: z.number(),
  runs: z.array(z.object({ fingerprint: z.string(), isRepeated: z.boolean() })),
});
const endsSchema = z.array(endSchema).max(ENDS_MAX);
const clearedSchema = z.array(z.string());

type EndRecord = z.infer<typeof endSchema>;

export interface ServerEndsOptions {
  self: Address;
  store: Store;
  /** Follower of the topic that contains the records of ends. */
  follower: KeyedFollower;
  watch: ServerWatch;
  quarantine: Quarantine;
  now: Clock;
  /** Returns Unix time in milliseconds. */
  wallClock?: () => number;
  sleep: Sleep;
  /** Whether connections to the server's address are accepted, or at least not refused. */
  isListening: () => Promise<boolean>;
  /** Returns the daemons that can be reached. */
  peers: () => Address[];
  call: CallPeer;
  log: EventLog;
}

/** Requests whose connections to one incarnation were lost. */
interface LostRuns {
  server: ServerIdentity;
  /** When each request was sent, and its path, by fingerprint. */
  runs: Map<string, { startedAt: number; path: string }>;
  since: number;
}

/** Ends of the backend server of one daemon, and what it knows of the others. */
export class ServerEnds {
  readonly #options: ServerEndsOptions;
  readonly #subscription: Subscription;
  readonly #stop = createStop();
  #lost: LostRuns | undefined;
  /** The last ends of this daemon's server, also those before it restarted. */
  #own: EndRecord[] = [];
  #cleared = new Set<string>();
  #isWriting = false;
  #mustWrite = false;

  constructor(options: ServerEndsOptions) {
    this.#options = options;
    this.#subscription = options.follower.changes.subscribe((item) => this.#apply(item));
  }

  /** Time for which a request is quarantined, in milliseconds; 0 if it may run. */
  quarantinedMs(head: RequestHead, body: Buffer | undefined): number {
    const { quarantine } = this.#options;
    return quarantine.isEmpty ? 0 : quarantine.remainingMs(fingerprintOf(head, body));
  }

  /** Records that the connection of a request to a server was lost before the response. */
  recordLost(
    server: ServerIdentity,
    request: { head: RequestHead; body: Buffer | undefined; startedAt: number },
  ): void {
    const { watch, now } = this.#options;
    if (watch.leavingSince !== undefined) {
      return;
    }
    if (this.#lost === undefined || !isSameIncarnation(this.#lost.server, server)) {
      this.#lost = { server, runs: new Map(), since: now() };
      this.#confirm(this.#lost);
    }
    const { head, body, startedAt } = request;
    this.#lost.runs.set(fingerprintOf(head, body), { startedAt, path: head.path });
  }

  /** Records that a server has responded to a request. */
  recordCompleted(head: RequestHead, body: Buffer | undefined): void {
    const { quarantine } = this.#options;
    if (quarantine.isEmpty) {
      return;
    }
    const fingerprint = fingerprintOf(head, body);
    if (quarantine.clear(fingerprint)) {
      this.#dropOwn([fingerprint]);
      this.#shareCleared(fingerprint);
    }
  }

  /** Waits until it is certain whether the server has ended. */
  async #confirm(lost: LostRuns): Promise<void> {
    const { watch, now, sleep, isListening } = this.#options;
    await sleep(GATHER_MS, this.#stop.signal);
    let hasEnded = false;
    let probes = 0;
    while (!hasEnded && !this.#stop.signal.aborted && now() < lost.since + CONFIRM_TIMEOUT_MS) {
      const isCurrent = isSameIncarnation(lost.server, watch.report);
      if (isCurrent && watch.leavingSince !== undefined) {
        break;
      }
      hasEnded = !isCurrent || (probes++ < PROBES_MAX && !(await isListening()));
      if (!hasEnded) {
        await sleep(CHECK_INTERVAL_MS, this.#stop.signal);
      }
    }
    if (this.#lost === lost) {
      this.#lost = undefined;
    }
    if (hasEnded) {
      this.#recordEnd(lost);
    }
  }

  #recordEnd({ server, runs }: LostRuns): void {
    const { quarantine, wallClock = Date.now, peers, log } = this.#options;
    const end: EndRecord = {
      server: incarnationName(server),
      endedAt: wallClock(),
      runs: [...runs].map(([fingerprint, { startedAt }]) => ({
        fingerprint,
        isRepeated: quarantine.isRepeated(fingerprint, startedAt),
      })),
    };
    quarantine.recordEnd(end, { ageMs: 0 });
    const quarantined = [...runs].filter(([fingerprint]) => quarantine.remainingMs(fingerprint) > 0)
      .map(([, { path }]) => path);
    log(Event.ServerEnded, { server: end.server, requests: runs.size, quarantined });
    this.#own = [...this.#own, end].slice(-ENDS_MAX);
    this.#write();
    this.#callAll(peers(), EndMethod.Ended, [end]);
  }

  #shareCleared(fingerprint: string): void {
    const { peers, sleep } = this.#options;
    this.#cleared.add(fingerprint);
    if (this.#cleared.size === 1) {
      sleep(CLEAR_DELAY_MS, this.#stop.signal).then(() => {
        this.#callAll(peers(), EndMethod.Cleared, [...this.#cleared]);
        this.#cleared = new Set();
      });
    }
  }

  #callAll(peers: Address[], method: EndMethod, payload: unknown): void {
    for (const peer of peers) {
      this.#options.call(peer, method, payload, { timeoutMs: CALL_TIMEOUT_MS });
    }
  }

  /** Handles a call of a peer about ends of servers; returns undefined for any other method. */
  handleCall(method: string, payload: unknown): null | undefined {
    switch (method) {
      case EndMethod.Ended:
        endsSchema.parse(payload).forEach((end) =>
          this.#options.quarantine.recordEnd(end, { ageMs: 0 })
        );
        return null;
      case EndMethod.Cleared: {
        const fingerprints = clearedSchema.parse(payload);
        fingerprints.forEach((fingerprint) => this.#options.quarantine.clear(fingerprint));
        this.#dropOwn(fingerprints);
        return null;
      }
      default:
        return undefined;
    }
  }

  /** Applies a record of the store; the daemon's own is from before it restarted. */
  #apply({ key, value }: KeyedValue): void {
    const { self, quarantine, wallClock = Date.now, log } = this.#options;
    if (!key.startsWith(KEY_PREFIX)) {
      return;
    }
    const ends = parseRecord(value, endsSchema);
    if (ends.isErr) {
      log(Event.TableCorrupt, { record: key, reason: ends.error.message });
      return;
    }
    ends.value.forEach((end) => {
      quarantine.recordEnd(end, { ageMs: Math.max(0, wallClock() - end.endedAt) });
    });
    if (key === KEY_PREFIX + self && this.#own.length === 0) {
      this.#own = ends.value;
    }
  }

  /** Removes cleared requests from this daemon's record. */
  #dropOwn(fingerprints: string[]): void {
    const isKept = ({ fingerprint }: { fingerprint: string }) =>
      !fingerprints.includes(fingerprint);
    if (this.#own.every(({ runs }) => runs.every(isKept))) {
      return;
    }
    this.#own = this.#own.map((end) => ({ ...end, runs: end.runs.filter(isKept) }));
    this.#write();
  }

  /** Writes this daemon's record, until the store has the newest one. */
  async #write(): Promise<void> {
    const { self, store, follower, sleep } = this.#options;
    const { signal } = this.#stop;
    this.#mustWrite = true;
    if (this.#isWriting) {
      return;
    }
    this.#isWriting = true;
    const nextItem = () => {
      this.#mustWrite = false;
      return { key: KEY_PREFIX + self, value: Buffer.from(JSON.stringify(this.#own)) };
    };
    while (this.#mustWrite && !signal.aborted) {
      await appendUntilAccepted(store, nextItem, { follower, sleep, signal });
    }
    this.#isWriting = false;
  }

  /** Stops checking the server and writing records. */
  close(): void {
    this.#stop.abort();
    this.#subscription.unsubscribe();
  }
}
