/**
 * How grants reach the backend server beside a daemon, and how the server tells what it let go. Deployments
 * differ in this; what is granted, and when it may pass on, is decided in one place for all of them.
 */
import type { KeySpan } from "@bulrushwood/ledger_store";
import type { Clock, Sleep } from "@bulrushwood/types";

/** A server's clock may run this much slower than ours, as a share. */
const CLOCK_SLOWNESS = 0.02;
/** A grant ends so long before the support that it rests on, in milliseconds; covers its way to the server. */
export const GRANT_MARGIN_MS = 50;
/** A grant shorter than this is not worth sending, in milliseconds. */
export const GRANT_MIN_MS = 100;

/** A grant for neighbouring keys, as far as this daemon knows. Times are by this process's clock. */
export interface Grant extends KeySpan {
  epoch: number;
  /** When a confirmed grant ends. */
  until: number;
  /** Whether the server has confirmed a grant. */
  isConfirmed: boolean;
}

/** Keys that a server let go, with what it hands over to their next owner; null for nothing. */
export interface Handover extends KeySpan {
  handover: string | null;
}

/** What a channel is told about the grants of its daemon. */
export interface GrantContext {
  now: Clock;
  sleep: Sleep;
  /** Grants that the server should have now. */
  grants: () => readonly Grant[];
  /** The longest grant that the present support allows, in milliseconds counted from `since`. */
  grantableMs: (since: number) => number;
  /** What the last owner of a grant's keys handed over. */
  handoverOf: (grant: Grant) => string | undefined;
  /** When grants that an earlier process at this address gave have ended for certain. */
  earlierEndBy: number;
  /** Told when the server confirmed a grant, or turned out to lack one. */
  onChanged: () => void;
  /** Told when the server knows a newer epoch for some keys of a grant. */
  onOutdated: (grant: Grant) => Promise<void>;
  /** Told of what did not reach the server. */
  onFailed: (order: string, reason: string, span: KeySpan) => void;
}

/** Tells the server beside a daemon what it may hold until when, and learns what it let go. */
export interface GrantChannel {
  /** Brings the server's grants up to date; called at each change and several times a second. */
  renew(): void;
  /** Takes keys back; resolves once the server cannot run work for them any more. */
  release(
    span: KeySpan & { epoch: number },
    options: { isServerGone: boolean },
  ): Promise<Handover[]>;
  /** Stops what is under way. */
  close(): void;
}

/** Opens a channel for the grants of one daemon. */
export type OpenGrantChannel = (context: GrantContext) => GrantChannel;

/** The longest grant, in milliseconds, that ends before a time on this process's clock at any server. */
export function grantMsUntil(until: number, now: number): number {
  return (until - now - GRANT_MARGIN_MS) / (1 + CLOCK_SLOWNESS);
}

/** When a grant has ended at the server for certain, by this process's clock. */
export function endOfGrant(since: number, durationMs: number): number {
  return since + durationMs * (1 + CLOCK_SLOWNESS) + GRANT_MARGIN_MS;
}
