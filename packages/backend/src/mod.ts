/**
 * The backend server beside a daemon: its announcements, its clock, and requests to it.
 */
export { Announcements, type AnnouncementsOptions, type Neighbour } from "./announcements.ts";
export { BackendClient, type BackendRequest, type Cover } from "./backend_client.ts";
export { BackendError, BackendErrorKind } from "./errors.ts";
export { ServerClock } from "./server_clock.ts";
export * from "./wire.ts";
