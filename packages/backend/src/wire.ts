/**
 * The HTTP protocol between a daemon and the backend server beside it: the server's announcements, grants, and
 * the headers of requests and responses.
 */
import { z } from "zod";

/** Request header: the request's id. */
export const REQUEST_ID_HEADER = "bulrushwood-request-id";
/** Request header: the grant under which the request may run, in the format of `formatGrant`. */
export const GRANT_HEADER = "bulrushwood-grant";
/** Request header: milliseconds for which the caller still waits for the response. */
export const DEADLINE_HEADER = "bulrushwood-deadline-ms";
/** Request header: the key, URL-encoded, for servers that order grants by key. */
export const KEY_HEADER = "bulrushwood-key";
/** Response header: why the server rejected the request without running any of it. */
export const REFUSED_HEADER = "bulrushwood-refused";
/** Daemon's path for announcements. */
export const ANNOUNCE_PATH = "/announce";
/** Server's path for extensions of grants. */
export const GRANTS_PATH = "/bulrushwood/grants";
/** Server's path under which a DELETE stops a running request by its id. */
export const REQUESTS_PATH = "/bulrushwood/requests";

/** Announcement that a backend server sends several times a second. */
export const announcementSchema = z.strictObject({
  /** Id of this incarnation of the server. */
  life: z.string().min(1).max(64),
  /** Port for requests, on the daemon's own instance. */
  port: z.number().int().min(1).max(65_535),
  pool: z.string().min(1).max(63),
  /** Number of requests that the server can run at once. */
  slots: z.number().int().min(1).max(10_000),
  /** Number of connections that the server accepts. */
  connections: z.number().int().min(1).max(100_000),
  /** Whether the server rejects work whose grant has expired. */
  checksGrants: z.boolean(),
  /** Whether the server accepts no new work. */
  draining: z.boolean(),
  /** The server's clock when it wrote the announcement, in milliseconds. */
  clockMs: z.number().min(0),
  /** Load as the server reports it. The value may lag or mislead, so it is only for display. */
  load: z.number().min(0).optional(),
});

export type Announcement = z.infer<typeof announcementSchema>;

/** Body of a request that extends the grants of lease groups with running work. */
export const grantExtensionSchema = z.strictObject({
  life: z.string(),
  grants: z.array(
    z.strictObject({ group: z.number().int(), untilMs: z.number() }),
  ),
});
export type GrantExtension = z.infer<typeof grantExtensionSchema>;

/** Right of a server to run one request. */
export interface Grant {
  /** Id of the server's incarnation for which the grant was made. */
  life: string;
  group: number;
  /** Orders successive holders of a key: move offset, step and incarnation, joined by dots. */
  token: string;
  /** End of the grant on the server's own clock, in milliseconds. */
  untilMs: number;
}

/** Formats a grant as a header value. */
export function formatGrant(grant: Grant): string {
  return `${grant.life}/${grant.group}/${grant.token}/${Math.floor(grant.untilMs)}`;
}

/** Parses a header value; returns undefined when it is malformed. */
export function parseGrant(text: string): Grant | undefined {
  const [life, group, token, untilMs, ...rest] = text.split("/");
  const isWellFormed = untilMs !== undefined && rest.length === 0 &&
    /^\d+\.\d+\.\d+$/.test(token);
  if (
    !isWellFormed || !Number.isFinite(Number(untilMs)) ||
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
