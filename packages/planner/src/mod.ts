/**
 * Placement of shards: lease groups, moves, and whose proposals count.
 */
export { Cast } from "./cast.ts";
export { type Move, type Plan, planPool } from "./placement.ts";
export { Planner, type PlannerOptions } from "./planner.ts";
