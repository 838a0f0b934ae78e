/**
 * Placement of shards: which lease groups exist, which shards move between them, and which daemon plans.
 */
export { GroupCandidates } from "./group_candidates.ts";
export { type Move, type Plan, planPool } from "./placement.ts";
export { Planner, type PlannerOptions } from "./planner.ts";
