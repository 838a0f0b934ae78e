/**
 * Deployments and configurations that several tests share.
 */
import { readFileSync } from "node:fs";
import { type Configuration, parseConfiguration } from "@bulrushwood/settings";
import { Deployment, type DeploymentOptions, type InstanceOptions } from "./deployment.ts";
import { Session } from "./session.ts";

const DATA_CENTRES = ["carapungo", "calderon", "pomasqui"];

/** The example configuration of Tamborín, with fewer shards so that sessions start fast. */
export function tamborin(): Configuration {
  const path = "examples/tamborin.jsonc";
  const parsed = parseConfiguration(readFileSync(path, "utf8"), path);
  if (parsed.isErr) {
    throw parsed.error;
  }
  const configuration = structuredClone(parsed.value);
  configuration.pools.despacho.shards = 16;
  return configuration;
}

/** Some instances of pool `despacho`, spread over three data centres. */
export function despachos(
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

/** Some instances of pool `inspeccion`, spread over three data centres. */
export function inspeccions(count: number): InstanceOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `inspeccion-${index + 1}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
    pool: "inspeccion",
  }));
}

/** Runs a body with a deployment whose configuration is in force and whose placement has settled. */
export async function withDeployment(
  options: DeploymentOptions,
  body: (deployment: Deployment, session: Session) => Promise<void>,
): Promise<void> {
  const deployment = await Deployment.start(options);
  try {
    const first = deployment.names[0];
    await deployment.publish(first, tamborin(), 0);
    await deployment.settle(first);
    await body(deployment, new Session(deployment));
  } finally {
    await deployment.close();
  }
}

/** The instance that owns a key, and the others. */
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
