/**
 * Header fields on their way through: what belongs to one connection only is left out.
 */
import type { Header } from "@bulrushwood/protocol";

/** Fields that concern one connection, or that the system sets itself. */
const NOT_PASSED_ON = new Set([
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

/** Prefix of the fields that only the system itself sets. */
const OWN_PREFIX = "bulrushwood-";

/** Reads the fields to pass on from Node's flat list of names and values. */
export function readHeaders(flat: string[]): Header[] {
  const headers: Header[] = [];
  for (let index = 0; index < flat.length; index += 2) {
    const name = flat[index].toLowerCase();
    if (!NOT_PASSED_ON.has(name) && !name.startsWith(OWN_PREFIX)) {
      headers.push({ name, value: flat[index + 1] });
    }
  }
  return headers;
}

/** Writes fields as Node's flat list of names and values. */
export function toFlatHeaders(headers: Header[]): string[] {
  const flat: string[] = [];
  for (const header of headers) {
    flat.push(header.name, header.value);
  }
  return flat;
}
