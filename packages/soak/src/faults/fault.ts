/**
 * A kind of fault that a soak plays.
 */
import type { Random } from "@bulrushwood/types";
import type { Deployment } from "../deployment.ts";

/** Kind of fault. Faults overlap: the soak does not wait for the one before. */
export interface Fault {
  name: string;
  /** Relative frequency. */
  weight: number;
  /** Whether it acts on the proxies of the daemons' connections. */
  needsProxies?: boolean;
  /** Plays the fault once, and resolves when it is over. Takes all random numbers from `random`. */
  play: (deployment: Deployment, random: Random) => Promise<void> | void;
}
