/**
 * Settings of a daemon and the operators' configuration: reading, checking and explaining faults.
 */
export * from "./configuration.ts";
export * from "./daemon_settings.ts";
export { type Fault, formatFault, SettingsError } from "./fault.ts";
