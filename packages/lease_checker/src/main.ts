/**
 * The command `npm run check:leases`. When a schedule leads to two owners, it prints the shrunk schedule and exits
 * with 1.
 */
import process from "node:process";
import sade from "sade";
import { checkLeases, RuleName } from "./check.ts";

interface MainOptions {
  schedules: string | number;
  seed: string | number;
  without?: string;
}

async function runCheck(options: MainOptions): Promise<void> {
  const names = Object.values(RuleName) as string[];
  if (options.without !== undefined && !names.includes(options.without)) {
    process.stderr.write(
      `--without "${options.without}" is not a rule; it must be one of ${names.join(", ")}\n`,
    );
    process.exitCode = 2;
    return;
  }
  const report = await checkLeases({
    schedules: Number(options.schedules),
    seed: Number(options.seed),
    without: options.without as RuleName | undefined,
  });
  process.stdout.write(`${report.runs} schedules, ${report.orders} orders\n`);
  if (report.schedule !== undefined) {
    const found = { violation: report.violation, schedule: report.schedule };
    process.stdout.write(`two owners:\n${JSON.stringify(found, undefined, 2)}\n`);
    process.exitCode = 1;
  }
}

sade("check:leases", true)
  .option("--schedules", "Number of random schedules to run", 2_000)
  .option("--seed", "Seed of the random schedules", 1)
  .option("--without", `Rule to disable: ${Object.values(RuleName).join(", ")}`)
  .action(runCheck)
  .parse(process.argv);
