/**
 * The command `check`: validates a settings or configuration file offline.
 */
import { Result } from "true-myth";
import {
  formatFault,
  parseConfiguration,
  parseDaemonSettings,
  readSettingsText,
  SettingsError,
} from "@bulrushwood/settings";
import { type CommonOptions, ExitCode, writeFailure, writeResult } from "./output.ts";

/** Kinds of files; `auto` detects the kind from the text. */
enum FileKind {
  Settings = "settings",
  Configuration = "configuration",
  Auto = "auto",
}

interface CheckOptions extends CommonOptions {
  kind: string;
}

/** Formats the faults of a file, one line each. */
export function formatFaults(path: string, error: SettingsError): string[] {
  return error.faults.map((fault) => formatFault(path, fault));
}

/** Validates a file and reports all of its faults. */
export function runCheck(path: string, options: CheckOptions): void {
  const kinds = Object.values(FileKind) as string[];
  if (!kinds.includes(options.kind)) {
    const message = `--kind is "${options.kind}"; it must be one of ${kinds.join(", ")}`;
    writeFailure(message, { json: options.json, code: ExitCode.Malformed });
    return;
  }
  const checked = readSettingsText(path).andThen((text) =>
    checkText(text, path, options.kind as FileKind)
  );
  if (checked.isErr) {
    const faults = formatFaults(path, checked.error);
    writeFailure(checked.error.message, {
      json: options.json,
      faults,
      code: ExitCode.Malformed,
    });
    return;
  }
  const result = { file: path, kind: checked.value };
  const format = () => `${path}: these ${checked.value} are valid`;
  writeResult(result, { json: options.json, format });
}

function checkText(
  text: string,
  path: string,
  kind: FileKind,
): Result<string, SettingsError> {
  const actual = kind === FileKind.Auto ? detectKind(text) : kind;
  return actual === FileKind.Settings
    ? parseDaemonSettings(text, path).map(() => "settings")
    : parseConfiguration(text, path).map(() => "configuration settings");
}

/** Detects the kind of a file: only settings have a field `listen` or `instance`. */
function detectKind(text: string): FileKind {
  return /"(?:listen|instance)"\s*:/.test(text) ? FileKind.Settings : FileKind.Configuration;
}
