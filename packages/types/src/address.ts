/**
 * Validates addresses that come from outside the process, such as those in records of the store.
 */
import { isIPv4 } from "node:net";
import type { Address } from "./mod.ts";

const PORT_MAX = 65_535;
/** Error message for a text that is no address. */
export const ADDRESS_MESSAGE =
  `must be an IPv4 address and a port from 1 to ${PORT_MAX}, such as 10.0.0.1:8080`;

/** Returns whether a text is an IPv4 address and a port that connections can be opened to. */
export function isAddress(text: string): text is Address {
  const [host, port, ...rest] = text.split(":");
  return rest.length === 0 && isIPv4(host) && /^[1-9]\d{0,4}$/.test(port ?? "") &&
    Number(port) <= PORT_MAX;
}
