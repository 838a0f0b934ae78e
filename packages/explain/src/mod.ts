/**
 * Explains what became of one request, from the log lines of several instances. Works offline, on lines that
 * were collected; asks no daemon.
 */
export { type ClockDifference, estimateClocks } from "./clocks.ts";
export { LineError, type LogLine, parseLine } from "./log_line.ts";
export { formatStory } from "./format.ts";
export { type Inputs, type Step, type Story, TELLING, tellStory } from "./story.ts";
