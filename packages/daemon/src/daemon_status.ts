/**
 * What a daemon tells of itself, for the administration API and as metrics.
 */
import type { DaemonStatus } from "@bulrushwood/admin";
import type { Follower, Ledger } from "@bulrushwood/ledger";
import type { Leases } from "@bulrushwood/lease";
import type { Planner } from "@bulrushwood/planner";
import type { Links } from "@bulrushwood/protocol";
import type { DaemonSettings } from "@bulrushwood/settings";
import type { Address, Incarnation } from "@bulrushwood/types";
import type { Measures } from "./measures.ts";
import type { ServerSide } from "./server_side.ts";

/** Where the state is read from. */
export interface StatusSources {
  settings: DaemonSettings;
  address: Address;
  ledger: Ledger;
  follower: Follower;
  measures: Measures;
  server: ServerSide;
  links: Links;
  incarnation: Incarnation;
  /** Absent before the daemon has joined. */
  keeper: Leases | undefined;
  planner: Planner | undefined;
}

/** Reads the state of a daemon. */
export function readStatus(sources: StatusSources): DaemonStatus {
  const { settings, address, ledger, follower, measures, keeper, planner } = sources;
  const held = keeper?.held ?? [];
  return {
    instance: settings.instance,
    address,
    dataCentre: settings.dataCentre,
    incarnation: sources.incarnation,
    presence: ledger.instances.get(address)?.presence ?? "starting",
    folded: ledger.appliedOffset,
    logReachable: follower.isReachable,
    configurationVersion: ledger.configuration?.version ?? 0,
    isPlanner: planner?.hasClaim ?? false,
    groupsHeld: held.length,
    shardsHeld: held.reduce((sum, tenure) => sum + tenure.group.shards, 0),
    inFlight: keeper?.inFlight ?? 0,
    leases: keeper?.describe() ?? [],
    server: readServerStatus(sources.server),
    served: measures.served,
    classes: measures.classes,
    unavailable: measures.unowned,
  };
}

function readServerStatus(server: ServerSide): DaemonStatus["server"] {
  if (server.announcement === undefined) {
    return null;
  }
  const { pool, slots, draining, checksGrants } = server.announcement;
  const { running, waiting } = server.admission;
  return { pool, slots, draining, checksGrants, running, waiting, limit: server.limit };
}

/** Adds the figures that are read when metrics are asked for. */
export function addGauges(measures: Measures, sources: StatusSources): void {
  const { ledger, follower, server, links, keeper } = sources;
  const add = (name: string, help: string, read: () => number) =>
    measures.addGauge(`bulrushwood_${name}`, help, { read });
  const version = () => ledger.configuration?.version ?? 0;
  add("log_offset", "Last folded offset of the log", () => ledger.appliedOffset);
  add("configuration_version", "Configuration in force", version);
  add("log_reachable", "1 while the log answers", () => follower.isReachable ? 1 : 0);
  add("groups_held", "Lease groups held", () => keeper?.held.length ?? 0);
  add("requests_in_flight", "Keyed requests at the backend server", () => keeper?.inFlight ?? 0);
  add("requests_waiting", "Requests waiting for a slot", () => server.admission.waiting);
  add("links", "Links to other daemons", () => links.count);
  add("link_bytes", "Bytes sent and received on links", () => links.bytes);
}
