/**
 * Identifies the content of requests, whose ids differ each time they are sent.
 */
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { RequestHead } from "@bulrushwood/protocol";

/** Length of a fingerprint in base64 characters; equal ones of different requests are practically impossible. */
const FINGERPRINT_CHARACTERS = 20;

/** Returns the fingerprint of a request: of its service, method, path, key and body, not of its headers. */
export function fingerprintOf(
  { pool, method, path, shard }: RequestHead,
  body: Buffer | undefined,
): string {
  const hash = createHash("sha256").update(JSON.stringify([pool, method, path, shard]));
  return hash.update(body ?? "").digest("base64url").slice(0, FINGERPRINT_CHARACTERS);
}
