/**
 * The frames of the protocol between daemons. One `ws` message carries an array of them.
 */
import type { Buffer } from "node:buffer";
import type { Address, Group, Incarnation, Offset, Outcome } from "@bulrushwood/types";

/** Version of this protocol; daemons of different versions do not connect to each other. */
export const PROTOCOL_VERSION = 1;

/** Kind of a frame, as sent in its `kind` field. */
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

/** First frame that each side sends on a link. */
export interface Hello {
  kind: FrameKind.Hello;
  version: number;
  address: Address;
  /** Incarnation of the sender, which holds for the whole link; absent in hellos of older daemons. */
  incarnation?: string;
  /**
   * When the frame was queued, on the sender's monotonic clock in milliseconds, so that the delay of the first request
   * on the link is known; absent in hellos of older daemons.
   */
  sentAt?: number;
}

/** Keep-alive frame, which may ask the peer for one in return. */
export interface Ping {
  kind: FrameKind.Ping;
  wantsReply: boolean;
}

/** Call of a method, which expects one reply. */
export interface Call {
  kind: FrameKind.Call;
  call: number;
  method: string;
  payload: unknown;
}

/** Reply to a call. */
export interface Reply {
  kind: FrameKind.Reply;
  call: number;
  payload: unknown;
  /** Error message of a failed call; absent when the call succeeded. */
  error?: string;
}

/** HTTP header field, as it was received. */
export interface Header {
  name: string;
  value: string;
}

/** Head of a forwarded request, as the ingress sends it to the holder. */
export interface RequestHead {
  /** Id of the request, unique across all daemons and their incarnations. */
  id: string;
  pool: string;
  /** Shard of the key; -1 in a pool without keys. */
  shard: number;
  /** Lease group that owns the shard according to the ingress; 0 in a pool without keys. */
  group: Group;
  /** Offset of the record that assigned or transferred the shard to the group. */
  move: Offset;
  workClass: string;
  tenant: string;
  key: string;
  method: string;
  path: string;
  headers: Header[];
  /** Time left until the deadline when the frame was sent, in milliseconds. */
  remainingMs: number;
  idempotencyKey: string;
  /** Whether the caller guarantees that it has not sent this idempotency key before. */
  firstAttempt: boolean;
  /** Priority of the request, where classes have one; 0 is the most urgent. */
  priority?: number;
  /** Time left until the target when the frame was sent, in milliseconds. */
  targetMs?: number;
  /** Length of a body that follows in parts, in bytes; absent for others, and in heads of older daemons. */
  bodyBytes?: number;
  /** Name of a server incarnation that must not run the request, since it announced to the ingress that it leaves. */
  excludedServer?: string;
}

/** Head of a response. */
export interface ResponseHead {
  status: number;
  headers: Header[];
  /** Set when the response does not come from the backend server. */
  outcome?: Outcome;
  /** With an outcome: the reason for it. */
  reason?: Reason;
  /** With an outcome: a sentence that describes what happened. */
  detail?: string;
  /** With an outcome: time after which the caller should retry, in milliseconds. */
  retryAfterMs?: number;
  /** Whether the body had no length or chunks, so that only the close of the server's connection ended it. */
  isUnframed?: boolean;
  /** Length of a body that follows in parts, in bytes; absent for others, and in heads of older daemons. */
  bodyBytes?: number;
  /** Time for which the server worked on the request while it works as usual, in milliseconds; absent where not measured. */
  ranMs?: number;
  /** Owner of the key of a request that the daemon does not hold, as far as it knows. */
  owner?: string;
  /** Name of the server incarnation that announced with this response that it leaves. */
  leavingServer?: string;
}

/** Reason why a backend server did not respond to a request. */
export enum Reason {
  /** The daemon does not hold the key's lease group. */
  NotHolder = "not-holder",
  /** The daemon or its backend server accepts no new work. */
  Draining = "draining",
  /** The request would not get a slot of the backend server in time. */
  Overloaded = "overloaded",
  /** The deadline passed. */
  DeadlinePassed = "deadline-passed",
  /** The backend server was unreachable, or failed during the request. */
  ServerFailed = "server-failed",
  /** The backend server rejected the request without running it. */
  ServerRejected = "server-refused",
  /** The caller cancelled the request. */
  Cancelled = "cancelled",
  /** No daemon that may hold the key accepted the request. */
  NoHolder = "no-holder",
  /** The link to the holder broke while the request was in flight. */
  LinkBroken = "link-broken",
  /** The idempotency key was used before, or may have been. */
  Repeated = "repeated",
  /** Backend servers ended while they ran the same request. */
  Quarantined = "quarantined",
}

/** Request that opens a stream. */
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

/** Response to the request of a stream, with the first part of its body. */
export interface ResponseFrame {
  kind: FrameKind.Response;
  stream: number;
  head: ResponseHead;
  body?: Buffer;
  end: boolean;
}

/** Further part of a body. */
export interface BodyFrame {
  kind: FrameKind.Body;
  stream: number;
  /** Whether the part belongs to the request (true) or to the response (false). */
  ofRequest: boolean;
  body: Buffer;
  end: boolean;
}

/** Credit that lets the sender of a body send more bytes. */
export interface CreditFrame {
  kind: FrameKind.Credit;
  stream: number;
  /** Whether the credit is for the request's body (true) or for the response's (false). */
  ofRequest: boolean;
  bytes: number;
}

/** Cancels a stream, from either side. */
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

/** Identity of the sender of a call that concerns leases. */
export interface Sender {
  address: Address;
  incarnation: Incarnation;
}
