/**
 * The command `serve`: runs the daemon until a signal stops it.
 */
import process from "node:process";
import { createLog, Daemon, LogLevel } from "@bulrushwood/daemon";
import { loadDaemonSettings } from "@bulrushwood/settings";
import { PLATFORM } from "@bulrushwood/platform";
import { formatFaults } from "./check.ts";
import { serveDeployment } from "./serve_deployment.ts";
import { handleSignals } from "./signals.ts";
import { type CommonOptions, ExitCode, writeFailure } from "./output.ts";

/** Runs the daemon with a settings file or, without one, on the deployment that the environment names. */
export async function runServe(
  path: string | undefined,
  options: CommonOptions,
): Promise<void> {
  if (path === undefined) {
    await serveDeployment(PLATFORM, options);
    return;
  }
  const loaded = loadDaemonSettings(path);
  if (loaded.isErr) {
    const faults = formatFaults(path, loaded.error);
    writeFailure(loaded.error.message, {
      json: options.json,
      faults,
      code: ExitCode.Malformed,
    });
    return;
  }
  const settings = loaded.value;
  const log = createLog(settings.instance, settings.logLevel);
  const daemon = Daemon.start({ settings, log });
  const stop = (signal: string) => {
    log(LogLevel.Info, "Stopping the daemon", { signal });
    daemon.close();
  };
  handleSignals({ onStop: stop });
  await daemon.stopped;
  process.exit(ExitCode.Ok);
}
