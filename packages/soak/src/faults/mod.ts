/**
 * All kinds of faults by area.
 */
import { DURABILITY } from "./durability.ts";
import type { Fault } from "./fault.ts";
import { MANIFESTS } from "./manifests.ts";
import { NETWORK } from "./network.ts";
import { RESOURCES } from "./resources.ts";
import { SERVERS } from "./servers.ts";
import { SIGNALS } from "./signals.ts";
import { STORE } from "./store.ts";

/** Faults of each area. */
export const FAULTS: Record<string, Fault[]> = {
  signals: SIGNALS,
  manifests: MANIFESTS,
  servers: SERVERS,
  network: NETWORK,
  durability: DURABILITY,
  resources: RESOURCES,
  store: STORE,
};

/** Returns the faults that have one of the names, or are of one of the areas. */
export function chooseFaults(names: string[]): Fault[] {
  return Object.entries(FAULTS).flatMap(([area, faults]) =>
    faults.filter(({ name }) => names.includes(area) || names.includes(name))
  );
}
