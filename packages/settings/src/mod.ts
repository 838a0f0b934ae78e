/**
 * Reads and validates daemon settings and the operators' configuration.
 */
export * from "./configuration.ts";
export * from "./daemon_settings.ts";
export { type Fault, formatFault, SettingsError } from "./fault.ts";
