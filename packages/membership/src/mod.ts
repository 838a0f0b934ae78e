/**
 * Membership of daemons: joining, leaving, detecting lost daemons, and relaying log records between them.
 */
export { Detector, type DetectorOptions } from "./detector.ts";
export { type Identity, Membership, type MembershipOptions } from "./membership.ts";
export { Relay, type RelayOptions } from "./relay.ts";
