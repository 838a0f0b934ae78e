/**
 * Safety rules of leases. The lease checker can disable each one to show that it finds the failure that
 * the rule prevents. A daemon always runs with all of them.
 */

/** Safety rules, each enabled or disabled. */
export interface Rules {
  /** Voters remember sealed moves and support no holder that has not released them all. */
  floors: boolean;
  /** A new incarnation supports no candidate until all votes of the one before it have expired. */
  restartWait: boolean;
  /** A voter seals a move only when none of its own running votes covers the moved shards. */
  sealCheck: boolean;
  /** A holder counts a vote for less time than its voter does, so that clock drift cannot let two hold. */
  driftMargin: boolean;
  /** The lease is checked in the last step before work is sent to the backend server. */
  lastStepCheck: boolean;
}

/** All safety rules enabled. */
export const ALL_RULES: Rules = {
  floors: true,
  restartWait: true,
  sealCheck: true,
  driftMargin: true,
  lastStepCheck: true,
};
