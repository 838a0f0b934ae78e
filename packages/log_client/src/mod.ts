/**
 * Client of the platform's append-only log.
 */
export { LogError, LogErrorKind } from "./errors.ts";
export { type Batch, LogClient, type LogClientOptions, type LogRecord } from "./log_client.ts";
