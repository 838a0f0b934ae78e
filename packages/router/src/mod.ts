/**
 * The daemon on a deployment whose servers own ranges of keys.
 */
export { createEventLog, Event, type EventLog } from "./event_log.ts";
export { Router, type RouterOptions } from "./router.ts";
