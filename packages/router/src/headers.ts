/**
 * Conversion of HTTP headers that are forwarded.
 */
import type { IncomingMessage } from "node:http";
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

/** Bytes of a request line beside its method and target: two spaces, the version and the line end. */
const REQUEST_LINE_BYTES = " ".length + " HTTP/1.1\r\n".length;
/** Bytes of a header beside its name and value: a colon, a space and the line end. */
const HEADER_BYTES = ": \r\n".length;

/** Counts the bytes of a request's line and headers. */
export function countHeadBytes(
  { method = "", url = "", rawHeaders }: Pick<IncomingMessage, "method" | "url" | "rawHeaders">,
): number {
  const separators = REQUEST_LINE_BYTES + rawHeaders.length / 2 * HEADER_BYTES;
  // Node.js decodes each byte to one character.
  const texts = rawHeaders.reduce((bytes, text) => bytes + text.length, 0);
  return method.length + url.length + texts + separators;
}

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
