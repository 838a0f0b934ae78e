/**
 * The command `publish`: publishes a configuration, which replaces the expected version.
 */
import { userInfo } from "node:os";
import { AdminClient } from "@bulrushwood/admin";
import { parseConfiguration, readSettingsText } from "@bulrushwood/settings";
import { formatFaults } from "./check.ts";
import {
  type CommonOptions,
  ExitCode,
  writeAdminError,
  writeFailure,
  writeResult,
} from "./output.ts";

interface PublishOptions extends CommonOptions {
  /** Version that the file replaces; the version in force when absent. */
  expects?: string | number;
  by?: string;
}

/** Validates a configuration file and publishes it. */
export async function runPublish(
  path: string,
  options: PublishOptions,
): Promise<void> {
  const parsed = readSettingsText(path).andThen((text) => parseConfiguration(text, path));
  if (parsed.isErr) {
    const faults = formatFaults(path, parsed.error);
    writeFailure(parsed.error.message, {
      json: options.json,
      faults,
      code: ExitCode.Malformed,
    });
    return;
  }
  const client = new AdminClient(options.admin);
  const expects = await readExpects(client, options);
  if (expects === undefined) {
    return;
  }
  const by = options.by ?? userInfo().username;
  const published = await client.publish({
    expects,
    by,
    configuration: parsed.value,
  });
  if (published.isErr) {
    writeAdminError(published.error, options);
    return;
  }
  const format = () => `Version ${published.value.version} is accepted`;
  writeResult(published.value, { json: options.json, format });
}

/** Returns the version to replace; undefined after writing a failure. */
async function readExpects(
  client: AdminClient,
  options: PublishOptions,
): Promise<number | undefined> {
  if (options.expects === undefined) {
    const current = await client.configuration();
    if (current.isErr) {
      writeAdminError(current.error, options);
      return undefined;
    }
    return current.value.version;
  }
  const expects = Number(options.expects);
  if (!Number.isInteger(expects) || expects < 0) {
    const message = `--expects is "${options.expects}"; it must be a whole number, 0 for the first`;
    writeFailure(message, { json: options.json, code: ExitCode.Malformed });
    return undefined;
  }
  return expects;
}
