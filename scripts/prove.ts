/**
 * Mutation test of the failure tests: disables one mechanism of the product after another, runs the test that
 * depends on it, and expects that test to fail. Arguments are parts of the names of the mechanisms to disable.
 */
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";
import { build, type Plugin } from "esbuild";
import { withoutNativeAddons } from "./native_addons.ts";

const MUTANT = "dist/mutant.cjs";

/** Replacement in a source file of a text that occurs exactly once. */
interface Edit {
  file: string;
  find: string;
  replace: string;
}

/** Mechanism, the edit that disables it, and the test that depends on it. */
interface Mutation extends Edit {
  mechanism: string;
  test: string;
  grep: string;
  /** Second edit, for two mechanisms that back each other up. */
  also?: Edit;
}

const MUTATIONS: Mutation[] = [
  {
    mechanism: "succession",
    file: "packages/lease/src/voter.ts",
    find: "const expired = support.until <= this.#options.now();",
    replace: "const expired = false;",
    test: "failure_test",
    grep: "while a holder is lost",
  },
  {
    mechanism: "seals before moved shards are served",
    file: "packages/lease/src/sealing.ts",
    find: "return predecessors.every((predecessor) => this.#sealed.has(keyOf(predecessor)));",
    replace: "return predecessors.length >= 0;",
    test: "failure_test",
    grep: "backend server drains",
  },
  {
    mechanism: "snapshots",
    file: "packages/daemon/src/incarnation.ts",
    find: "this.#snapshots.start();",
    replace: "",
    test: "failure_test",
    grep: "older records have expired",
  },
  {
    mechanism: "records relayed by peers",
    file: "packages/membership/src/relay.ts",
    find: "if (peerOffset > this.#options.ledger.appliedOffset && !this.#isCatchingUp) {",
    replace: "if (peerOffset < 0) {",
    test: "failure_test",
    grep: "cut off from the log alone",
  },
  {
    mechanism: "settling of ambiguous appends",
    file: "packages/ledger/src/submission.ts",
    find: "if (seen !== undefined) {",
    replace: "if (seen !== undefined || isAmbiguous) {",
    test: "failure_test",
    grep: "response is lost or which is applied late",
  },
  {
    mechanism: "what a configuration builds on",
    file: "packages/ledger/src/ledger.ts",
    find: "if (version !== entry.expects) {",
    replace: "if (version < 0) {",
    test: "failure_test",
    grep: "two operators publish at once",
  },
  {
    mechanism: "a graceful leave",
    file: "packages/daemon/src/daemon.ts",
    find: "await incarnation.leave();",
    replace: "",
    test: "failure_test",
    grep: "a daemon drains under load",
  },
  {
    mechanism: "giving up the keys of a silent server",
    file: "packages/daemon/src/server_sync.ts",
    find: "if (current === null) {",
    replace: "if (current === undefined) {",
    test: "failure_test",
    grep: "server is suspended while the log is down",
    also: {
      file: "packages/daemon/src/incarnation.ts",
      find: "canServe: () => this.#server.announcement !== undefined,",
      replace: "",
    },
  },
  {
    mechanism: "the successor is tried when the holder is gone",
    file: "packages/routing/src/forwarding.ts",
    find: "for (const address of target?.candidates ?? []) {",
    replace: "for (const address of (target?.candidates ?? []).slice(0, 1)) {",
    test: "failure_test",
    grep: "while a holder is lost",
  },
  {
    mechanism: "declared losses count as sealed",
    file: "packages/lease/src/sealing.ts",
    find: "return now() - since > durationMs + driftMarginMs;",
    replace: "return false;",
    test: "failure_test",
    grep: "declares them lost",
  },
  {
    mechanism: "answers that are cut short are noticed",
    file: "packages/daemon/src/read_body.ts",
    find: 'message.on("error", () => resolve(undefined));',
    replace: 'message.on("error", () => resolve(joinChunks(chunks)));',
    test: "path_test",
    grep: "broke off",
  },
  {
    mechanism: "cancellation of what runs",
    file: "packages/backend/src/backend_client.ts",
    find: 'options.signal.addEventListener("abort", abort, { once: true });',
    replace: "",
    test: "path_test",
    grep: "passes cancellation",
  },
  {
    mechanism: "answers matched to their requests",
    file: "packages/protocol/src/link.ts",
    find: "this.#outgoing.get(frame.stream)?.takeHead(head, frame.body, frame.end);",
    replace: "[...this.#outgoing.values()][0]?.takeHead(head, frame.body, frame.end);",
    test: "path_test",
    grep: "late and out of order",
  },
  {
    mechanism: "refusals of the server are not-run",
    file: "packages/backend/src/backend_client.ts",
    find: "if (reason === undefined) {",
    replace: "if (reason !== null) {",
    test: "path_test",
    grep: "when the server sheds",
  },
];

function applyEdit(edit: Edit): string {
  const text = readFileSync(edit.file, "utf8");
  if (text.split(edit.find).length !== 2) {
    throw new Error(`${edit.file} must contain exactly once: ${edit.find}`);
  }
  return text.replace(edit.find, () => edit.replace);
}

function mutate(mutation: Mutation): Plugin {
  const edits = mutation.also === undefined ? [mutation] : [mutation, mutation.also];
  return {
    name: "mutate",
    setup(build) {
      build.onLoad({ filter: /\.ts$/ }, (args) => {
        const edit = edits.find((one) => resolve(one.file) === resolve(args.path));
        return edit === undefined ? undefined : { contents: applyEdit(edit), loader: "ts" };
      });
    },
  };
}

async function buildMutant(mutation: Mutation): Promise<void> {
  await build({
    entryPoints: ["packages/cli/src/main.ts"],
    outfile: MUTANT,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    mainFields: ["module", "main"],
    plugins: [withoutNativeAddons, mutate(mutation)],
    logLevel: "error",
  });
}

/** Builds the mutant and returns whether the test fails with it. */
async function isDetectedByTest(mutation: Mutation): Promise<boolean> {
  await buildMutant(mutation);
  const args = ["tsx", "scripts/test.ts", mutation.test, `--grep=${mutation.grep}`];
  const env = { ...process.env, BULRUSHWOOD_PROGRAM: MUTANT };
  const run = spawnSync("npx", args, { env, encoding: "utf8" });
  return run.status !== 0 && /\d+ passed, [1-9]\d* failed/.test(run.stdout);
}

async function main(): Promise<void> {
  const nameParts = process.argv.slice(2);
  const chosen = MUTATIONS.filter((mutation) =>
    nameParts.length === 0 || nameParts.some((part) => mutation.mechanism.includes(part))
  );
  let survivors = 0;
  for (const mutation of chosen) {
    const isDetected = await isDetectedByTest(mutation);
    survivors += isDetected ? 0 : 1;
    const result = isDetected ? "the test fails, as expected" : "THE TEST STILL PASSES";
    process.stdout.write(`without ${mutation.mechanism}: ${result}\n`);
  }
  process.stdout.write(`${chosen.length - survivors} passed, ${survivors} failed\n`);
  process.exitCode = survivors === 0 ? 0 : 1;
}

await main();
