/**
 * Which daemons there are, what they say of themselves, and whose tenure has ended.
 */
export {
  type Beat,
  type BeatReply,
  MemberMethod,
  type ServerLoadReport,
  type ServerStatus,
} from "./beat.ts";
export { BEAT_MS, Heartbeats, type HeartbeatsOptions, type Peer, SILENT_MS } from "./heartbeats.ts";
export { enterMember, type Member, parseMember, readMember } from "./members.ts";
export { type AskSeal, isSealedBy, sealTenure } from "./sealing.ts";
