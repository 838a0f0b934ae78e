/**
 * Communication with the backend server beside a daemon: announcements, clock conversion and requests.
 */
export { type AnnouncedServer, Announcements, type AnnouncementsOptions } from "./announcements.ts";
export { BackendClient, type BackendRequest, type RequestLease } from "./backend_client.ts";
export { BackendError, BackendErrorKind } from "./errors.ts";
export { ServerClock } from "./server_clock.ts";
export * from "./wire.ts";
