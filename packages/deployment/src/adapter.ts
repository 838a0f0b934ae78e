/**
 * All that an adapter gives the product.
 */
import type { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import type { CallerWire } from "./caller_wire.ts";
import type { Manifest } from "./manifest.ts";
import type { ServerWire } from "./server_wire.ts";
import type { DeploymentSettings } from "./settings.ts";
import type { Store } from "./store.ts";

/** A deployment as the product meets it. */
export interface Adapter {
  /** Where the settings file lies; undefined when the environment does not say. */
  settingsPath(environment: Record<string, string | undefined>): string | undefined;
  /** Decodes the settings; the error names the field and what it should be. */
  readSettings(text: string): Result<DeploymentSettings, Error>;
  openStore(settings: DeploymentSettings): Store;
  /** Topic and key under which operators publish the manifest. */
  manifestPlace: { topic: string; key: string };
  /** Decodes a manifest; the error names the field and what it should be. */
  readManifest(value: Buffer): Result<Manifest, Error>;
  callers: CallerWire;
  servers: ServerWire;
}
