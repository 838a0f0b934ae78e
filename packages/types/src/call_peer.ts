/**
 * How daemons call each other.
 */
import type { Result } from "true-myth";

/** Calls a method of a peer; fails when the peer does not answer in time. */
export type CallPeer = (
  peer: string,
  method: string,
  payload: unknown,
  options: { timeoutMs: number },
) => Promise<Result<unknown, Error>>;
