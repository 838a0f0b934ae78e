/**
 * Deployments and configurations that tests share.
 */
import { readFileSync } from "node:fs";
import { type Configuration, parseConfiguration } from "@bulrushwood/settings";
import { Deployment, type DeploymentOptions, type InstanceOptions } from "./deployment.ts";
import { Session } from "./session.ts";

const DATA_CENTRES = ["carapungo", "calderon", "pomasqui"];

/** Reads the example configuration of Tamborín, with fewer shards so that sessions start fast. */
export function readTamborin(): Configuration {
  const path = "examples/tamborin.jsonc";
  const parsed = parseConfiguration(readFileSync(path, "utf8"), path);
  if (parsed.isErr) {
    throw parsed.error;
  }
  const configuration = structuredClone(parsed.value);
  configuration.pools.despacho.shards = 16;
  return configuration;
}

/** Creates options for instances of pool `despacho`, spread over three data centres. */
export function despachoInstances(
  count: number,
  options: Partial<InstanceOptions> = {},
): InstanceOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `despacho-${index + 1}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
    pool: "despacho",
    ...options,
  }));
}

/** Creates options for instances of pool `inspeccion`, spread over three data centres. */
export function inspeccionInstances(count: number): InstanceOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `inspeccion-${index + 1}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
    pool: "inspeccion",
  }));
}

/** Runs `body` with a deployment whose configuration is in force and whose keys all have an owner. */
export async function withDeployment(
  options: DeploymentOptions,
  body: (deployment: Deployment, session: Session) => Promise<void>,
): Promise<void> {
  const deployment = await Deployment.start(options);
  try {
    const first = deployment.names[0];
    await deployment.publish(first, readTamborin(), 0);
    await deployment.waitUntilSettled(first);
    await body(deployment, new Session(deployment));
  } finally {
    await deployment.close();
  }
}

/** Finds the owner, successor and witness of a key, and all instances except the owner. */
export async function findOwner(
  deployment: Deployment,
  key: string,
  options: { via?: string } = {},
): Promise<{ owner: string; successor: string; witness: string; others: string[] }> {
  const { via = deployment.names[0] } = options;
  const explained = await deployment.admin(via).explain("despacho", key);
  if (explained.isErr) {
    throw explained.error;
  }
  const { owner, successor, witness } = explained.value;
  const others = deployment.names.filter((name) => name !== owner);
  return { owner, successor, witness, others };
}
