/**
 * Parses the log lines of daemons. Collectors may put a prefix before a line's JSON object; it is skipped.
 */
import { Result } from "true-myth";
import { z } from "zod";

/** One parsed log line. */
export interface LogLine {
  instance: string;
  /** Time by the instance's own clock, in milliseconds since 1970. */
  at: number;
  /** Name of the event, as listed in `docs/OPERATIONS.md`. */
  event: string;
  /** Id of the request that the line is about; undefined where it is about none. */
  id: string | undefined;
  fields: Record<string, unknown>;
}

/** A line that cannot be parsed, or a request that no line names. */
export class LineError extends Error {}

const lineSchema = z.looseObject({
  timestamp: z.iso.datetime(),
  instance: z.string(),
  message: z.string(),
  id: z.string().optional(),
});

/** Parses one line; the error names the field. */
export function parseLine(text: string): Result<LogLine, LineError> {
  const start = text.indexOf("{");
  if (start < 0) {
    return Result.err(new LineError("The line contains no JSON object"));
  }
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch (error) {
    return Result.err(
      new LineError(`The line's JSON object cannot be parsed: ${(error as Error).message}`),
    );
  }
  const parsed = lineSchema.safeParse(value);
  if (!parsed.success) {
    const [{ path, message }] = parsed.error.issues;
    return Result.err(new LineError(`Field ${path.join(".")}: ${message}`));
  }
  const { timestamp, instance, message, level: _level, ...fields } = parsed.data;
  return Result.ok({ instance, at: Date.parse(timestamp), event: message, id: fields.id, fields });
}
