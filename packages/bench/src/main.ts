/**
 * Command `npm run bench -- NAME`: runs one experiment, prints its table and writes a JSON file and plots.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import sade from "sade";
import { createRandom } from "@bulrushwood/types";
import type { Experiment, Report } from "./experiment.ts";
import { experiments } from "./experiments.ts";
import { drawBars, formatFigure } from "./plot.ts";

const RESULTS_DIRECTORY = "results";

interface MainOptions {
  seed: string | number;
  scale: string | number;
  json?: string;
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function listExperiments(): void {
  for (const { name, description } of experiments) {
    printLine(`${name.padEnd(16)} ${description}`);
  }
}

function formatReport(report: Report): string {
  const columns = Object.keys(report.rows[0]?.figures ?? {});
  const cells = [
    ["", ...columns],
    ...report.rows.map(({ name, figures }) => [
      name,
      ...columns.map((column) => formatFigure(figures[column])),
    ]),
  ];
  const widths = cells[0].map((_, column) => Math.max(...cells.map((row) => row[column].length)));
  const lines = cells.map((row) =>
    row.map((cell, column) => column === 0 ? cell.padEnd(widths[0]) : cell.padStart(widths[column]))
      .join("  ")
  );
  const goals = report.goals.map(({ what, measured, atMost }) => {
    const verdict = measured <= atMost ? "met" : "not met";
    return `${what}: ${formatFigure(measured)}, goal at most ${formatFigure(atMost)}: ${verdict}`;
  });
  return [report.explanation, "", ...lines, "", ...goals].join("\n");
}

function drawPlots(report: Report): void {
  report.plots.forEach(({ title, column }, index) => {
    const path = join(RESULTS_DIRECTORY, `${report.name}${index === 0 ? "" : `-${index + 1}`}.png`);
    const bars = report.rows.map(({ name, figures }) => ({ label: name, value: figures[column] }));
    drawBars(path, bars, { title: `${title} (${column})` });
    printLine(`plot: ${path}`);
  });
}

async function runExperiment(experiment: Experiment, options: MainOptions): Promise<void> {
  const seed = Number(options.seed);
  const random = createRandom(seed);
  const report = await experiment.run({ seed, random, scale: Number(options.scale) });
  mkdirSync(RESULTS_DIRECTORY, { recursive: true });
  printLine(formatReport(report));
  const path = options.json ?? join(RESULTS_DIRECTORY, `${report.name}.json`);
  writeFileSync(path, `${JSON.stringify({ seed, ...report }, undefined, 2)}\n`);
  printLine(`figures: ${path}`);
  drawPlots(report);
}

async function runNamed(name: string, options: MainOptions): Promise<void> {
  if (name === "list") {
    listExperiments();
    return;
  }
  const experiment = experiments.find((one) => one.name === name);
  if (experiment === undefined) {
    const names = experiments.map((one) => one.name).join(", ");
    process.stderr.write(`Unknown experiment "${name}"; the experiments are: ${names}\n`);
    process.exitCode = 1;
    return;
  }
  await runExperiment(experiment, options);
}

sade("bench <name>", true)
  .describe("Run an experiment; `list` prints the names of all.")
  .option("--seed", "Seed of the load and the faults", 1)
  .option("--scale", "Factor on the usual duration or number of trials", 1)
  .option("--json", "Path of the JSON file")
  .action(runNamed)
  .parse(process.argv);
