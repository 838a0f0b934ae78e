/**
 * Runs the tests, two files at a time, since most tests wait for time to pass. Failures listed in
 * `KNOWN-RED.txt` are printed and do not fail the run; any other failure does. A listed test that passes is printed too.
 * Arguments are parts of the names of the files to run; `--grep=PATTERN` runs only the tests whose titles match.
 */
import { fork } from "node:child_process";
import { existsSync, readdirSync, readFileSync, statSync } from "node:fs";
import { Buffer } from "node:buffer";
import process from "node:process";
import Mocha from "mocha";

const KNOWN_RED = "KNOWN-RED.txt";
const GREP_OPTION = "--grep=";
/** Runs one file in this process. */
const FILE_OPTION = "--file=";
const TEST_TIMEOUT_MS = 120_000;
const PROCESSES = 2;

/** Failed test with its full title. */
interface Failure {
  title: string;
  message: string;
}

/** Full titles of the tests that passed, and the failures. */
interface Results {
  passed: string[];
  failures: Failure[];
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

function runMocha(mocha: Mocha): Promise<Results> {
  const passed: string[] = [];
  const failures: Failure[] = [];
  return new Promise((resolve) => {
    const runner = mocha.run(() => resolve({ passed, failures }));
    runner.on("pass", (test) => passed.push(test.fullTitle()));
    runner.on("fail", (test, { message }) => failures.push({ title: test.fullTitle(), message }));
  });
}

/** Runs a test file in this process and sends the results to the parent process. */
async function runFile(file: string, pattern: string | undefined): Promise<void> {
  const mocha = new Mocha({ timeout: TEST_TIMEOUT_MS, reporter: "spec" });
  if (pattern !== undefined) {
    mocha.grep(new RegExp(pattern));
  }
  mocha.addFile(file);
  await mocha.loadFilesAsync();
  const results = await runMocha(mocha);
  process.send?.(results, () => process.exit());
}

/** Runs a test file in a process of its own, and prints its output at the end. */
async function runProcess(file: string, pattern: string | undefined): Promise<Results> {
  const args = [FILE_OPTION + file, ...(pattern === undefined ? [] : [GREP_OPTION + pattern])];
  const child = fork(process.argv[1], args, { stdio: ["ignore", "pipe", "pipe", "ipc"] });
  const output: Buffer[] = [];
  child.stdout?.on("data", (chunk) => output.push(chunk));
  child.stderr?.on("data", (chunk) => output.push(chunk));
  let results: Results | undefined;
  child.on("message", (message) => results = message as Results);
  const code = await new Promise<number | null>((resolve) => child.once("close", resolve));
  process.stdout.write(Buffer.concat(output));
  const message = `The process of the tests ended with code ${code}`;
  return results ?? { passed: [], failures: [{ title: file, message }] };
}

/** Runs test files, the largest first, since these mostly take the longest. */
async function runAll(files: string[], pattern: string | undefined): Promise<Results> {
  const sizes = new Map(files.map((file) => [file, statSync(file).size]));
  const waiting = [...sizes].sort(([, one], [, other]) => other - one).map(([file]) => file);
  const results: Results = { passed: [], failures: [] };
  const runWaiting = async () => {
    for (let file = waiting.shift(); file !== undefined; file = waiting.shift()) {
      const { passed, failures } = await runProcess(file, pattern);
      results.passed.push(...passed);
      results.failures.push(...failures);
    }
  };
  await Promise.all(Array.from({ length: PROCESSES }, runWaiting));
  return results;
}

async function main(): Promise<void> {
  const args = process.argv.slice(2);
  const valueOf = (option: string) =>
    args.find((arg) => arg.startsWith(option))?.slice(option.length);
  const pattern = valueOf(GREP_OPTION);
  const file = valueOf(FILE_OPTION);
  if (file !== undefined) {
    await runFile(file, pattern);
    return;
  }
  const nameParts = args.filter((arg) => !arg.startsWith(GREP_OPTION));
  const { passed, failures } = await runAll(findTestFiles(nameParts), pattern);
  const known = readKnownRed();
  const knownFailures = failures.filter((failure) => known.has(failure.title));
  const newFailures = failures.filter((failure) => !known.has(failure.title));
  for (const { title, message } of knownFailures) {
    process.stdout.write(`known red: ${title}: ${message}\n`);
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
