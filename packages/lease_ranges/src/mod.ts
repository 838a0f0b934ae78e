/**
 * The keys that the server beside one daemon owns: tenure, grants, hand-over.
 */
export {
  Granting,
  type GrantingOptions,
  KeyState,
  type OrderAnswer,
  type SendOrder,
} from "./granting.ts";
export { type OwnServer, TenureKeeper, type TenureKeeperOptions } from "./tenure_keeper.ts";
