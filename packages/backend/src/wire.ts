/**
 * The wire between a daemon and the backend server beside it: announcements of the server, grants, and
 * the header fields of requests and answers.
 */
import { z } from "zod";

/** Header of a request to the server: the request's id. */
export const REQUEST_ID_HEADER = "bulrushwood-request-id";
/** Header of a request to the server: the grant that covers it, as `formatGrant` writes it. */
export const GRANT_HEADER = "bulrushwood-grant";
/** Header of a request to the server: milliseconds until nobody waits for the answer any more. */
export const DEADLINE_HEADER = "bulrushwood-deadline-ms";
/** Header of a request to the server: the key, for servers that order grants by key. */
export const KEY_HEADER = "bulrushwood-key";
/** Header of the server's answer when it refused the request without running any of it. */
export const REFUSED_HEADER = "bulrushwood-refused";
/** Path of the daemon that servers announce themselves at. */
export const ANNOUNCE_PATH = "/announce";
/** Path of the server that takes extensions of grants. */
export const GRANTS_PATH = "/bulrushwood/grants";
/** Path of the server under which a running request can be stopped by its id. */
export const REQUESTS_PATH = "/bulrushwood/requests";

/** What a backend server says of itself, several times a second. */
export const announcementSchema = z.strictObject({
  /** Names one life of the server. */
  life: z.string().min(1).max(64),
  /** Where it takes requests: a port on the daemon's own instance. */
  port: z.number().int().min(1).max(65_535),
  pool: z.string().min(1).max(63),
  /** Requests that it can run at once. */
  slots: z.number().int().min(1).max(10_000),
  /** Connections that it accepts. */
  connections: z.number().int().min(1).max(100_000),
  /** Whether it refuses work whose grant has run out. */
  checksGrants: z.boolean(),
  /** Whether it wants no new work. */
  draining: z.boolean(),
  /** Its own clock when it wrote the announcement, in milliseconds. */
  clockMs: z.number().min(0),
  /** Load as the server reports it; lags or misleads, so it is only shown to people. */
  load: z.number().min(0).optional(),
});

/** What a backend server says of itself. */
export type Announcement = z.infer<typeof announcementSchema>;

/** Extends the grants of lease groups whose work is still running. */
export const grantExtensionSchema = z.strictObject({
  life: z.string(),
  grants: z.array(
    z.strictObject({ group: z.number().int(), untilMs: z.number() }),
  ),
});
export type GrantExtension = z.infer<typeof grantExtensionSchema>;

/** The right to run one piece of work, as the server sees it. */
export interface Grant {
  /** Life of the server that the grant was made for. */
  life: string;
  group: number;
  /** Orders the holders of a key: move offset, step and incarnation, joined by dots. */
  token: string;
  /** End of the grant on the server's own clock, in milliseconds. */
  untilMs: number;
}

/** Writes a grant as a header value. */
export function formatGrant(grant: Grant): string {
  return `${grant.life}/${grant.group}/${grant.token}/${Math.floor(grant.untilMs)}`;
}

/** Reads a grant from a header value; undefined when it is malformed. */
export function parseGrant(text: string): Grant | undefined {
  const [life, group, token, untilMs, ...rest] = text.split("/");
  const isWhole = untilMs !== undefined && rest.length === 0 &&
    /^\d+\.\d+\.\d+$/.test(token);
  if (
    !isWhole || !Number.isFinite(Number(untilMs)) ||
    !Number.isInteger(Number(group))
  ) {
    return undefined;
  }
  return { life, group: Number(group), token, untilMs: Number(untilMs) };
}

/** Compares two tokens: negative when the left one is older. */
export function compareTokens(left: string, right: string): number {
  const leftParts = left.split(".").map(Number);
  const rightParts = right.split(".").map(Number);
  for (const [index, part] of leftParts.entries()) {
    if (part !== rightParts[index]) {
      return part - rightParts[index];
    }
  }
  return 0;
}
