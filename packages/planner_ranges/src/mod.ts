/**
 * Plans which server should own which keys: first owners, owners of lost keys, and moves by load.
 */
export { type Candidate, capacities, type Piece } from "./capacity.ts";
export { LoadMeter } from "./load_meter.ts";
export {
  findPlanner,
  mayOwn,
  PlannerEvent,
  RangePlanner,
  type RangePlannerOptions,
  TRANSFER_METHOD,
} from "./range_planner.ts";
export { type Move, rebalance } from "./rebalance.ts";
export { cutEvenly, interleave, spread, spreadEvenly } from "./spread.ts";
