/**
 * All experiments.
 */
import type { Experiment } from "./experiment.ts";
import { forwarding } from "./forwarding.ts";

/** All experiments, in the order in which they are listed. */
export const experiments: Experiment[] = [forwarding];
