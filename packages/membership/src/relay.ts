/**
 * Relays log records between peers, for a daemon that is cut off from the log but not from its peers. A
 * daemon that learns that a peer has applied the log further than itself requests the records between from
 * that peer.
 */
import { z } from "zod";
import type { Address, Offset } from "@bulrushwood/types";
import type { Follower, Ledger } from "@bulrushwood/ledger";
import type { DetectorOptions } from "./detector.ts";

/** Method of the call that requests records. */
export const RECORDS_METHOD = "membership.records";
const RECORDS_PER_CALL = 200;
const CALL_TIMEOUT_MS = 1_000;
/** Time for the records to arrive from the log itself before a peer is asked for them, in milliseconds. */
const CATCH_UP_DELAY_MS = 300;

const recordsRequest = z.object({ from: z.number().int().nonnegative() });
const recordsReply = z.object({
  records: z.array(z.object({ offset: z.number().int(), body: z.string() })),
});

/** Dependencies of a relay. */
export interface RelayOptions {
  ledger: Ledger;
  follower: Follower;
  call: DetectorOptions["call"];
  sleep: DetectorOptions["sleep"];
}

/** Requests records from peers and serves their requests. */
export class Relay {
  readonly #options: RelayOptions;
  #isCatchingUp = false;
  /** Number of records that were received from peers. */
  relayed = 0;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** Starts to catch up from a peer that has applied the log further, unless a catch-up is running. */
  handlePeerApplied(peer: Address, peerOffset: Offset): void {
    if (peerOffset > this.#options.ledger.appliedOffset && !this.#isCatchingUp) {
      this.#isCatchingUp = true;
      this.#catchUpFrom(peer, peerOffset).finally(() => this.#isCatchingUp = false);
    }
  }

  async #catchUpFrom(peer: Address, peerOffset: Offset): Promise<void> {
    const { ledger, follower, call, sleep } = this.#options;
    await sleep(CATCH_UP_DELAY_MS);
    while (ledger.appliedOffset < peerOffset) {
      const before = ledger.appliedOffset;
      const payload = { from: before + 1 };
      const called = await call(peer, RECORDS_METHOD, payload, {
        timeoutMs: CALL_TIMEOUT_MS,
      });
      const reply = recordsReply.safeParse(
        called.isOk ? called.value : undefined,
      );
      if (!reply.success) {
        return;
      }
      follower.applyRelayed(reply.data.records);
      if (ledger.appliedOffset === before) {
        return;
      }
      this.relayed += ledger.appliedOffset - before;
    }
  }

  /** Handles a peer's request for records; returns undefined for any other method. */
  handleCall(method: string, payload: unknown): Promise<unknown> | undefined {
    if (method !== RECORDS_METHOD) {
      return undefined;
    }
    const { from } = recordsRequest.parse(payload);
    const records = this.#options.follower.recentRecordsFrom(from, RECORDS_PER_CALL);
    return Promise.resolve({ records });
  }
}
