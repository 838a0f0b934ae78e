/**
 * The daemon for a deployment whose backend servers own ranges of keys.
 */
export { createEventLog, Event, type EventLog } from "./event_log.ts";
export { Router, type RouterOptions } from "./router.ts";
