/**
 * Leases on groups of shards: which daemon may serve which shard until when, by votes, succession,
 * surrender and seals.
 */
export { Leases, type LeasesOptions, type Permit, ServeState } from "./leases.ts";
export { LeaseMethod } from "./messages.ts";
export { ALL_RULES, type Rules } from "./rules.ts";
export { Tenure } from "./tenure.ts";
export { Voter, type VoterOptions } from "./voter.ts";
