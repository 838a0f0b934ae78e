/**
 * Communication with the backend server beside a daemon: announcements, clock conversion and requests.
 */
export { Announcements, type AnnouncementsOptions, type Neighbour } from "./announcements.ts";
export { BackendClient, type BackendRequest, type Cover } from "./backend_client.ts";
export { BackendError, BackendErrorKind } from "./errors.ts";
export { ServerClock } from "./server_clock.ts";
export * from "./wire.ts";
