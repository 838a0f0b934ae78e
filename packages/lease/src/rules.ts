/**
 * The rules that the checker may take out to show that it finds what they prevent. A daemon always runs
 * with all of them.
 */

/** Which rules are in force. */
export interface Rules {
  /** Voters remember sealed moves and support no holder that has not released them. */
  floors: boolean;
  /** A new incarnation supports nobody until all support of its predecessor has run out. */
  restartWait: boolean;
  /** A voter answers a seal only when no support of its own covers the moved shards. */
  sealCheck: boolean;
  /** A holder counts its support shorter than voters do. */
  driftMargin: boolean;
  /** The lease is checked as the last step before work is sent to the backend server. */
  lastStepCheck: boolean;
}

/** All rules in force. */
export const ALL_RULES: Rules = {
  floors: true,
  restartWait: true,
  sealCheck: true,
  driftMargin: true,
  lastStepCheck: true,
};
