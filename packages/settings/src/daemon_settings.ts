/**
 * The settings of one daemon: its identity, its addresses, the log, timeouts and limits.
 */
import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import { Result } from "true-myth";
import { z } from "zod";
import { parseDocument } from "./document.ts";
import { SettingsError } from "./fault.ts";

/** Splits `IP:port` without validation. An IPv6 host is written in brackets, which are removed. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

function isAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  return isIP(host) !== 0 && Number.isInteger(port) && port > 0 &&
    port <= 65_535;
}

const address = z.string().refine(isAddress, {
  message: 'an IP number and a port, such as "10.0.0.1:7000"',
});

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
  message: "a name of small letters, digits and hyphens, at most 63 long",
});

const url = z.string().regex(/^http:\/\/[0-9a-f.:[\]]+:\d+$/, {
  message: 'an http URL with an IP number and a port, such as "http://10.0.0.9:5000"',
});

const listen = z.strictObject({
  callers: address,
  peers: address,
  /** Address at which peers reach this daemon, if it differs from the address that the daemon listens on. */
  peersSeenAs: address.optional(),
  backend: address,
  admin: address,
});

const log = z.strictObject({
  url,
  pollWaitMs: z.number().int().min(10).max(60_000).default(2_000),
  requestTimeoutMs: z.number().int().min(50).max(60_000).default(5_000),
  snapshotEveryRecords: z.number().int().min(10).max(1_000_000).default(5_000),
  snapshotEveryMs: z.number().int().min(500).max(86_400_000).default(600_000),
});

const lease = z.strictObject({
  durationMs: z.number().int().min(100).max(60_000).default(1_000),
  driftMarginMs: z.number().int().min(1).max(10_000).default(50),
});

const membership = z.strictObject({
  heartbeatMs: z.number().int().min(20).max(10_000).default(500),
  lostAfterMs: z.number().int().min(100).max(600_000).default(3_000),
  announceTimeoutMs: z.number().int().min(100).max(60_000).default(600),
});

const limits = z.strictObject({
  headerBytes: z.number().int().min(256).max(1_048_576).default(16_384),
  keyBytes: z.number().int().min(1).max(65_536).default(512),
  bodyBytes: z.number().int().min(0).max(1_073_741_824).default(67_108_864),
  handoverWaitMs: z.number().int().min(0).max(60_000).default(3_000),
  requestRecordMs: z.number().int().min(1_000).max(3_600_000).default(120_000),
  idempotencyMs: z.number().int().min(1_000).max(86_400_000).default(600_000),
  idempotencyEntries: z.number().int().min(1).max(10_000_000).default(100_000),
  shutdownMs: z.number().int().min(100).max(600_000).default(30_000),
});

/** Schema of a daemon's settings file. */
export const daemonSettingsSchema = z.strictObject({
  instance: name,
  dataCentre: name,
  region: name,
  listen,
  log,
  lease: lease.prefault({}),
  membership: membership.prefault({}),
  limits: limits.prefault({}),
  logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

/** Settings of one daemon. Times are in milliseconds, sizes in bytes. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;

/** Parses and validates the text of a settings file; errors name it as `source`. */
export function parseDaemonSettings(
  text: string,
  source: string,
): Result<DaemonSettings, SettingsError> {
  return parseDocument(text, source, { schema: daemonSettingsSchema });
}

/** Reads a file as text; the error has the operating system's error code. */
export function readSettingsText(path: string): Result<string, SettingsError> {
  try {
    return Result.ok(readFileSync(path, "utf8"));
  } catch (error) {
    const found = (error as NodeJS.ErrnoException).code ?? String(error);
    const fault = {
      field: "",
      line: 1,
      column: 1,
      found,
      expected: "a file that can be read",
    };
    return Result.err(new SettingsError(path, [fault]));
  }
}

/** Reads, parses and validates a daemon's settings file. */
export function loadDaemonSettings(
  path: string,
): Result<DaemonSettings, SettingsError> {
  return readSettingsText(path).andThen((text) => parseDaemonSettings(text, path));
}
