/**
 * The command `npm run soak`. Prints a report of each seed, and exits with 1 when there are findings.
 */
import process from "node:process";
import sade from "sade";
import { OUTSIDE } from "@bulrushwood/platform/outside";
import { chooseFaults, FAULTS } from "./faults/mod.ts";
import { formatReport } from "./report.ts";
import { runSoak } from "./soak.ts";

interface MainOptions {
  seed: string | number;
  seeds: string | number;
  seconds: string | number;
  daemons: string | number;
  binary: string;
  faults: string;
  schedule?: boolean;
}

async function main(options: MainOptions): Promise<void> {
  const faults = chooseFaults(options.faults.split(","));
  if (faults.length === 0) {
    process.stderr.write(`--faults "${options.faults}" names no fault\n`);
    process.exit(2);
  }
  let findings = 0;
  for (let index = 0; index < Number(options.seeds); index++) {
    const report = await runSoak({
      seed: Number(options.seed) + index,
      seconds: Number(options.seconds),
      daemons: Number(options.daemons),
      binary: options.binary,
      faults,
      outside: OUTSIDE,
    });
    findings += report.findings.length;
    process.stdout.write(`${formatReport(report, { withSchedule: options.schedule ?? false })}\n`);
  }
  process.exit(findings > 0 ? 1 : 0);
}

sade("soak", true)
  .option("--seed", "Seed of the first schedule", 1)
  .option("--seeds", "Number of seeds to play, one after another", 1)
  .option("--seconds", "Time in which faults start, in seconds", 40)
  .option("--daemons", "Number of daemons", 6)
  .option("--binary", "Path of the binary", "dist/bulrushwood")
  .option(
    "--faults",
    "Areas or names of faults, separated by commas",
    Object.keys(FAULTS).join(","),
  )
  .option("--schedule", "Also print the schedule")
  .action(main)
  .parse(process.argv);
