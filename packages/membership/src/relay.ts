/**
 * Brings log records from peer to peer, for a daemon that is cut off from the log alone. A daemon that
 * hears that a peer has folded further than itself asks that peer for the records between.
 */
import { z } from "zod";
import type { Address, Offset } from "@bulrushwood/types";
import type { Follower, Ledger } from "@bulrushwood/ledger";
import type { DetectorOptions } from "./detector.ts";

/** Name of the call that asks for records. */
export const RECORDS_METHOD = "membership.records";
const RECORDS_PER_CALL = 200;
const CALL_TIMEOUT_MS = 1_000;
/** How long the log itself may take before a peer is asked, in milliseconds. */
const PATIENCE_MS = 300;

const recordsRequest = z.object({ from: z.number().int().nonnegative() });
const recordsReply = z.object({
  records: z.array(z.object({ offset: z.number().int(), body: z.string() })),
});

/** What a relay needs. */
export interface RelayOptions {
  ledger: Ledger;
  follower: Follower;
  call: DetectorOptions["call"];
  sleep: DetectorOptions["sleep"];
}

/** Asks peers for records and answers them. */
export class Relay {
  readonly #options: RelayOptions;
  #underWay = false;
  /** Records that came by way of a peer. */
  relayed = 0;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** Takes note of how far a peer has folded. */
  notePeerFolded(peer: Address, folded: Offset): void {
    if (folded > this.#options.ledger.folded && !this.#underWay) {
      this.#underWay = true;
      this.#catchUpFrom(peer, folded).finally(() => this.#underWay = false);
    }
  }

  async #catchUpFrom(peer: Address, folded: Offset): Promise<void> {
    const { ledger, follower, call, sleep } = this.#options;
    await sleep(PATIENCE_MS);
    while (ledger.folded < folded) {
      const before = ledger.folded;
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
      follower.takeRelayed(reply.data.records);
      if (ledger.folded === before) {
        return;
      }
      this.relayed += ledger.folded - before;
    }
  }

  /** Answers a peer that asks for records; undefined when the method is another's. */
  answer(method: string, payload: unknown): Promise<unknown> | undefined {
    if (method !== RECORDS_METHOD) {
      return undefined;
    }
    const { from } = recordsRequest.parse(payload);
    const records = this.#options.follower.recentFrom(from, RECORDS_PER_CALL);
    return Promise.resolve({ records });
  }
}
