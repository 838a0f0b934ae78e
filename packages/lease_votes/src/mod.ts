/**
 * Decides how long a daemon may extend its server's grants. A daemon does so while a majority of its voters
 * supports its tenure; before another daemon takes its keys, the voters must seal the tenure.
 */
export { VoteManager, type VoteManagerOptions } from "./vote_manager.ts";
export {
  ALL_VOTE_RULES,
  DRIFT_MARGIN_MS,
  SUPPORT_MS,
  suspicionTimeoutMs,
  VOTER_STORE_TIMEOUT_MS,
  type VoteRules,
} from "./rules.ts";
export { SuspensionDetector } from "./suspension.ts";
export { quorumOf, sealQuorumOf, Tenure, type TenureOptions, type Voter } from "./tenure.ts";
