/**
 * The product's view of the deployment that it runs on: settings, a store, a manifest, and the protocols
 * of callers and backend servers. An adapter decodes the deployment's own formats into these types.
 */
export type { CallerRequest, CallerWire } from "./caller_wire.ts";
export { type Manifest, type Route, RouteKind, type Service, type Share } from "./manifest.ts";
export type {
  GrantOrder,
  GrantRow,
  GrantRows,
  Order,
  ReleaseOrder,
  ServerLoad,
  ServerNotice,
  ServerRequest,
  ServerResponseHead,
  ServerWire,
} from "./server_wire.ts";
export {
  type HeldKeys,
  incarnationName,
  isSameIncarnation,
  type ReleasedKeys,
  type ServerIdentity,
  type ServerReport,
  ServerState,
  type StatusReport,
} from "./server_report.ts";
export {
  type ColdRequests,
  type DeploymentSettings,
  type Endpoint,
  GrantDelivery,
} from "./settings.ts";
export {
  type Appended,
  type Item,
  type KeyedPage,
  type KeyedRead,
  type KeyedValue,
  type Store,
  StoreError,
  StoreErrorKind,
  type StoreResponse,
} from "./store.ts";
export type { Adapter, EvacuationOrder } from "./adapter.ts";
