/**
 * The frames that daemons exchange. One `ws` message carries an array of them.
 */
import type { Buffer } from "node:buffer";
import type { Address, Group, Incarnation, Offset, Outcome } from "@bulrushwood/types";

/** Version of this protocol; daemons of different versions do not link. */
export const PROTOCOL_VERSION = 1;

/** The kinds of frame. */
export enum FrameKind {
  Hello = 1,
  Ping = 2,
  Call = 3,
  Reply = 4,
  Request = 5,
  Response = 6,
  Body = 7,
  Credit = 8,
  Cancel = 9,
}

/** First frame on a link, from both sides. */
export interface Hello {
  kind: FrameKind.Hello;
  version: number;
  address: Address;
}

/** Shows that the sender is alive, and may ask the peer to show the same. */
export interface Ping {
  kind: FrameKind.Ping;
  wantsReply: boolean;
}

/** A call that expects one reply. */
export interface Call {
  kind: FrameKind.Call;
  call: number;
  method: string;
  payload: unknown;
}

/** Answers a call. */
export interface Reply {
  kind: FrameKind.Reply;
  call: number;
  payload: unknown;
  /** Why the call failed; absent when it did not. */
  error?: string;
}

/** A header field of a message as it came. */
export interface Header {
  name: string;
  value: string;
}

/** The head of a forwarded request, as the ingress sends it to the holder. */
export interface RequestHead {
  /** Names this request among all that any daemon ever took. */
  id: string;
  pool: string;
  /** Shard of the key; -1 in a pool without keys. */
  shard: number;
  /** Lease group that owns the shard as the ingress sees it; 0 in a pool without keys. */
  group: Group;
  /** Offset of the record that gave the shard to the group. */
  move: Offset;
  workClass: string;
  tenant: string;
  key: string;
  method: string;
  path: string;
  headers: Header[];
  /** Time left to answer, in milliseconds, when the frame was sent. */
  remainingMs: number;
  idempotencyKey: string;
  /** Whether the caller vouches that it never sent this idempotency key before. */
  firstAttempt: boolean;
  /** Rank of the request where classes are ranked; 0 is the most urgent. */
  priority?: number;
  /** Time left until the answer should be there, in milliseconds, when the frame was sent. */
  targetMs?: number;
}

/** The head of a response. */
export interface ResponseHead {
  status: number;
  headers: Header[];
  /** Set when the answer is not the backend server's own. */
  outcome?: Outcome;
  /** With an outcome: why, for people and logs. */
  reason?: Reason;
  /** With an outcome: what happened, in a sentence. */
  detail?: string;
  /** With an outcome: when the caller should come back, in milliseconds. */
  retryAfterMs?: number;
  /** Whether only the end of the server's connection marked the end of the body. */
  isUnframed?: boolean;
}

/** Why a request was not answered by a backend server. */
export enum Reason {
  /** The daemon does not hold the key's lease group. */
  NotHolder = "not-holder",
  /** The daemon or its backend server takes no new work. */
  Draining = "draining",
  /** No room within the deadline. */
  Overloaded = "overloaded",
  /** The deadline passed. */
  DeadlinePassed = "deadline-passed",
  /** The backend server could not be reached, or broke off. */
  ServerFailed = "server-failed",
  /** The backend server refused the request without running it. */
  ServerRefused = "server-refused",
  /** The caller cancelled the request. */
  Cancelled = "cancelled",
  /** No daemon that may hold the key answered. */
  NoHolder = "no-holder",
  /** The link to the holder broke while the request was there. */
  LinkBroken = "link-broken",
  /** The idempotency key was seen before, or nobody can tell whether it was. */
  Repeated = "repeated",
}

/** Opens a stream with a request. */
export interface RequestFrame {
  kind: FrameKind.Request;
  stream: number;
  head: RequestHead;
  /** The first part of the body. */
  body?: Buffer;
  /** Whether the body is complete. */
  end: boolean;
  /** When the frame was queued, on the sender's monotonic clock in milliseconds. */
  sentAt: number;
}

/** Answers the request of a stream. */
export interface ResponseFrame {
  kind: FrameKind.Response;
  stream: number;
  head: ResponseHead;
  body?: Buffer;
  end: boolean;
}

/** A later part of a body. */
export interface BodyFrame {
  kind: FrameKind.Body;
  stream: number;
  /** Whether the part belongs to the request (true) or to the response (false). */
  ofRequest: boolean;
  body: Buffer;
  end: boolean;
}

/** Lets the sender of a body send more. */
export interface CreditFrame {
  kind: FrameKind.Credit;
  stream: number;
  /** Whether the credit is for the request's body (true) or for the response's (false). */
  ofRequest: boolean;
  bytes: number;
}

/** Ends a stream before its time, from either side. */
export interface CancelFrame {
  kind: FrameKind.Cancel;
  stream: number;
  /** Whether the sender opened the stream. */
  byOpener: boolean;
}

/** Any frame. */
export type Frame =
  | Hello
  | Ping
  | Call
  | Reply
  | RequestFrame
  | ResponseFrame
  | BodyFrame
  | CreditFrame
  | CancelFrame;

/** Identifies the sender of a call that concerns leases. */
export interface Sender {
  address: Address;
  incarnation: Incarnation;
}
