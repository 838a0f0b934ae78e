/**
 * The command `explain-request`: shows the timeline of a request from collected log lines.
 */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import {
  buildTimeline,
  formatTimeline,
  type LogLine,
  parseLine,
  type RequestTimeline,
} from "@bulrushwood/explain";
import { type CommonOptions, ExitCode, writeFailure, writeResult } from "./output.ts";

interface ExplainRequestOptions extends CommonOptions {
  /** Paths of the log files; standard input when empty. */
  _: string[];
}

/** Parsed log lines of all sources. */
interface Lines {
  readable: LogLine[];
  /** Number of lines that could not be parsed. */
  unreadable: number;
  /** Error of the first of them. */
  firstError: string | undefined;
}

/** Shows the timeline of a request and the number of lines that could not be parsed. */
export async function runExplainRequest(
  id: string,
  options: ExplainRequestOptions,
): Promise<void> {
  const { json, _: files } = options;
  const lines: Lines = { readable: [], unreadable: 0, firstError: undefined };
  try {
    const sources = files.length === 0
      ? [process.stdin]
      : files.map((file) => createReadStream(file));
    for (const source of sources) {
      await readLines(source, lines);
    }
  } catch (error) {
    const message = `A log cannot be read: ${(error as Error).message}. Name files that exist`;
    writeFailure(message, { json, code: ExitCode.Malformed });
    return;
  }
  const timeline = buildTimeline(String(id), lines.readable);
  if (timeline.isErr) {
    const faults = describeUnreadable(lines);
    writeFailure(timeline.error.message, { json, faults, code: ExitCode.Malformed });
    return;
  }
  const { unreadable } = lines;
  const format = (result: RequestTimeline) =>
    [formatTimeline(result), ...describeUnreadable(lines)].join("\n");
  writeResult({ ...timeline.value, unreadable }, { json, format });
}

async function readLines(source: Readable, lines: Lines): Promise<void> {
  for await (const text of createInterface({ input: source, crlfDelay: Infinity })) {
    if (text.trim() === "") {
      continue;
    }
    const parsed = parseLine(text);
    if (parsed.isOk) {
      lines.readable.push(parsed.value);
    } else {
      lines.unreadable++;
      lines.firstError ??= parsed.error.message;
    }
  }
}

function describeUnreadable({ unreadable, firstError }: Lines): string[] {
  return unreadable === 0
    ? []
    : [`${unreadable} lines could not be read; the first: ${firstError}`];
}
