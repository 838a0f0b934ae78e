/**
 * What every experiment gives: a table of figures, which are also written as JSON and as a plot.
 */
import type { Random } from "@bulrushwood/types";

/** One row of figures; the first column names it. */
export interface Row {
  name: string;
  /** Figures by the name of their column. */
  figures: Record<string, number>;
}

/** A goal that a figure should meet. */
export interface Goal {
  what: string;
  measured: number;
  /** The figure should be at most this. */
  atMost: number;
}

/** A bar for each row, of one column. */
export interface Plot {
  title: string;
  column: string;
}

/** What an experiment found. */
export interface Report {
  name: string;
  /** What the figures mean, in a sentence or two. */
  explanation: string;
  rows: Row[];
  goals: Goal[];
  plots: Plot[];
}

/** How an experiment is run. */
export interface ExperimentOptions {
  seed: number;
  random: Random;
  /** Share of the usual length; less for a quick trial. */
  scale: number;
}

/** An experiment. */
export interface Experiment {
  name: string;
  describes: string;
  run: (options: ExperimentOptions) => Promise<Report>;
}
