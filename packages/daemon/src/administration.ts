/**
 * Actions of the administration API: publishes configurations, reports the status of the system,
 * explains where a key is, drains instances and records that an operator declares one lost.
 */
import { Result } from "true-myth";
import {
  type AcceptedPublication,
  type AdminActions,
  AdminError,
  AdminErrorKind,
  type DaemonStatus,
  daemonStatusSchema,
  type Explanation,
  type InstanceRequest,
  type Publication,
  type SystemStatus,
  type VersionsInForce,
} from "@bulrushwood/admin";
import {
  type Instance,
  type Ledger,
  LedgerError,
  LedgerErrorKind,
  Presence,
  RecordKind,
  type Submitter,
} from "@bulrushwood/ledger";
import type { ShardOf } from "@bulrushwood/routing";
import { parseConfiguration, type SettingsError } from "@bulrushwood/settings";
import type { Address } from "@bulrushwood/types";
import type { Metrics } from "./metrics.ts";
import { STATUS_METHOD } from "./peers.ts";
import { summarise } from "./system_status.ts";

const PUBLISH_TIMEOUT_MS = 10_000;
const STATUS_TIMEOUT_MS = 1_000;
/** Method that drains a daemon. */
export const DRAIN_METHOD = "admin.drain";

/** Function that calls a method of a peer. */
type CallPeer = (
  peer: Address,
  method: string,
  payload: unknown,
  options: { timeoutMs: number },
) => Promise<Result<unknown, Error>>;

/** Dependencies of the actions. */
export interface AdministrationOptions {
  address: Address;
  ledger: Ledger;
  submitter: Submitter;
  metrics: Metrics;
  shardOf: ShardOf;
  call: CallPeer;
  newId: () => string;
  isReady: () => boolean;
  ownStatus: () => DaemonStatus;
  /** Drains this daemon. */
  drain: () => void;
}

/** Creates the actions of the administration API. */
export function createAdminActions(
  options: AdministrationOptions,
): AdminActions {
  const { ledger, metrics } = options;
  return {
    isReady: options.isReady,
    metrics: () => metrics.registry.metrics(),
    ownStatus: options.ownStatus,
    systemStatus: () => gatherStatus(options),
    configuration: () => {
      const { version, by, configuration } = ledger.configuration ??
        { version: 0, by: "", configuration: null };
      return { version, by, configuration };
    },
    publish: (publication) => publish(options, publication),
    versionsInForce: () => gatherVersionsInForce(options),
    explain: (pool, key) => explain(options, pool, key),
    drain: (request) => drain(options, request),
    declareLost: (request) => declareLost(options, request),
  };
}

async function publish(
  options: AdministrationOptions,
  publication: Publication,
): Promise<Result<AcceptedPublication, AdminError>> {
  const { ledger, submitter, newId } = options;
  const text = JSON.stringify(publication.configuration, undefined, 2) ?? "";
  const parsed = parseConfiguration(text, "the configuration");
  if (parsed.isErr) {
    return Result.err(malformedConfiguration(parsed.error));
  }
  const problems = ledger.configurationProblems(parsed.value);
  if (problems.length > 0) {
    const message = "The configuration cannot replace the one in force";
    return Result.err(
      new AdminError(AdminErrorKind.Malformed, message, { faults: problems }),
    );
  }
  const submitted = await submitter.submit({
    id: newId(),
    kind: RecordKind.ConfigurationPublished,
    expects: publication.expects,
    by: publication.by,
    configuration: parsed.value,
  }, { timeoutMs: PUBLISH_TIMEOUT_MS });
  return submitted
    .map((offset) => ({ version: publication.expects + 1, offset }))
    .mapErr(toAdminError);
}

function malformedConfiguration(error: SettingsError): AdminError {
  const faults = error.faults.map((fault) =>
    `${fault.field || "the configuration"}: found ${fault.found}, expected ${fault.expected}`
  );
  return new AdminError(AdminErrorKind.Malformed, error.message, { faults });
}

function toAdminError(error: LedgerError): AdminError {
  switch (error.kind) {
    case LedgerErrorKind.Conflict:
      return new AdminError(AdminErrorKind.Conflict, error.message);
    case LedgerErrorKind.Unsettled:
      return new AdminError(AdminErrorKind.Unsettled, error.message);
    default:
      return new AdminError(AdminErrorKind.Unavailable, error.message);
  }
}

function activeInstances(ledger: Ledger): Instance[] {
  const instances = [...ledger.instances.values()];
  const active = instances.filter((instance) =>
    instance.presence === Presence.Present ||
    instance.presence === Presence.Leaving
  );
  return active.sort((left, right) => left.name < right.name ? -1 : 1);
}

