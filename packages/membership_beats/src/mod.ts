/**
 * Members of a deployment, the heartbeats between them, and the sealing of tenures.
 */
export {
  type DaemonStatus,
  type Heartbeat,
  type HeartbeatReply,
  MemberMethod,
  type OwnershipEntry,
  type ServerLoadReport,
  type ServerStatus,
  type StatusUpdate,
} from "./messages.ts";
export {
  HEARTBEAT_MS,
  Heartbeats,
  type HeartbeatsOptions,
  LONG_HEARTBEAT_MS,
  type Peer,
} from "./heartbeats.ts";
export { addMember, type Member, parseMember, readMember } from "./members.ts";
export {
  chooseHeartbeatPeers,
  createRank,
  FULL_MESH_LIMIT,
  HeartbeatPeerRole,
} from "./heartbeat_peers.ts";
export { type AskSeal, isSealedBy, sealTenure } from "./sealing.ts";
