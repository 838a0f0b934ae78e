/**
 * From a request to the daemon that may run it, and what is remembered of requests on the way.
 */
export { type Answer, notRun, outcomeAnswer, unknown } from "./answer.ts";
export { forward, type ForwardOptions, lostTrack, type Target } from "./forwarding.ts";
export {
  Familiarity,
  type Finding,
  IdempotencyMemory,
  type IdempotencyOptions,
  type KeptAnswer,
} from "./idempotency.ts";
export { createShardOf, type ShardOf } from "./key_hash.ts";
export { chooseShare, ManifestRoutes } from "./manifest_routes.ts";
export { OwnerFinder, type Owners } from "./owners.ts";
export { patienceOf, type PatienceOptions } from "./patience.ts";
export { RequestRecords, RequestState } from "./request_records.ts";
export { RetryBudget } from "./retry_budget.ts";
export { type RouteMatch, RouteTable } from "./route_table.ts";
export { type ServerLoad, TwoChoices } from "./two_choices.ts";
