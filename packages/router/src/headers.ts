/**
 * Conversion of HTTP headers that are forwarded.
 */
import type { Header } from "@bulrushwood/protocol";

/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Reads the headers to forward from Node.js's alternating list of names and values. */
export function readHeaders(flat: string[], options: { dropped: ReadonlySet<string> }): Header[] {
  const headers: Header[] = [];
  for (let index = 0; index < flat.length; index += 2) {
    const name = flat[index].toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(name) && !options.dropped.has(name)) {
      headers.push({ name, value: flat[index + 1] });
    }
  }
  return headers;
}

/** Converts headers to Node.js's alternating list of names and values. */
export function toFlatHeaders(headers: Header[]): string[] {
  return headers.flatMap(({ name, value }) => [name, value]);
}
