/**
 * The command `watch`: waits until a version is in force in every daemon, then shows the status.
 */
import { AdminClient, type VersionsInForce } from "@bulrushwood/admin";
import { sleep } from "@bulrushwood/types";
import {
  type CommonOptions,
  ExitCode,
  writeAdminError,
  writeFailure,
  writeResult,
} from "./output.ts";
import { formatStatus } from "./status.ts";

const POLL_INTERVAL_MS = 200;
const MS_PER_SECOND = 1_000;

interface WatchOptions extends CommonOptions {
  /** Longest time to wait, in seconds. */
  timeout: string | number;
}

/** Waits until a version is in force in every daemon; by default the version of the daemon that is called. */
export async function runWatch(
  versionText: string | undefined,
  options: WatchOptions,
): Promise<void> {
  const client = new AdminClient(options.admin);
  const wanted = versionText === undefined ? undefined : Number(versionText);
  const seconds = Number(options.timeout);
  if (wanted !== undefined && !Number.isInteger(wanted) || !(seconds > 0)) {
    const message = "version must be a whole number and --timeout a number of seconds above 0";
    writeFailure(message, { json: options.json, code: ExitCode.Malformed });
    return;
  }
  const startedAt = performance.now();
  const versions = await waitUntilInForce(
    client,
    wanted,
    startedAt + seconds * MS_PER_SECOND,
  );
  if (versions === undefined) {
    const message = `The version is not in force everywhere after ${seconds} s`;
    const faults = await describeLateDaemons(client, wanted);
    writeFailure(message, {
      json: options.json,
      faults,
      code: ExitCode.TimedOut,
    });
    return;
  }
  await showStatus(client, versions, {
    ...options,
    afterMs: performance.now() - startedAt,
  });
}

async function waitUntilInForce(
  client: AdminClient,
  wanted: number | undefined,
  deadline: number,
): Promise<VersionsInForce | undefined> {
  while (performance.now() < deadline) {
    const versions = await client.versionsInForce();
    if (versions.isOk && isInForce(versions.value, wanted ?? versions.value.version)) {
      return versions.value;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return undefined;
}

function isInForce(versions: VersionsInForce, version: number): boolean {
  const daemonVersions = versions.daemons.map((daemon) => daemon.version);
  return versions.version >= version &&
    daemonVersions.every((daemonVersion) => daemonVersion >= version);
}

/** Describes the daemons that do not have the version in force. */
async function describeLateDaemons(
  client: AdminClient,
  wanted: number | undefined,
): Promise<string[]> {
  const versions = await client.versionsInForce();
  if (versions.isErr) {
    return [versions.error.message];
  }
  const version = wanted ?? versions.value.version;
  const late = versions.value.daemons.filter((daemon) => daemon.version < version);
  return late.map((daemon) =>
    daemon.version < 0
      ? `${daemon.instance} does not respond`
      : `${daemon.instance} has version ${daemon.version}`
  );
}

async function showStatus(
  client: AdminClient,
  versions: VersionsInForce,
  options: WatchOptions & { afterMs: number },
): Promise<void> {
  const status = await client.status();
  if (status.isErr) {
    writeAdminError(status.error, options);
    return;
  }
  const afterMs = Math.round(options.afterMs);
  const daemons = versions.daemons.length;
  const result = {
    version: versions.version,
    daemons,
    afterMs,
    status: status.value,
  };
  const format = () =>
    `Version ${versions.version} is in force in ${daemons} daemons, seen after ${afterMs} ms\n\n` +
    formatStatus(status.value);
  writeResult(result, { json: options.json, format });
}
