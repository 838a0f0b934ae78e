/**
 * Runs the tests, in two processes at the same time, since most tests wait for time to pass. Failures listed in
 * `KNOWN-RED.txt` are printed and do not fail the run; any other failure does. A listed test that passes is printed too.
 * Arguments are parts of the names of the files to run; `--grep=PATTERN` runs only the tests whose titles match.
 */
import { fork } from "node:child_process";
import { existsSync, readdirSync, readFileSync, statSync } from "node:fs";
import type { Buffer } from "node:buffer";
import process from "node:process";
import Mocha from "mocha";

const KNOWN_RED = "KNOWN-RED.txt";
const GREP_OPTION = "--grep=";
/** Runs the files that follow in this process. */
const FILES_OPTION = "--files";
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

/** Runs test files in this process and sends the results to the parent process. */
async function runFiles(files: string[], pattern: string | undefined): Promise<void> {
  const mocha = new Mocha({ timeout: TEST_TIMEOUT_MS, reporter: "spec" });
  if (pattern !== undefined) {
    mocha.grep(new RegExp(pattern));
  }
  files.forEach((file) => mocha.addFile(file));
  await mocha.loadFilesAsync();
  const results = await runMocha(mocha);
  process.send?.(results, () => process.exit());
}

/** Splits files into groups of about the same size in bytes. */
function splitFiles(files: string[]): string[][] {
  const sizes = new Map(files.map((file) => [file, statSync(file).size]));
  const groups = Array.from({ length: PROCESSES }, () => ({ files: new Array<string>(), size: 0 }));
  for (const [file, size] of [...sizes].sort(([, one], [, other]) => other - one)) {
    const smallest = groups.reduce((least, group) => group.size < least.size ? group : least);
    smallest.files.push(file);
    smallest.size += size;
  }
  return groups.map((group) => group.files.sort()).filter((group) => group.length > 0);
}

/** Runs test files in a process of their own, whose output is printed once `previous` has ended. */
async function runProcess(
  files: string[],
  options: { pattern: string | undefined; previous: Promise<unknown> },
): Promise<Results> {
  const { pattern, previous } = options;
  const args = [FILES_OPTION, ...files, ...(pattern === undefined ? [] : [GREP_OPTION + pattern])];
  const child = fork(process.argv[1], args, { stdio: ["ignore", "pipe", "pipe", "ipc"] });
  let results: Results | undefined;
  child.on("message", (message) => results = message as Results);
  const exited = new Promise<number | null>((resolve) => child.once("exit", resolve));
  const output: Buffer[] = [];
  let print = (chunk: Buffer) => void output.push(chunk);
  child.stdout?.on("data", (chunk) => print(chunk));
  child.stderr?.on("data", (chunk) => print(chunk));
  await previous;
  print = (chunk) => void process.stdout.write(chunk);
  output.forEach(print);
  const code = await exited;
  const message = `The process of the tests ended with code ${code}`;
  return results ?? { passed: [], failures: [{ title: files.join(" "), message }] };
}

async function main(): Promise<void> {
  const args = process.argv.slice(2);
  const grep = args.find((arg) => arg.startsWith(GREP_OPTION));
  const pattern = grep?.slice(GREP_OPTION.length);
  const names = args.filter((arg) => arg !== grep);
  if (names[0] === FILES_OPTION) {
    await runFiles(names.slice(1), pattern);
    return;
  }
  let previous: Promise<unknown> = Promise.resolve();
  const running = splitFiles(findTestFiles(names)).map((files) => {
    const results = runProcess(files, { pattern, previous });
    previous = results;
    return results;
  });
  const results = await Promise.all(running);
  const passed = results.flatMap((result) => result.passed);
  const failures = results.flatMap((result) => result.failures);
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
