/**
 * Shows that the proofs can fail: takes one mechanism after another out of the product, runs the session
 * that rests on it, and expects it to fail. Arguments name parts of the mechanisms to take out.
 */
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";
import { build, type Plugin } from "esbuild";
import { withoutNativeAddons } from "./native_addons.ts";

const MUTANT = "dist/mutant.cjs";

/** One change of a source file. */
interface Edit {
  file: string;
  find: string;
  replace: string;
}

/** One mechanism, how it is taken out, and the test that rests on it. */
interface Mutation extends Edit {
  mechanism: string;
  test: string;
  grep: string;
  /** A second place, where two mechanisms back each other up. */
  also?: Edit;
}

const MUTATIONS: Mutation[] = [
  {
    mechanism: "succession",
    file: "packages/lease/src/voter.ts",
    find: "const expired = support.until <= this.#options.now();",
    replace: "const expired = false;",
    test: "failure_test",
    grep: "loss inside",
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
    find: "if (peerOffset > this.#options.ledger.folded && !this.#isCatchingUp) {",
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
    grep: "answer is lost or which is applied late",
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
    find: "if (wanted === null) {",
    replace: "if (wanted === undefined) {",
    test: "failure_test",
    grep: "server is stopped while the log is down",
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
    grep: "loss inside",
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
    file: "packages/daemon/src/whole_body.ts",
    find: 'message.on("error", () => resolve(undefined));',
    replace: 'message.on("error", () => resolve(joinParts(parts)));',
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
    find: "if (refused === undefined) {",
    replace: "if (refused !== null) {",
    test: "path_test",
    grep: "when the server sheds",
  },
];

function applyEdit(edit: Edit): string {
  const text = readFileSync(edit.file, "utf8");
  if (text.split(edit.find).length !== 2) {
    throw new Error(`${edit.file} does not hold exactly once: ${edit.find}`);
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

/** Whether the test fails once the mechanism is taken out. */
async function fails(mutation: Mutation): Promise<boolean> {
  await buildMutant(mutation);
  const args = ["tsx", "scripts/test.ts", mutation.test, `--grep=${mutation.grep}`];
  const env = { ...process.env, BULRUSHWOOD_PROGRAM: MUTANT };
  const ended = spawnSync("npx", args, { env, encoding: "utf8" });
  return ended.status !== 0 && /\d+ passed, [1-9]\d* failed/.test(ended.stdout);
}

async function main(): Promise<void> {
  const wanted = process.argv.slice(2);
  const chosen = MUTATIONS.filter((mutation) =>
    wanted.length === 0 || wanted.some((part) => mutation.mechanism.includes(part))
  );
  let survivors = 0;
  for (const mutation of chosen) {
    const isProven = await fails(mutation);
    survivors += isProven ? 0 : 1;
    const verdict = isProven ? "the test fails, as it should" : "THE TEST STILL PASSES";
    process.stdout.write(`without ${mutation.mechanism}: ${verdict}\n`);
  }
  process.stdout.write(`${chosen.length - survivors} passed, ${survivors} failed\n`);
  process.exitCode = survivors === 0 ? 0 : 1;
}

await main();
