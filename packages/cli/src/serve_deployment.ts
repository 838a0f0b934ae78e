/**
 * Runs the daemon on a platform's deployment until a signal stops it.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import type { Adapter } from "@bulrushwood/deployment";
import { createEventLog, Router } from "@bulrushwood/router";
import { now } from "@bulrushwood/types";
import { type CommonOptions, ExitCode, writeFailure } from "./output.ts";

/** Runs the daemon with the settings that the environment names. SIGHUP reloads them. */
export async function serveDeployment(adapter: Adapter, options: CommonOptions): Promise<void> {
  const path = adapter.settingsPath(process.env);
  if (path === undefined) {
    const message = "No settings file was given, and the environment names no deployment";
    writeFailure(message, { json: options.json, code: ExitCode.Malformed });
    return;
  }
  const read = adapter.readSettings(readFileSync(path, "utf8"));
  if (read.isErr) {
    writeFailure(`${path}: ${read.error.message}`, {
      json: options.json,
      code: ExitCode.Malformed,
    });
    return;
  }
  const settings = read.value;
  const log = createEventLog(settings.instance, { now });
  const router = await Router.start({ settings, adapter, log });
  process.on("SIGHUP", () => router.reload());
  await new Promise<void>((resolve) => {
    process.once("SIGTERM", resolve);
    process.once("SIGINT", resolve);
  });
  await router.leave();
  process.exit(ExitCode.Ok);
}
