/**
 * Passes records of the store from daemon to daemon, for those that do not reach the store themselves.
 */
import { z } from "zod";
import { itemSchema, type KeyedFollower } from "@bulrushwood/ledger_store";
import type { Address, CallPeer } from "@bulrushwood/types";

/** Name of the call that asks for records. */
export const RECORDS_METHOD = "store.records";
const TIMEOUT_MS = 800;

const offset = z.number().int().nonnegative();
/** Ends of the asking daemon's followers. */
const questionSchema = z.array(offset);
/** Of each follower, the newest records that the asking daemon lacks, and the offset after all of them. */
const recordsSchema = z.array(z.object({
  items: z.array(itemSchema),
  end: offset,
}));

/** What a relay needs. */
export interface RelayOptions {
  /** Followers in the same order in all daemons. */
  followers: KeyedFollower[];
  call: CallPeer;
}

/** Asks peers for records, and answers them. */
export class Relay {
  readonly #options: RelayOptions;
  #isAsking = false;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** Offsets after the last records that are known here. */
  get ends(): number[] {
    return this.#options.followers.map(({ end }) => end);
  }

  /** The newest records that are known here, from the offsets on that a peer names. */
  answer(payload: unknown): z.infer<typeof recordsSchema> {
    const from = questionSchema.parse(payload);
    return this.#options.followers.map(({ items, end }, index) => ({
      items: [...items].filter(({ offset }) => offset >= (from[index] ?? 0)),
      end,
    }));
  }

  /** Takes over what a peer knows; one question at a time. */
  async ask(peer: Address): Promise<void> {
    if (this.#isAsking) {
      return;
    }
    this.#isAsking = true;
    const { call, followers } = this.#options;
    const called = await call(peer, RECORDS_METHOD, this.ends, { timeoutMs: TIMEOUT_MS });
    this.#isAsking = false;
    const records = recordsSchema.safeParse(called.isOk ? called.value : undefined);
    if (records.success) {
      records.data.forEach(({ items, end }, index) => followers[index]?.adopt(items, end));
    }
  }
}
