/**
 * Safety rules of tenures. The checker turns single rules off to show that it finds the faults that they
 * prevent; a daemon always runs with all of them.
 */

/** Switches for the single rules. */
export interface VoteRules {
  /** A voter seals a tenure only after its own support for it has run out. */
  sealAfterSupport: boolean;
  /** A voter never supports a tenure that it has sealed. */
  rejectSealed: boolean;
  /** A candidate counts support from when it sent the request, less the drift margin. */
  countFromSending: boolean;
  /** Support from a voter that started after the tenure does not count. */
  matchIncarnation: boolean;
  /** A suspension of the instance ends all support. */
  noticeSuspension: boolean;
  /** A shorter vote does not end a longer one before its time. */
  keepLongerVotes: boolean;
  /** A tenure is entered only once its voters support it for as long as earlier grants run. */
  awaitSupport: boolean;
}

/** Enables all rules, as in production. */
export const ALL_VOTE_RULES: VoteRules = {
  sealAfterSupport: true,
  rejectSealed: true,
  countFromSending: true,
  matchIncarnation: true,
  noticeSuspension: true,
  keepLongerVotes: true,
  awaitSupport: true,
};

/**
 * Shortest time that a vote supports a tenure where grants can be renewed at any time, in milliseconds; four
 * heartbeats, so that three may be lost.
 */
export const SUPPORT_MS = 1_300;
/** Time by which a candidate counts support shorter than its voter, in milliseconds; covers late timers. */
export const DRIFT_MARGIN_MS = 150;
/**
 * Time without a response from the store after which a voter stops voting, in milliseconds. Longer than
 * the store's outages, shorter than the timeout for the end of a tenure whose voters do not reply.
 */
export const VOTER_STORE_TIMEOUT_MS = 12_000;
/** Margin after the time at which voters have stopped and their support has run out, in milliseconds. */
const SUSPICION_MARGIN_MS = 2_000;

/**
 * Returns the time after which a suspected tenure has ended without seals of its voters, in milliseconds;
 * `supportMsMax` is how long its votes last at most.
 */
export function suspicionTimeoutMs(supportMsMax: number): number {
  return VOTER_STORE_TIMEOUT_MS + supportMsMax + SUSPICION_MARGIN_MS;
}
