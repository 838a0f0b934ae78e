/**
 * The protocol between daemons: frames and their codec, links, and flow control by credit.
 */
export { BodyReceiver, BodySender, INITIAL_CREDIT_BYTES, PART_BYTES_MAX } from "./body.ts";
export { Codec, MESSAGE_BYTES_MAX } from "./codec.ts";
export { LinkError, LinkErrorKind } from "./errors.ts";
export { IncomingExchange, type IncomingResponse, OutgoingExchange } from "./exchange.ts";
export * from "./frames.ts";
export { deductDelay, Link, type LinkHandlers, type LinkOptions } from "./link.ts";
export { Links, type LinksOptions } from "./links.ts";
