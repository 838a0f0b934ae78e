/**
 * Parses JSON with comments and validates it against a schema. Each fault has the position of its field.
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

/** Length to which the found value of a fault is shortened. */
const FOUND_MAX_CHARACTERS = 60;

/** Position in a document, counted from 1. */
interface Position {
  line: number;
  column: number;
}

/** Schema violation at the path of a field. */
interface Issue {
  path: PropertyKey[];
  message: string;
}

/** Converts a character offset to a line and a column. */
function positionAt(text: string, offset: number): Position {
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

/** Returns the deepest node on the path that exists in the document. */
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
    ...positionAt(text, error.offset),
    found: found === '""' ? "the end of the file" : found,
    expected: `valid JSON with comments (${printParseErrorCode(error.error)})`,
  };
}

/** Converts an issue to a fault. A missing field has the position of its closest existing parent. */
function schemaFault(text: string, root: Node, issue: Issue): Fault {
  const exact = findNodeAtLocation(root, issue.path as (string | number)[]);
  const nearest = exact ?? nearestNode(root, issue.path);
  const found = exact === undefined ? undefined : getNodeValue(exact);
  return {
    field: issue.path.map(String).join("."),
    ...positionAt(text, nearest.offset),
    found: shortenValue(found),
    expected: issue.message,
  };
}

/** Describes the expected value for an issue whose schema has no message of its own. */
function describeExpected(issue: z.core.$ZodIssue): string {
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

/** Converts an issue of the schema library. Each unknown field becomes a separate issue at its own path. */
function toIssues(issue: z.core.$ZodIssue): Issue[] {
  if (issue.code === "unrecognized_keys") {
    const message = "no field of this name; remove it or correct its spelling";
    return issue.keys.map((key) => ({ path: [...issue.path, key], message }));
  }
  const hasOwnMessage = issue.code === "custom" || issue.code === "invalid_format";
  return [{ path: issue.path, message: hasOwnMessage ? issue.message : describeExpected(issue) }];
}

/** Parses and validates text; the error lists all faults of the file, which it names as `source`. */
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
  const issues = parsed.error.issues.flatMap(toIssues);
  const faults = issues.map((issue) => schemaFault(text, root, issue));
  return Result.err(new SettingsError(source, faults));
}
