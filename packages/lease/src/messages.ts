/**
 * Messages between daemons about leases, and the schemas that check them.
 */
import { z } from "zod";

const offset = z.number().int().nonnegative();
const moveSet = z.object({
  through: offset,
  beyond: z.array(offset).max(10_000),
});
const sender = z.object({ address: z.string(), incarnation: offset });

const bid = z.object({
  group: offset,
  step: z.union([z.literal(0), z.literal(1)]),
  incarnation: offset,
  released: moveSet,
});

const vote = z.object({
  group: offset,
  granted: z.boolean(),
  /** Step that the voter supports: 0 for the holder, 1 for the successor. */
  step: z.number().int().min(0).max(1),
});

/** Schema of a renewal. */
export const renewalSchema = z.object({
  from: sender,
  folded: offset,
  bids: z.array(bid),
});
/** Schema of the reply to a renewal. */
export const renewalReplySchema = z.object({
  folded: offset,
  votes: z.array(vote),
});
/** Schema of a request to seal a move out of a group. */
export const sealRequestSchema = z.object({ group: offset, move: offset });
/** Schema of the reply to a seal request. */
export const sealReplySchema = z.object({ granted: z.boolean() });
/** Schema of a notification by a holder that it surrenders a group. */
export const surrenderSchema = z.object({ group: offset, incarnation: offset });

/** Request of a candidate for a voter's support in one group. */
export type Bid = z.infer<typeof bid>;
/** Reply of a voter to one bid. */
export type Vote = z.infer<typeof vote>;
/** All bids of one daemon to one peer. */
export type Renewal = z.infer<typeof renewalSchema>;
export type RenewalReply = z.infer<typeof renewalReplySchema>;
export type SealRequest = z.infer<typeof sealRequestSchema>;
export type SealReply = z.infer<typeof sealReplySchema>;
export type Surrender = z.infer<typeof surrenderSchema>;

/** Methods of the calls between daemons about leases. */
export enum LeaseMethod {
  Renew = "lease.renew",
  Seal = "lease.seal",
  Surrender = "lease.surrender",
}
