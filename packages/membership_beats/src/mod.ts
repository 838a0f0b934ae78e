/**
 * Which daemons there are, what they say of themselves, and whose tenure has ended.
 */
export {
  type Beat,
  type BeatReply,
  type DaemonStatus,
  type Entry,
  MemberMethod,
  type ServerLoadReport,
  type ServerStatus,
} from "./beat.ts";
export { BEAT_MS, Heartbeats, type HeartbeatsOptions, type Peer } from "./heartbeats.ts";
export { enterMember, type Member, parseMember, readMember } from "./members.ts";
export { ALL_PAIRS_MAX, choosePartners, PartnerRole, rankOf } from "./partners.ts";
export { type AskSeal, isSealedBy, sealTenure } from "./sealing.ts";
