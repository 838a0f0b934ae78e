/**
 * Exchanges records of the store between daemons, for those that cannot reach the store themselves.
 */
import { z } from "zod";
import {
  type KeyedFollower,
  type KeyedRecord,
  keyedRecordSchema,
  type Position,
} from "@bulrushwood/ledger_store";
import type { Address, CallPeer } from "@bulrushwood/types";

/** Method name of the call that requests records. */
export const RECORDS_METHOD = "store.records";
/** Method name of the call that passes on one record. */
export const RECORD_METHOD = "store.record";
const TIMEOUT_MS = 800;
/** Largest number of daemons that a record is passed on to; more learn of it from the store. */
const RECEIVERS_MAX = 60;

const index = z.number().int().nonnegative();
const position = z.number().int().nonnegative();
/** Request payload: ends of the requesting daemon's followers. */
const requestSchema = z.array(position);
/** Reply payload: for each follower, the newest records that the requesting daemon lacks, and its end. */
const recordsSchema = z.array(z.object({
  records: z.array(keyedRecordSchema),
  end: position,
}));

/** Payload of a call that passes on a record: the index of its follower, and the record. */
const recordSchema = z.tuple([index, keyedRecordSchema]);

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

  /** Ends of this daemon's followers. */
  get ends(): Position[] {
    return this.#options.followers.map(({ end }) => end);
  }

  /** Returns the newest records from the positions in a peer's request onwards. */
  handleCall(payload: unknown): z.infer<typeof recordsSchema> {
    const from = requestSchema.parse(payload);
    return this.#options.followers.map(({ items, end }, index) => ({
      records: [...items].filter(({ position }) => position >= (from[index] ?? 0)),
      end,
    }));
  }

  /** Passes a record that is in the store on to the daemons that it concerns most, which need not wait for their next read. */
  pass(record: KeyedRecord, options: { follower: KeyedFollower; receivers: Address[] }): void {
    const { call, followers } = this.#options;
    const { follower, receivers } = options;
    if (receivers.length <= RECEIVERS_MAX) {
      const payload = [followers.indexOf(follower), record];
      receivers.forEach((peer) => call(peer, RECORD_METHOD, payload, { timeoutMs: TIMEOUT_MS }));
    }
  }

  /** Applies a record that a peer passed on. */
  handleRecord(payload: unknown): null {
    const [index, record] = recordSchema.parse(payload);
    this.#options.followers[index]?.apply(record);
    return null;
  }

  /** Requests missing records from a peer and adopts them; one request runs at a time. */
  async requestRecords(peer: Address): Promise<void> {
    if (this.#isRequesting) {
      return;
    }
    this.#isRequesting = true;
    await this.#request(peer, this.ends);
    this.#isRequesting = false;
  }

  /** Requests the records of one follower from a position on from several peers, and adopts them. */
  async requestFrom(
    peers: Address[],
    options: { follower: KeyedFollower; from: Position },
  ): Promise<void> {
    const { follower, from } = options;
    const ends = this.#options.followers.map((each) => each === follower ? from : each.end);
    await Promise.all(peers.map((peer) => this.#request(peer, ends)));
  }

  async #request(peer: Address, from: Position[]): Promise<void> {
    const { call, followers } = this.#options;
    const reply = await call(peer, RECORDS_METHOD, from, { timeoutMs: TIMEOUT_MS });
    const parsed = recordsSchema.safeParse(reply.isOk ? reply.value : undefined);
    if (parsed.success) {
      parsed.data.forEach(({ records, end }, index) => followers[index]?.adopt(records, end));
    }
  }
}
