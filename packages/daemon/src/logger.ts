/**
 * Structured logs: one JSON object a line on standard error.
 */
import process from "node:process";
import winston from "winston";

/** Writes log lines; each has a level, a message and fields. */
export type Log = (
  level: LogLevel,
  message: string,
  fields?: Record<string, unknown>,
) => void;

/** Levels of log lines. */
export enum LogLevel {
  Error = "error",
  Warn = "warn",
  Info = "info",
  Debug = "debug",
}

/** Makes a log whose lines name the instance. */
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
