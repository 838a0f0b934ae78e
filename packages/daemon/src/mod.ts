/**
 * The daemon that runs beside each backend server instance.
 */
export { Daemon, type DaemonOptions } from "./daemon.ts";
export { createLog, type Log, LogLevel } from "./logger.ts";
export { measureSpread, type Spread } from "./system_status.ts";