async function fetchStatus(
  options: AdministrationOptions,
  instance: Instance,
): Promise<DaemonStatus | undefined> {
  if (instance.address === options.address) {
    return options.ownStatus();
  }
  const timeoutMs = STATUS_TIMEOUT_MS;
  const reply = await options.call(instance.address, STATUS_METHOD, {}, {
    timeoutMs,
  });
  const parsed = daemonStatusSchema.safeParse(
    reply.isOk ? reply.value : undefined,
  );
  return parsed.success ? parsed.data : undefined;
}

async function gatherStatus(
  options: AdministrationOptions,
): Promise<SystemStatus> {
  const instances = activeInstances(options.ledger);
  const statuses = await Promise.all(
    instances.map((instance) => fetchStatus(options, instance)),
  );
  const daemons = statuses.filter((status) => status !== undefined);
  const silent = instances.filter((_, index) => statuses[index] === undefined);
  return summarise(options.ledger, daemons, {
    silent: silent.map((instance) => instance.name),
  });
}

async function gatherVersionsInForce(options: AdministrationOptions): Promise<VersionsInForce> {
  const instances = activeInstances(options.ledger);
  const statuses = await Promise.all(
    instances.map((instance) => fetchStatus(options, instance)),
  );
  const daemons = instances.map((instance, index) => ({
    instance: instance.name,
    version: statuses[index]?.configurationVersion ?? -1,
  }));
  return { version: options.ledger.configuration?.version ?? 0, daemons };
}

function explain(
  options: AdministrationOptions,
  pool: string,
  key: string,
): Result<Explanation, AdminError> {
  const { ledger, shardOf } = options;
  const table = ledger.pools.get(pool);
  if (table === undefined) {
    const poolNames = [...ledger.pools.keys()].join(", ") || "none";
    const message = `Pool "${pool}" is not a keyed pool; the keyed pools are: ${poolNames}`;
    return Result.err(new AdminError(AdminErrorKind.NotFound, message));
  }
  const shard = shardOf(key, table.size);
  const group = ledger.groups.get(table.groupOf(shard));
  if (group === undefined) {
    const message = `Shard ${shard} of pool "${pool}" has no owner yet`;
    return Result.err(new AdminError(AdminErrorKind.NotFound, message));
  }
  const names = group.members.map((member) =>
    ledger.instances.get(member.address)?.name ?? member.address
  );
  const sealing = table.predecessorsOf(shard).map((predecessor) => predecessor.group);
  return Result.ok({
    pool,
    key,
    shard,
    group: group.group,
    owner: names[group.step],
    successor: names[1] ?? "",
    witness: names[2] ?? "",
    step: group.step,
    since: table.moveOf(shard),
    sealing,
    why: `The key hashes to shard ${shard}; record ${table.moveOf(shard)} gave the shard to ` +
      `group ${group.group}, which ${names[group.step]} holds` +
      (group.step === 1 ? ` since it succeeded ${names[0]}` : ""),
  });
}

function findInstance(
  ledger: Ledger,
  name: string,
): Result<Instance, AdminError> {
  const instances = [...ledger.instances.values()];
  const found = instances.filter((instance) => instance.name === name || instance.address === name);
  const latest = found.sort((left, right) => right.incarnation - left.incarnation)[0];
  if (latest === undefined) {
    const instanceNames = instances.map((instance) => instance.name).join(", ");
    const message = `Instance "${name}" is not known; the known ones are: ${instanceNames}`;
    return Result.err(new AdminError(AdminErrorKind.NotFound, message));
  }
  return Result.ok(latest);
}

async function drain(
  options: AdministrationOptions,
  request: InstanceRequest,
): Promise<Result<object, AdminError>> {
  const found = findInstance(options.ledger, request.instance);
  if (found.isErr) {
    return Result.err(found.error);
  }
  const { address, name } = found.value;
  if (address === options.address) {
    options.drain();
    return Result.ok({ draining: name });
  }
  const timeoutMs = STATUS_TIMEOUT_MS;
  const reply = await options.call(address, DRAIN_METHOD, {}, { timeoutMs });
  if (reply.isErr) {
    const message = `Instance ${name} cannot be reached: ${reply.error.message}`;
    return Result.err(new AdminError(AdminErrorKind.Unavailable, message));
  }
  return Result.ok({ draining: name });
}

async function declareLost(
  options: AdministrationOptions,
  request: InstanceRequest,
): Promise<Result<object, AdminError>> {
  const found = findInstance(options.ledger, request.instance);
  if (found.isErr) {
    return Result.err(found.error);
  }
  const { address, incarnation, name } = found.value;
  const submitted = await options.submitter.submit({
    id: options.newId(),
    kind: RecordKind.InstanceLost,
    address,
    incarnation,
    by: request.by,
    declared: true,
  }, { timeoutMs: PUBLISH_TIMEOUT_MS });
  return submitted.map((offset) => ({ lost: name, incarnation, offset }))
    .mapErr(toAdminError);
}
