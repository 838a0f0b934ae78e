/**
 * Runs the daemon on a platform's deployment until a signal stops it.
 */
import { readFile } from "node:fs/promises";
import process from "node:process";
import type { Adapter, DeploymentSettings } from "@bulrushwood/deployment";
import { createEventLog, Router } from "@bulrushwood/router";
import { now, sleep } from "@bulrushwood/types";
import type { Result } from "true-myth";
import { type CommonOptions, ExitCode, writeFailure } from "./output.ts";
import { handleSignals } from "./signals.ts";

/** Time for which a settings file is read again while it is missing or malformed, in milliseconds. */
const SETTINGS_TIMEOUT_MS = 5_000;
/** Pause before the settings file is read again, in milliseconds. */
const SETTINGS_RETRY_MS = 100;

/** Runs the daemon with the settings that the environment names. SIGHUP reloads them. */
export async function serveDeployment(adapter: Adapter, options: CommonOptions): Promise<void> {
  const path = adapter.settingsPath(process.env);
  if (path === undefined) {
    const message = "No settings file was given, and the environment names no deployment";
    writeFailure(message, { json: options.json, code: ExitCode.Malformed });
    return;
  }
  const daemon: { router?: Router } = {};
  const stopped = new Promise<void>((resolve) => {
    handleSignals({ onStop: () => resolve(), onReload: () => daemon.router?.reload() });
  });
  // A daemon that has not started yet has no requests to respond to.
  stopped.then(() => daemon.router ?? process.exit(ExitCode.Ok));
  const read = await readSettings(path, adapter);
  if (read.isErr) {
    writeFailure(`${path}: ${read.error.message}`, {
      json: options.json,
      code: ExitCode.Malformed,
    });
    process.exit(ExitCode.Malformed);
  }
  const settings = read.value;
  const log = createEventLog(settings.instance, { now });
  daemon.router = await Router.start({ settings, adapter, log });
  await stopped;
  await daemon.router.leave();
  process.exit(ExitCode.Ok);
}

/** Reads the settings; a file that is being replaced may be missing or incomplete for a moment. */
async function readSettings(
  path: string,
  adapter: Adapter,
): Promise<Result<DeploymentSettings, Error>> {
  const until = now() + SETTINGS_TIMEOUT_MS;
  while (true) {
    const read = adapter.readSettings(await readFile(path, "utf8").catch(() => ""));
    if (read.isOk || now() >= until) {
      return read;
    }
    await sleep(SETTINGS_RETRY_MS);
  }
}
