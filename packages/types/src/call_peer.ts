/**
 * Type of the function for calls between daemons.
 */
import type { Result } from "true-myth";

/** Calls a method of a peer; fails when the peer does not reply within the timeout. */
export type CallPeer = (
  peer: string,
  method: string,
  payload: unknown,
  options: { timeoutMs: number },
) => Promise<Result<unknown, Error>>;
