/**
 * Routing of requests: matches routes, finds the daemon that may run a request, forwards it, and records its
 * outcome.
 */
export { notRun, outcomeResponse, type RoutedResponse, unknown } from "./response.ts";
export { forward, type ForwardOptions, holderUnreachable, type Target } from "./forwarding.ts";
export {
  IdempotencyMemory,
  type IdempotencyOptions,
  type KeyLookup,
  KeyStatus,
  type StoredResponse,
} from "./idempotency.ts";
export { createShardOf, type ShardOf } from "./key_hash.ts";
export { chooseShare, ManifestRoutes } from "./manifest_routes.ts";
export { OpenRequests } from "./open_requests.ts";
export { OwnerFinder, type Owners } from "./owners.ts";
export { waitLimitMs, type WaitLimitOptions } from "./wait_limit.ts";
export { RequestRecords, RequestState } from "./request_records.ts";
export { RetryBudget } from "./retry_budget.ts";
export { type RouteMatch, RouteTable } from "./route_table.ts";
export { type ChoiceOptions, type ServerLoad, TwoChoices } from "./two_choices.ts";
