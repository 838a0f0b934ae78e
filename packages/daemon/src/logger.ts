/**
 * Writes structured logs to standard error, one JSON object a line.
 */
import process from "node:process";
import winston from "winston";

/** Function that writes one log line. */
export type Log = (
  level: LogLevel,
  message: string,
  fields?: Record<string, unknown>,
) => void;

/** Severity of a log line. */
export enum LogLevel {
  Error = "error",
  Warn = "warn",
  Info = "info",
  Debug = "debug",
}

/** Creates a log whose lines carry the name of the instance. */
export function createLog(instance: string, level: string): Log {
  const { combine, timestamp, json } = winston.format;
  const logger = winston.createLogger({
    level,
    format: combine(timestamp(), json()),
    defaultMeta: { instance },
    transports: [new winston.transports.Stream({ stream: process.stderr })],
  });
  return (lineLevel, message, fields = {}) => {
    logger.log(lineLevel, message, fields);
  };
}
