/**
 * Header fields on their way through.
 */
import type { Header } from "@bulrushwood/protocol";

/** Fields that concern one connection only. */
const OF_ONE_CONNECTION = new Set([
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

/** Reads the fields to pass on from Node's flat list of names and values. */
export function readHeaders(flat: string[], options: { dropped: ReadonlySet<string> }): Header[] {
  const headers: Header[] = [];
  for (let index = 0; index < flat.length; index += 2) {
    const name = flat[index].toLowerCase();
    if (!OF_ONE_CONNECTION.has(name) && !options.dropped.has(name)) {
      headers.push({ name, value: flat[index + 1] });
    }
  }
  return headers;
}

/** Writes fields as Node's flat list of names and values. */
export function toFlatHeaders(headers: Header[]): string[] {
  return headers.flatMap(({ name, value }) => [name, value]);
}
