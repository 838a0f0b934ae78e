/**
 * Exit codes and output that all commands share, as text or as JSON.
 */
import process from "node:process";
import { type AdminError, AdminErrorKind } from "@bulrushwood/admin";

/** Exit codes of the program. */
export enum ExitCode {
  Ok = 0,
  /** A file, an option or a request is invalid. */
  Malformed = 1,
  /** Another change was accepted first. */
  Conflict = 2,
  /** A daemon or the log did not respond; nothing has changed. */
  Unavailable = 3,
  /** It is not known yet whether the change takes effect. */
  Unsettled = 4,
  /** The awaited state was not reached before the timeout. */
  TimedOut = 5,
}

/** Options of every command. */
export interface CommonOptions {
  json?: boolean;
  /** Address of a daemon's administration API, as `IP:port`. */
  admin: string;
}

const CODE_OF_KIND: Record<AdminErrorKind, ExitCode> = {
  [AdminErrorKind.Malformed]: ExitCode.Malformed,
  [AdminErrorKind.NotFound]: ExitCode.Malformed,
  [AdminErrorKind.Conflict]: ExitCode.Conflict,
  [AdminErrorKind.Unavailable]: ExitCode.Unavailable,
  [AdminErrorKind.Unsettled]: ExitCode.Unsettled,
};

/** Writes a result to standard output, as JSON or as the text that `format` returns. */
export function writeResult<T>(
  result: T,
  options: { json?: boolean; format: (result: T) => string },
): void {
  const text = options.json ? JSON.stringify(result) : options.format(result);
  process.stdout.write(`${text}\n`);
}

/** Writes a failure to standard error, as JSON or as text, and sets the exit code. */
export function writeFailure(
  message: string,
  options: { json?: boolean; faults?: string[]; code: ExitCode },
): void {
  const { json, faults = [], code } = options;
  const lines = [`error: ${message}`, ...faults.map((fault) => `  ${fault}`)];
  const text = json ? JSON.stringify({ error: message, faults }) : lines.join("\n");
  process.stderr.write(`${text}\n`);
  process.exitCode = code;
}

/** Writes a failure of the administration API to standard error and sets the exit code. */
export function writeAdminError(
  error: AdminError,
  options: { json?: boolean },
): void {
  const { message, faults, kind } = error;
  writeFailure(message, {
    json: options.json,
    faults,
    code: CODE_OF_KIND[kind],
  });
}

/** Formats rows as a table with aligned columns. */
export function formatTable(
  headings: string[],
  rows: (string | number)[][],
): string {
  const cells = [headings, ...rows.map((row) => row.map(String))];
  const widths = headings.map((_, column) => Math.max(...cells.map((row) => row[column].length)));
  const lines = cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  );
  return lines.join("\n");
}
