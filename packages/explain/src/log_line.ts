/**
 * Reads log lines of daemons. Collectors may write something before a line's JSON object; that is skipped.
 */
import { Result } from "true-myth";
import { z } from "zod";

/** One line. */
export interface LogLine {
  instance: string;
  /** By the instance's own clock, in milliseconds since 1970. */
  at: number;
  /** The kind of event, as `docs/OPERATIONS.md` lists them. */
  event: string;
  /** The request that the line is about; undefined where it is about none. */
  id: string | undefined;
  fields: Record<string, unknown>;
}

/** Why a line cannot be read. */
export class LineError extends Error {}

const lineSchema = z.looseObject({
  timestamp: z.iso.datetime(),
  instance: z.string(),
  message: z.string(),
  id: z.string().optional(),
});

/** Reads one line. */
export function parseLine(text: string): Result<LogLine, LineError> {
  const start = text.indexOf("{");
  if (start < 0) {
    return Result.err(new LineError("The line has no JSON object"));
  }
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch (error) {
    return Result.err(
      new LineError(`The line's object cannot be read: ${(error as Error).message}`),
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
