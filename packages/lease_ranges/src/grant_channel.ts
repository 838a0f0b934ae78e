/**
 * Defines how grants reach the backend server of a daemon, and how the server reports the keys that it
 * released. Deployments differ in this; all of them share the decision on what to grant, and on when keys may
 * be transferred.
 */
import type { ServerIdentity } from "@bulrushwood/deployment";
import type { KeySpan } from "@bulrushwood/ledger_store";
import type { Clock, Sleep } from "@bulrushwood/types";

/** Largest amount by which a server's clock may run slower than this process's clock, as a share. */
const MAX_CLOCK_DRIFT = 0.02;
/** Time by which a grant ends before its tenure's support, in milliseconds; covers its delivery to the server. */
export const GRANT_MARGIN_MS = 50;
/** Duration below which a grant is not worth sending, in milliseconds. */
export const GRANT_MIN_MS = 100;

/** A grant for neighbouring keys as this daemon tracks it. Times are by this process's clock. */
export interface Grant extends KeySpan {
  epoch: number;
  /** End of a confirmed grant. */
  until: number;
  /** Whether the server has confirmed a grant. */
  isConfirmed: boolean;
}

/** Keys that a server released, with the handover token for their next owner; null for none. */
export interface Handover extends KeySpan {
  handover: string | null;
}

/** Grants of a daemon, and the callbacks by which its channel reports their outcome. */
export interface GrantContext {
  now: Clock;
  sleep: Sleep;
  /** Returns the grants that the server should have now. */
  grants: () => readonly Grant[];
  /** Returns the incarnation of the server that the grants are for; undefined while there is none. */
  server: () => ServerIdentity | undefined;
  /** Returns the longest grant that the current support allows, in milliseconds counted from `since`. */
  grantableMs: (since: number) => number;
  /** Returns the handover token from the last owner of a grant's keys. */
  handoverOf: (grant: Grant) => string | undefined;
  /** Returns the time at which all grants of an earlier process at this address have certainly ended. */
  earlierGrantsEndBy: () => number;
  /** Whether the process of the server that the last grants were sent to has certainly ended. */
  hasServerEnded: () => Promise<boolean>;
  /** Called when the server has confirmed or renewed a grant, or a report shows that it lacks one. */
  onChanged: () => void;
  /** Called when the server has a newer epoch for some keys of a grant, so that the grant needs one as well. */
  onOutdated: (grant: Grant) => Promise<void>;
  /** Called when an order failed or did not reach the server. */
  onFailed: (order: string, reason: string, span: KeySpan) => void;
}

/** Sends the backend server its grants with their ends, and receives the keys that it released. */
export interface GrantChannel {
  /** Updates the server's grants; called at each change and several times a second. */
  renew(): void;
  /** Revokes keys; resolves once the server can no longer run work for them. */
  release(
    span: KeySpan & { epoch: number },
    options: { isServerLost: boolean },
  ): Promise<Handover[]>;
  /** Stops all pending work of the channel. */
  close(): void;
}

/** Opens a channel for the grants of one daemon. */
export type OpenGrantChannel = (context: GrantContext) => GrantChannel;

/** Time between checks whether a lost server has ended, in milliseconds. */
const END_CHECK_MS = 100;

/** Waits until the grants of a lost server have certainly ended: by their time, or with the server's process. */
export async function awaitGrantsEnd(context: GrantContext, endsBy: number): Promise<void> {
  const { now, sleep, hasServerEnded } = context;
  while (now() < endsBy && !await hasServerEnded()) {
    await sleep(Math.min(END_CHECK_MS, Math.max(0, endsBy - now())));
  }
}

/** Returns the longest duration, in milliseconds, of a grant that has certainly ended at the server by `until`. */
export function grantMsUntil(until: number, now: number): number {
  return (until - now - GRANT_MARGIN_MS) / (1 + MAX_CLOCK_DRIFT);
}

/** Returns the time on this process's clock at which a grant has certainly ended at the server. */
export function endOfGrant(since: number, durationMs: number): number {
  return since + durationMs * (1 + MAX_CLOCK_DRIFT) + GRANT_MARGIN_MS;
}
