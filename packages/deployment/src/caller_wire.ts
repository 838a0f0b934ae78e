/**
 * The HTTP protocol between callers and daemons.
 */
import type { IncomingHttpHeaders } from "node:http";

/** Metadata in the headers of a caller's request. */
export interface CallerRequest {
  /** Request id that the caller chose; undefined if it is missing. */
  id: string | undefined;
  /** Time that the caller waits for the response, in milliseconds; undefined if it is missing. */
  deadlineMs: number | undefined;
  /** Key of the request; undefined if it is missing or malformed. */
  key: number | undefined;
}

/** Header names and decoding of the callers' protocol. */
export interface CallerWire {
  readRequest(headers: IncomingHttpHeaders): CallerRequest;
  /** Header of the request id, in requests and responses. */
  idHeader: string;
  /** Headers that only the system may set; they are removed from callers' requests. */
  systemHeaders: ReadonlySet<string>;
}
