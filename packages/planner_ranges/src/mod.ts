/**
 * Which server should own which keys. Nothing here acts; callers carry the plans out.
 */
export { type Candidate, capacities, type Piece } from "./capacity.ts";
export { LoadMeter } from "./load_meter.ts";
export {
  firstPlanner,
  GIVE_METHOD,
  mayOwn,
  PlannerEvent,
  RangePlanner,
  type RangePlannerOptions,
} from "./range_planner.ts";
export { type Move, rebalance } from "./rebalance.ts";
export { cutEvenly, joinNeighbours, spread, spreadEvenly } from "./spread.ts";
