/**
 * The command `watch`: waits until a version is in force in every daemon, then shows the measures.
 */
import { AdminClient, type Force } from "@bulrushwood/admin";
import { sleep } from "@bulrushwood/types";
import {
  type CommonOptions,
  ExitCode,
  writeAdminError,
  writeFailure,
  writeResult,
} from "./output.ts";
import { formatStatus } from "./status.ts";

const POLL_EVERY_MS = 200;
const MS_PER_SECOND = 1_000;

interface WatchOptions extends CommonOptions {
  timeout: string | number;
}

/** Waits until a version, or the one in force at the daemon asked, is in force everywhere. */
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
  const force = await waitForForce(
    client,
    wanted,
    startedAt + seconds * MS_PER_SECOND,
  );
  if (force === undefined) {
    const message = `The version is not in force everywhere after ${seconds} s`;
    const faults = await lateDaemons(client, wanted);
    writeFailure(message, {
      json: options.json,
      faults,
      code: ExitCode.TimedOut,
    });
    return;
  }
  await showMeasures(client, force, {
    ...options,
    afterMs: performance.now() - startedAt,
  });
}

async function waitForForce(
  client: AdminClient,
  wanted: number | undefined,
  deadline: number,
): Promise<Force | undefined> {
  while (performance.now() < deadline) {
    const force = await client.force();
    if (force.isOk && isInForce(force.value, wanted ?? force.value.version)) {
      return force.value;
    }
    await sleep(POLL_EVERY_MS);
  }
  return undefined;
}

function isInForce(force: Force, version: number): boolean {
  const versions = force.daemons.map((daemon) => daemon.version);
  return force.version >= version &&
    versions.every((known) => known >= version);
}

async function lateDaemons(
  client: AdminClient,
  wanted: number | undefined,
): Promise<string[]> {
  const force = await client.force();
  if (force.isErr) {
    return [force.error.message];
  }
  const version = wanted ?? force.value.version;
  const late = force.value.daemons.filter((daemon) => daemon.version < version);
  return late.map((daemon) =>
    daemon.version < 0
      ? `${daemon.instance} does not answer`
      : `${daemon.instance} has version ${daemon.version}`
  );
}

async function showMeasures(
  client: AdminClient,
  force: Force,
  options: WatchOptions & { afterMs: number },
): Promise<void> {
  const status = await client.status();
  if (status.isErr) {
    writeAdminError(status.error, options);
    return;
  }
  const afterMs = Math.round(options.afterMs);
  const daemons = force.daemons.length;
  const result = {
    version: force.version,
    daemons,
    afterMs,
    status: status.value,
  };
  const format = () =>
    `Version ${force.version} is in force in ${daemons} daemons, seen after ${afterMs} ms\n\n` +
    formatStatus(status.value);
  writeResult(result, { json: options.json, format });
}
