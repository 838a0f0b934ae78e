/**
 * Passes records of the store from daemon to daemon, for those that do not reach the store themselves.
 */
import { Buffer } from "node:buffer";
import { z } from "zod";
import type { KeyedFollower } from "@bulrushwood/ledger_store";
import type { Address, CallPeer } from "@bulrushwood/types";

/** Name of the call that asks for records. */
export const RECORDS_METHOD = "store.records";
const TIMEOUT_MS = 800;

const recordsSchema = z.array(z.object({
  follower: z.number().int().nonnegative(),
  key: z.string(),
  value: z.custom<Buffer>((value) => Buffer.isBuffer(value)),
  offset: z.number().int().nonnegative(),
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

  /** All newest records that are known here. */
  answer(): z.infer<typeof recordsSchema> {
    return this.#options.followers.flatMap((follower, index) =>
      [...follower.items].map(({ key, value, offset }) => ({ follower: index, key, value, offset }))
    );
  }

  /** Takes over what a peer knows; one question at a time. */
  async ask(peer: Address): Promise<void> {
    if (this.#isAsking) {
      return;
    }
    this.#isAsking = true;
    const { call, followers } = this.#options;
    const called = await call(peer, RECORDS_METHOD, null, { timeoutMs: TIMEOUT_MS });
    this.#isAsking = false;
    const records = recordsSchema.safeParse(called.isOk ? called.value : undefined);
    if (records.success) {
      records.data.forEach(({ follower, ...item }) => followers[follower]?.apply(item));
    }
  }
}
