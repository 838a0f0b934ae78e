/**
 * Selects the header fields to forward, and converts them from and to Node's raw headers.
 */
import type { Header } from "@bulrushwood/protocol";

/** Hop-by-hop fields, and fields that the next hop sets itself. */
const UNFORWARDED_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "expect",
]);

/** Prefix of the fields that are reserved for the system. */
const SYSTEM_PREFIX = "bulrushwood-";

/**
 * Returns the fields to forward from a flat list of names and values, as in Node's `rawHeaders`.
 */
export function readHeaders(rawHeaders: string[]): Header[] {
  const headers: Header[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase();
    if (!UNFORWARDED_HEADERS.has(name) && !name.startsWith(SYSTEM_PREFIX)) {
      headers.push({ name, value: rawHeaders[index + 1] });
    }
  }
  return headers;
}

/** Returns the fields as a flat list of names and values, as `writeHead` takes it. */
export function toRawHeaders(headers: Header[]): string[] {
  const rawHeaders: string[] = [];
  for (const header of headers) {
    rawHeaders.push(header.name, header.value);
  }
  return rawHeaders;
}
