/**
 * Exchanges records of the store between daemons, for those that cannot reach the store themselves.
 */
import { z } from "zod";
import type { Item } from "@bulrushwood/deployment";
import { itemSchema, type KeyedFollower } from "@bulrushwood/ledger_store";
import type { Address, CallPeer } from "@bulrushwood/types";

/** Method name of the call that requests records. */
export const RECORDS_METHOD = "store.records";
/** Method name of the call that passes on one record. */
export const RECORD_METHOD = "store.record";
const TIMEOUT_MS = 800;
/** Largest number of daemons that a record is passed on to; more learn of it from the store. */
const RECEIVERS_MAX = 60;

const offset = z.number().int().nonnegative();
/** Request payload: end offsets of the requesting daemon's followers. */
const requestSchema = z.array(offset);
/** Reply payload: for each follower, the newest records that the requesting daemon lacks, and its end offset. */
const recordsSchema = z.array(z.object({
  items: z.array(itemSchema),
  end: offset,
}));

/** Payload of a call that passes on a record: the index of its follower, and the record. */
const recordSchema = z.tuple([offset, itemSchema]);

export interface RelayOptions {
  /** Followers, in the same order at all daemons. */
  followers: KeyedFollower[];
  call: CallPeer;
}

/** Requests missing records from peers, and replies to their requests. */
export class Relay {
  readonly #options: RelayOptions;
  #isRequesting = false;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** End offsets of this daemon's followers. */
  get ends(): number[] {
    return this.#options.followers.map(({ end }) => end);
  }

  /** Returns the newest records from the offsets in a peer's request onwards. */
  handleCall(payload: unknown): z.infer<typeof recordsSchema> {
    const from = requestSchema.parse(payload);
    return this.#options.followers.map(({ items, end }, index) => ({
      items: [...items].filter(({ offset }) => offset >= (from[index] ?? 0)),
      end,
    }));
  }

  /** Passes a record that is in the store on to the daemons that it concerns most, which need not wait for their next read. */
  pass(item: Item, options: { follower: KeyedFollower; receivers: Address[] }): void {
    const { call, followers } = this.#options;
    const { follower, receivers } = options;
    if (receivers.length <= RECEIVERS_MAX) {
      const payload = [followers.indexOf(follower), item];
      receivers.forEach((peer) => call(peer, RECORD_METHOD, payload, { timeoutMs: TIMEOUT_MS }));
    }
  }

  /** Applies a record that a peer passed on. */
  handleRecord(payload: unknown): null {
    const [index, item] = recordSchema.parse(payload);
    this.#options.followers[index]?.apply(item);
    return null;
  }

  /** Requests missing records from a peer and adopts them; one request runs at a time. */
  async requestRecords(peer: Address): Promise<void> {
    if (this.#isRequesting) {
      return;
    }
    this.#isRequesting = true;
    const { call, followers } = this.#options;
    const reply = await call(peer, RECORDS_METHOD, this.ends, { timeoutMs: TIMEOUT_MS });
    this.#isRequesting = false;
    const records = recordsSchema.safeParse(reply.isOk ? reply.value : undefined);
    if (records.success) {
      records.data.forEach(({ items, end }, index) => followers[index]?.adopt(items, end));
    }
  }
}
