/**
 * The interface that connects the product to one kind of deployment.
 */
import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import type { CallerWire } from "./caller_wire.ts";
import type { Manifest } from "./manifest.ts";
import type { ServerWire } from "./server_wire.ts";
import type { DeploymentSettings } from "./settings.ts";
import type { Store } from "./store.ts";

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
  callers: CallerWire;
  servers: ServerWire;
}
