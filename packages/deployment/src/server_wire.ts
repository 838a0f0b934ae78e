/**
 * How backend servers are spoken to on a deployment.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "true-myth";
import type { HeldKeys, StatusReport } from "./server_report.ts";

/** The fields that the system adds to a request for a backend server. */
export interface ServerRequest {
  id: string;
  /** Time left to answer, in milliseconds. */
  remainingMs: number;
  /** Only this life of a server may run the request. */
  serverId: string;
  /** Service of the instance where the request began. */
  callerService: string;
  key: number | undefined;
}

/** What a backend server says of its load. */
export interface ServerLoad {
  running: number;
  waiting: number;
  slots: number;
}

/** What the head of a server's answer says. */
export interface ServerAnswer {
  /** The id of the request that the answer belongs to. */
  id: string | undefined;
  /** Whether the server vouches that it did not run the request and never will. */
  isNotRun: boolean;
  /** Whether the request was refused because the server lacks the key or is another one. */
  isMisdirected: boolean;
  /** Whether the answer bears the server's mark; a success without it is not the server's. */
  isMarked: boolean;
  load: ServerLoad | undefined;
}

/** A call that carries an order to a server. */
export interface Order {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
}

/** Keys that a server is to hold. */
export interface GrantRow extends HeldKeys {
  /** What the previous owner handed over; undefined for none. */
  handover: string | undefined;
}

/** Lets a server run work for some keys. */
export interface GrantOrder extends GrantRow {
  /** How long the grant runs from its arrival, in milliseconds. */
  durationMs: number;
}

/** All that a server is to hold, told with the answer to a status report. */
export interface GrantRows {
  rows: GrantRow[];
  /** How long the grants run from when the report was sent, in milliseconds. */
  durationMs: number;
}

/** Takes keys from `first` to `last`, both included, back from a server. */
export interface ReleaseOrder {
  first: number;
  last: number;
  epoch: number;
}

/** Names and formats of the servers' wire. */
export interface ServerWire {
  /** Header names and values in turn. */
  requestHeaders(request: ServerRequest): string[];
  readAnswer(status: number, headers: IncomingHttpHeaders): ServerAnswer;
  grant(order: GrantOrder): Order;
  release(order: ReleaseOrder): Order;
  /** What the server hands over with the answer to a release. */
  readHandover(headers: IncomingHttpHeaders): string | undefined;
  /** Whether the answer to a grant tells that the server knows a newer epoch. */
  isOutdated(status: number): boolean;
  /** The id of the server that answered a health check. */
  readHealth(headers: IncomingHttpHeaders): string | undefined;
  /** Decodes a call on the address for reports; the error names the field and what it should be. */
  readReport(
    method: string,
    path: string,
    body: Buffer,
  ): Result<StatusReport, Error>;
  /** Body of the answer to a status report; without grants the server's run on as they are. */
  reportAnswer(grants: GrantRows | undefined): Buffer;
  /** Rows of grants that fit into one answer. */
  reportRowsMax: number;
}
