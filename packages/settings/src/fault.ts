/**
 * Faults of settings and configuration files, with what operators need to correct them.
 */

/** Invalid or missing value in a settings or configuration file. */
export interface Fault {
  /** Path of the field, such as `classes.booking.deadlineMs`; empty for the whole file. */
  field: string;
  /** Line of the field in the file, counted from 1. */
  line: number;
  /** Column of the field in the file, counted from 1. */
  column: number;
  /** The value in the file as JSON, shortened. */
  found: string;
  /** Description of a valid value. */
  expected: string;
}

/** All faults of one file. */
export class SettingsError extends Error {
  readonly faults: Fault[];

  constructor(source: string, faults: Fault[]) {
    super(
      `${source} has ${faults.length} fault${faults.length === 1 ? "" : "s"}`,
    );
    this.name = "SettingsError";
    this.faults = faults;
  }
}

/** Formats a fault as one line for a terminal. */
export function formatFault(source: string, fault: Fault): string {
  const field = fault.field === "" ? "the file" : fault.field;
  return `${source}:${fault.line}:${fault.column}: ${field}: found ${fault.found}, expected ${fault.expected}`;
}
