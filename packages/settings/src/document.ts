/**
 * Reads JSON with comments and checks it against a schema, keeping the place of each fault.
 */
import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { Result } from "true-myth";
import type { z } from "zod";
import { type Fault, SettingsError } from "./fault.ts";

const FOUND_MAX_CHARACTERS = 60;

interface Place {
  line: number;
  column: number;
}

interface Issue {
  path: PropertyKey[];
  message: string;
}

/** Finds the line and column, both counted from 1, of a character offset. */
function placeAt(text: string, offset: number): Place {
  const before = text.slice(0, offset);
  const line = before.split("\n").length;
  const column = offset - before.lastIndexOf("\n");
  return { line, column };
}

function shortenValue(value: unknown): string {
  const text = value === undefined ? "nothing" : JSON.stringify(value);
  if (text.length <= FOUND_MAX_CHARACTERS) {
    return text;
  }
  return `${text.slice(0, FOUND_MAX_CHARACTERS)}…`;
}

/** Finds the deepest node on the path that exists in the document. */
function nearestNode(root: Node, path: PropertyKey[]): Node {
  for (let length = path.length; length > 0; length--) {
    const segments = path.slice(0, length) as (string | number)[];
    const node = findNodeAtLocation(root, segments);
    if (node !== undefined) {
      return node;
    }
  }
  return root;
}

function syntaxFault(text: string, error: ParseError): Fault {
  const found = JSON.stringify(
    text.slice(error.offset, error.offset + error.length),
  );
  return {
    field: "",
    ...placeAt(text, error.offset),
    found: found === '""' ? "the end of the file" : found,
    expected: `valid JSON with comments (${printParseErrorCode(error.error)})`,
  };
}

function schemaFault(text: string, root: Node, issue: Issue): Fault {
  const exact = findNodeAtLocation(root, issue.path as (string | number)[]);
  const near = exact ?? nearestNode(root, issue.path);
  const found = exact === undefined ? undefined : getNodeValue(exact);
  return {
    field: issue.path.map(String).join("."),
    ...placeAt(text, near.offset),
    found: shortenValue(found),
    expected: issue.message,
  };
}

/** Words a schema issue as what would be right, for issues whose schema gives no message. */
function expectation(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case "invalid_type":
      return `a value of type ${issue.expected}`;
    case "invalid_value":
      return `one of ${issue.values.map((value) => JSON.stringify(value)).join(", ")}`;
    case "too_small":
      return `at least ${issue.minimum}`;
    case "too_big":
      return `at most ${issue.maximum}`;
    default:
      return issue.message;
  }
}

/** Reads a schema issue; each unknown field becomes a fault of its own, at its own place. */
function readIssues(issue: z.core.$ZodIssue): Issue[] {
  if (issue.code === "unrecognized_keys") {
    const message = "no field of this name; remove it or correct its spelling";
    return issue.keys.map((key) => ({ path: [...issue.path, key], message }));
  }
  const isWorded = issue.code === "custom" || issue.code === "invalid_format";
  return [{ path: issue.path, message: isWorded ? issue.message : expectation(issue) }];
}

/** Checks text against a schema. `source` names the file in errors. All faults are listed. */
export function parseDocument<T>(
  text: string,
  source: string,
  options: { schema: z.ZodType<T> },
): Result<T, SettingsError> {
  const syntaxErrors: ParseError[] = [];
  const root = parseTree(text, syntaxErrors, { allowTrailingComma: true });
  if (root === undefined || syntaxErrors.length > 0) {
    const faults = syntaxErrors.map((error) => syntaxFault(text, error));
    return Result.err(new SettingsError(source, faults));
  }
  const parsed = options.schema.safeParse(getNodeValue(root));
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  const issues = parsed.error.issues.flatMap(readIssues);
  const faults = issues.map((issue) => schemaFault(text, root, issue));
  return Result.err(new SettingsError(source, faults));
}
