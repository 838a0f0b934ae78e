/**
 * The interface that connects the product to one kind of deployment.
 */
import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import type { CallerWire } from "./caller_wire.ts";
import type { Manifest } from "./manifest.ts";
import type { ServerWire } from "./server_wire.ts";
import type { DeploymentSettings } from "./settings.ts";
import type { KeyedValue, Store } from "./store.ts";

/** Whether nothing may be sent to the backend servers of a data centre. */
export interface EvacuationOrder {
  dataCentre: string;
  isEvacuated: boolean;
}

/** The formats and protocols of one kind of deployment. */
export interface Adapter {
  /** Returns the path of the settings file; undefined if the environment does not set one. */
  settingsPath(environment: Record<string, string | undefined>): string | undefined;
  /** Decodes the settings; the error names the invalid field and the expected value. */
  readSettings(text: string): Result<DeploymentSettings, Error>;
  openStore(settings: DeploymentSettings): Store;
  /** Topic and key of the store under which operators publish the manifest. */
  manifestLocation: { topic: string; key: string };
  /** Decodes a manifest; the error names the invalid field and the expected value. */
  readManifest(value: Buffer): Result<Manifest, Error>;
  /** Decodes a record of the topic of the manifest that evacuates a data centre or ends its evacuation; undefined for others. */
  readEvacuation?(item: KeyedValue): EvacuationOrder | undefined;
  callers: CallerWire;
  servers: ServerWire;
}
