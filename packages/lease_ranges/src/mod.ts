/**
 * Ownership of keys by the backend server of one daemon: its tenure, its grants and the handover of keys.
 */
export type {
  Grant,
  GrantChannel,
  GrantContext,
  Handover,
  OpenGrantChannel,
} from "./grant_channel.ts";
export { GRANT_MARGIN_MS } from "./grant_channel.ts";
export { GrantManager, type GrantManagerOptions, KeyState } from "./grant_manager.ts";
export {
  OrderChannel,
  type OrderChannelOptions,
  type OrderConnection,
  type OrderResponse,
  type SendOrder,
} from "./order_channel.ts";
export {
  ALL_REPORT_RULES,
  ReportChannel,
  type ReportChannelOptions,
  type ReportRules,
  reportSupportMs,
} from "./report_channel.ts";
export { type OwnServer, TenureManager, type TenureManagerOptions } from "./tenure_manager.ts";
