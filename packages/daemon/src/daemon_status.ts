/**
 * Status of one daemon, for the administration API and as gauges.
 */
import type { DaemonStatus } from "@bulrushwood/admin";
import type { Follower, Ledger } from "@bulrushwood/ledger";
import type { Leases } from "@bulrushwood/lease";
import type { Planner } from "@bulrushwood/planner";
import type { Links } from "@bulrushwood/protocol";
import type { DaemonSettings } from "@bulrushwood/settings";
import type { Address, Incarnation } from "@bulrushwood/types";
import type { Metrics } from "./metrics.ts";
import type { LocalServer } from "./local_server.ts";

/** Components that the status is read from. */
export interface StatusSources {
  settings: DaemonSettings;
  address: Address;
  ledger: Ledger;
  follower: Follower;
  metrics: Metrics;
  server: LocalServer;
  links: Links;
  incarnation: Incarnation;
  /** Absent until the daemon has joined. */
  leases: Leases | undefined;
  planner: Planner | undefined;
}

/** Reads the current status of a daemon. */
export function readStatus(sources: StatusSources): DaemonStatus {
  const { settings, address, ledger, follower, metrics, leases, planner } = sources;
  const held = leases?.held ?? [];
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
    inFlight: leases?.inFlight ?? 0,
    leases: leases?.describe() ?? [],
    server: readServerStatus(sources.server),
    served: metrics.served,
    classes: metrics.classes,
    unavailable: metrics.unowned,
  };
}

function readServerStatus(server: LocalServer): DaemonStatus["server"] {
  if (server.announcement === undefined) {
    return null;
  }
  const { pool, slots, draining, checksGrants } = server.announcement;
  const { running, waiting } = server.admission;
  return { pool, slots, draining, checksGrants, running, waiting, limit: server.limit };
}

/** Adds the gauges of a daemon to its metrics. */
export function addGauges(metrics: Metrics, sources: StatusSources): void {
  const { ledger, follower, server, links, leases } = sources;
  const add = (name: string, help: string, read: () => number) =>
    metrics.addGauge(`bulrushwood_${name}`, help, { read });
  const version = () => ledger.configuration?.version ?? 0;
  add("log_offset", "Last folded offset of the log", () => ledger.appliedOffset);
  add("configuration_version", "Configuration in force", version);
  add("log_reachable", "1 while the log answers", () => follower.isReachable ? 1 : 0);
  add("groups_held", "Lease groups held", () => leases?.held.length ?? 0);
  add("requests_in_flight", "Keyed requests at the backend server", () => leases?.inFlight ?? 0);
  add("requests_waiting", "Requests waiting for a slot", () => server.admission.waiting);
  add("links", "Links to other daemons", () => links.count);
  add("link_bytes", "Bytes sent and received on links", () => links.bytes);
}
