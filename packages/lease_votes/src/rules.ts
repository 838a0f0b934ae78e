/**
 * The rules of tenures, which the checker may take out to show that it finds what they prevent. A daemon
 * always runs with all of them.
 */

/** Which rules are in force. */
export interface VoteRules {
  /** A voter seals a tenure only after its own support for it has run out. */
  sealAfterSupport: boolean;
  /** A voter never supports a tenure again that it has sealed. */
  refuseSealed: boolean;
  /** A candidate counts support from the moment it asked, less the drift margin. */
  countFromSending: boolean;
  /** Support from a voter that started after the tenure does not count. */
  matchIncarnation: boolean;
  /** Time during which the instance was suspended ends all support. */
  noticeSuspension: boolean;
  /** A tenure is entered only once its voters support it for as long as earlier grants run. */
  awaitSupport: boolean;
}

/** All rules in force. */
export const ALL_VOTE_RULES: VoteRules = {
  sealAfterSupport: true,
  refuseSealed: true,
  countFromSending: true,
  matchIncarnation: true,
  noticeSuspension: true,
  awaitSupport: true,
};

/**
 * How long a vote supports a tenure where grants are renewed at any time, in milliseconds; four heartbeats,
 * so that three may be lost.
 */
export const SUPPORT_MS = 1_300;
/** How much shorter a candidate counts support than its voter, in milliseconds; covers timers that fire late. */
export const DRIFT_MARGIN_MS = 150;
/**
 * A voter that has not heard from the store for so long stops voting, in milliseconds. Longer than the
 * store's outages, shorter than the patience of whoever waits for a tenure without voters.
 */
export const VOTER_BLIND_MS = 12_000;
/** Added to the time after which voters have stopped and their support has run out, in milliseconds. */
const SUSPICION_MARGIN_MS = 2_000;

/** After this, a suspected tenure has ended without its voters, in milliseconds. */
export function suspicionMs(supportMs: number): number {
  return VOTER_BLIND_MS + supportMs + SUSPICION_MARGIN_MS;
}
