/**
 * Members of a deployment, the heartbeats between them, and the sealing of tenures.
 */
export {
  type Beat,
  type DaemonStatus,
  type HeartbeatReply,
  MemberMethod,
  type OwnershipEntry,
  type ServerLoadReport,
  type ServerStatus,
} from "./messages.ts";
export { HEARTBEAT_MS, Heartbeats, type HeartbeatsOptions, type Peer } from "./heartbeats.ts";
export { enterMember, type Member, parseMember, readMember } from "./members.ts";
export { ALL_PAIRS_MAX, chooseHeartbeatPeers, PartnerRole, rankOf } from "./heartbeat_peers.ts";
export { type AskSeal, isSealedBy, sealTenure } from "./sealing.ts";
