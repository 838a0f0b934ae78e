/**
 * Explains the outcome of one request from the log lines of several instances. Works offline on collected lines
 * and contacts no daemon.
 */
export { type ClockDifference, estimateClocks } from "./clocks.ts";
export { LineError, type LogLine, parseLine } from "./log_line.ts";
export { formatTimeline } from "./format.ts";
export {
  buildTimeline,
  CONTEXT_EVENTS,
  type Inputs,
  type RequestTimeline,
  type Step,
} from "./request_timeline.ts";
