/**
 * The administration API of a daemon: schemas, server and client.
 */
export { AdminClient } from "./client.ts";
export { AdminError, AdminErrorKind } from "./errors.ts";
export { type AdminActions, AdminServer, type ConfigurationDocument } from "./server.ts";
export * from "./wire.ts";
