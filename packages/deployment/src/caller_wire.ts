/**
 * How callers speak on a deployment.
 */
import type { IncomingHttpHeaders } from "node:http";

/** What the headers of a caller's request say. */
export interface CallerRequest {
  /** The caller's name for this request; undefined when it is missing. */
  id: string | undefined;
  /** How long the caller waits, in milliseconds; undefined when it did not say. */
  deadlineMs: number | undefined;
  /** The request's key; undefined when it has none or one that is no key. */
  key: number | undefined;
}

/** Names of the callers' wire. */
export interface CallerWire {
  readRequest(headers: IncomingHttpHeaders): CallerRequest;
  /** Header that carries the request's id, also in answers. */
  idHeader: string;
  /** Headers that only the system sets; what a caller sends under these names is dropped. */
  ownHeaders: ReadonlySet<string>;
}
