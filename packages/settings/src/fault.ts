/**
 * One thing wrong with a file, told so that its reader can mend it.
 */

/** A fault found in a settings or configuration file. */
export interface Fault {
  /** Path of the field, such as `classes.booking.deadlineMs`; empty for the whole file. */
  field: string;
  /** Line of the field in the file, counted from 1. */
  line: number;
  /** Column of the field in the file, counted from 1. */
  column: number;
  /** The value that stands there, shortened, as JSON. */
  found: string;
  /** What would be right. */
  expected: string;
}

/** Raised as an error value when a file does not hold what it should. */
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
