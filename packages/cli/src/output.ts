/**
 * What all commands share: exit codes, and output for people or for programs.
 */
import process from "node:process";
import { type AdminError, AdminErrorKind } from "@bulrushwood/admin";

/** Exit codes of the program. */
export enum ExitCode {
  Ok = 0,
  /** A file, an option or a request is wrong. */
  Malformed = 1,
  /** Another change came first. */
  Conflict = 2,
  /** A daemon or the log does not answer; nothing has changed. */
  Unavailable = 3,
  /** Nobody can tell yet whether the change takes effect. */
  Unsettled = 4,
  /** What was waited for did not come in time. */
  TimedOut = 5,
}

/** Options that every command has. */
export interface CommonOptions {
  json?: boolean;
  admin: string;
}

const CODE_OF_KIND: Record<AdminErrorKind, ExitCode> = {
  [AdminErrorKind.Malformed]: ExitCode.Malformed,
  [AdminErrorKind.NotFound]: ExitCode.Malformed,
  [AdminErrorKind.Conflict]: ExitCode.Conflict,
  [AdminErrorKind.Unavailable]: ExitCode.Unavailable,
  [AdminErrorKind.Unsettled]: ExitCode.Unsettled,
};

/** Writes a result: as JSON, or as the text that `format` makes of it. */
export function writeResult<T>(
  result: T,
  options: { json?: boolean; format: (result: T) => string },
): void {
  const text = options.json ? JSON.stringify(result) : options.format(result);
  process.stdout.write(`${text}\n`);
}

/** Writes a failure and sets the exit code. */
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

/** Writes a failure of the administration API and sets the exit code. */
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

/** Lays rows out as a table with aligned columns. */
export function formatTable(
  heads: string[],
  rows: (string | number)[][],
): string {
  const cells = [heads, ...rows.map((row) => row.map(String))];
  const widths = heads.map((_, column) => Math.max(...cells.map((row) => row[column].length)));
  const lines = cells.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  );
  return lines.join("\n");
}
