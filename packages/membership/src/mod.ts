/**
 * Who takes part: joining, leaving, finding lost daemons, and relaying the log's records.
 */
export { Detector, type DetectorOptions } from "./detector.ts";
export { type Identity, Membership, type MembershipOptions } from "./membership.ts";
export { Relay, type RelayOptions } from "./relay.ts";
