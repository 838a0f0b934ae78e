/**
 * Runs the tests. Failures listed in `KNOWN-RED.txt` are printed and do not fail the run; any other failure does. A
 * listed test that passes is printed too. Arguments are parts of the names of the files to run; `--grep=PATTERN`
 * runs only the tests whose titles match.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import process from "node:process";
import Mocha from "mocha";

const KNOWN_RED = "KNOWN-RED.txt";
const GREP_OPTION = "--grep=";
const TEST_TIMEOUT_MS = 120_000;

/** Failed test with its full title. */
interface Failure {
  title: string;
  error: Error;
}

function findTestFiles(nameParts: string[]): string[] {
  const files = ["packages", "platform"].flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: "utf8" }).map((file) => `${folder}/${file}`)
  );
  const tests = files.filter((file) => file.endsWith("_test.ts") && !file.includes("node_modules"));
  const chosen = tests.filter((file) =>
    nameParts.length === 0 || nameParts.some((part) => file.includes(part))
  );
  return chosen.sort();
}

/** Reads the full titles of known failures; each entry begins with `test: TITLE`. */
function readKnownRed(): Set<string> {
  if (!existsSync(KNOWN_RED)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED, "utf8").split("\n");
  const entries = lines.filter((line) => line.startsWith("test: "));
  return new Set(entries.map((line) => line.slice("test: ".length).trim()));
}

function runMocha(mocha: Mocha): Promise<{ passed: string[]; failures: Failure[] }> {
  const passed: string[] = [];
  const failures: Failure[] = [];
  return new Promise((resolve) => {
    const runner = mocha.run(() => resolve({ passed, failures }));
    runner.on("pass", (test) => passed.push(test.fullTitle()));
    runner.on("fail", (test, error) => failures.push({ title: test.fullTitle(), error }));
  });
}

async function main(): Promise<void> {
  const mocha = new Mocha({ timeout: TEST_TIMEOUT_MS, reporter: "spec" });
  const args = process.argv.slice(2);
  const grep = args.find((arg) => arg.startsWith(GREP_OPTION));
  if (grep !== undefined) {
    mocha.grep(new RegExp(grep.slice(GREP_OPTION.length)));
  }
  findTestFiles(args.filter((arg) => arg !== grep)).forEach((file) => mocha.addFile(file));
  await mocha.loadFilesAsync();
  const { passed, failures } = await runMocha(mocha);
  const known = readKnownRed();
  const knownFailures = failures.filter((failure) => known.has(failure.title));
  const newFailures = failures.filter((failure) => !known.has(failure.title));
  for (const failure of knownFailures) {
    process.stdout.write(`known red: ${failure.title}: ${failure.error.message}\n`);
  }
  const passing = passed.filter((title) => known.has(title));
  for (const title of passing) {
    process.stdout.write(`listed in ${KNOWN_RED} but passes: ${title}\n`);
  }
  const counts = `${passed.length} passed, ${newFailures.length} failed`;
  const skipped = knownFailures.length > 0 ? `, ${knownFailures.length} skipped` : "";
  process.stdout.write(`${counts}${skipped}\n`);
  process.exit(newFailures.length === 0 && passed.length > 0 ? 0 : 1);
}

await main();
