/**
 * Until when a daemon may extend its server's grants. A daemon does so while a majority of its voters
 * supports its tenure; whoever wants its keys lets the voters seal the tenure first.
 */
export { BallotBox, type BallotBoxOptions } from "./ballot_box.ts";
export {
  ALL_VOTE_RULES,
  DRIFT_MARGIN_MS,
  SUPPORT_MS,
  suspicionMs,
  VOTER_BLIND_MS,
  type VoteRules,
} from "./rules.ts";
export { SuspensionDetector } from "./suspension.ts";
export { quorumOf, sealsOf, Tenure, type TenureOptions, type Voter } from "./tenure.ts";
