/**
 * The command `explain-request`: tells what became of a request, from log lines that were collected.
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
  /** Log files. */
  _: string[];
}

/** Lines of several instances. */
interface Lines {
  readable: LogLine[];
  unreadable: number;
  /** Why the first unreadable line is so. */
  firstFault: string | undefined;
}

/** Explains a request. */
export async function runExplainRequest(
  id: string,
  options: ExplainRequestOptions,
): Promise<void> {
  const { json, _: files } = options;
  const lines: Lines = { readable: [], unreadable: 0, firstFault: undefined };
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
  const story = buildTimeline(String(id), lines.readable);
  if (story.isErr) {
    const faults = describeUnreadable(lines);
    writeFailure(story.error.message, { json, faults, code: ExitCode.Malformed });
    return;
  }
  const { unreadable } = lines;
  const format = (result: RequestTimeline) =>
    [formatTimeline(result), ...describeUnreadable(lines)].join("\n");
  writeResult({ ...story.value, unreadable }, { json, format });
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
      lines.firstFault ??= parsed.error.message;
    }
  }
}

function describeUnreadable({ unreadable, firstFault }: Lines): string[] {
  return unreadable === 0
    ? []
    : [`${unreadable} lines could not be read; the first: ${firstFault}`];
}
