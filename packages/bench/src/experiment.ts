/**
 * Types of an experiment and of its report, which is printed as a table and written as JSON and plots.
 */
import type { Random } from "@bulrushwood/types";

/** Row of the table. */
export interface Row {
  /** Label in the first column. */
  name: string;
  /** Figures by column name. */
  figures: Record<string, number>;
}

/** Upper limit that a figure should meet. */
export interface Goal {
  what: string;
  measured: number;
  atMost: number;
}

/** Bar chart of one column, with a bar for each row. */
export interface Plot {
  title: string;
  column: string;
}

/** Results of an experiment. */
export interface Report {
  name: string;
  /** Meaning of the figures, in a sentence or two. */
  explanation: string;
  rows: Row[];
  goals: Goal[];
  plots: Plot[];
}

/** Options of one run. */
export interface ExperimentOptions {
  seed: number;
  random: Random;
  /** Factor on the usual duration or number of trials; below 1 for a quick trial. */
  scale: number;
}

export interface Experiment {
  name: string;
  /** One line for the list of experiments. */
  description: string;
  run: (options: ExperimentOptions) => Promise<Report>;
}
