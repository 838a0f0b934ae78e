/**
 * Load generator, and experiments against real daemon processes and stand-ins.
 */
export type { Experiment, ExperimentOptions, Report, Row } from "./experiment.ts";
export { experiments } from "./experiments.ts";
export { applyLoad, type LoadOptions, type LoadRequest, LoadResult } from "./open_loop.ts";
