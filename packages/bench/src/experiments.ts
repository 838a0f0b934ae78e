/**
 * List of the experiments.
 */
import type { Experiment } from "./experiment.ts";
import { control } from "./control.ts";
import { forwarding } from "./forwarding.ts";
import { plannedSize } from "./planned_size.ts";
import { slopes } from "./slopes.ts";
import { unavailability } from "./unavailability.ts";

/** All experiments, in the order in which they are listed. */
export const experiments: Experiment[] = [forwarding, unavailability, control, plannedSize, slopes];
