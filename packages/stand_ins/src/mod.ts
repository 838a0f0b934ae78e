/**
 * Stand-ins for the systems around bulrushwood: the platform's log, the deployment's store, backend servers and the
 * network between data centres; and what tests do to their own process.
 */
export {
  type BackendControl,
  BackendServer,
  type BackendServerOptions,
  type Work,
  WorkState,
} from "./backend_server.ts";
export { type FollowedTable, followTable } from "./followed_table.ts";
export { closeServer, listenOn, readBody, sendJson } from "./http_tools.ts";
export { appendEntry, newRecordId, publishPool } from "./ledger_records.ts";
export { AppendMode, type LogControl, LogService, type LogServiceOptions } from "./log_service.ts";
export { Network, type NetworkHost } from "./network.ts";
export { findFreePort } from "./ports.ts";
export { blockEventLoop } from "./stall.ts";
export {
  AppendFault,
  type KeyedStoreOptions,
  KeyedStoreService,
  type StoreCopy,
} from "./keyed_store.ts";
export { Direction, TcpProxy } from "./tcp_proxy.ts";
