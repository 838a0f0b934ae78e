/**
 * Bundles the programs into `dist`: the product, the stand-ins, the demonstration and the bench. With `--binary` it
 * also builds the single executable `dist/bulrushwood`; with `--deploy` it builds only what the deploy file runs, in
 * `target`: the program, for Node.js with the options that the deploy file names.
 */
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  existsSync,
  mkdirSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { createRequire } from "node:module";
import process from "node:process";
import { build } from "esbuild";
import { withoutNativeAddons } from "./native_addons.ts";

/** Marker in the Node.js executable where `postject` enables the injected program. */
const SENTINEL = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const BINARY = "dist/bulrushwood";
const DEPLOY_FILE = "deploy/system.toml";
const DEPLOY_FOLDER = "target";
/** The command of the deploy file, with the options of Node.js. */
const DEPLOYED_COMMAND = /^run = "node (.*) target\/start\.cjs .*"$/m;

/** Program to bundle, with the path of its bundle. */
interface Program {
  entry: string;
  outfile: string;
}

const PRODUCT: Program = { entry: "packages/cli/src/main.ts", outfile: "dist/bulrushwood.cjs" };
const EXECUTABLE: Program = {
  entry: "packages/cli/src/executable.ts",
  outfile: "dist/executable.cjs",
};
const CODE_CACHE = "dist/bulrushwood.cache";

const PROGRAMS: Program[] = [
  PRODUCT,
  { entry: "packages/stand_ins/src/main.ts", outfile: "dist/stand_in.cjs" },
  { entry: "packages/sessions/src/demo.ts", outfile: "dist/demo.cjs" },
  { entry: "packages/bench/src/main.ts", outfile: "dist/bench.cjs" },
];

async function bundle(program: Program): Promise<void> {
  await build({
    entryPoints: [program.entry],
    outfile: program.outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    mainFields: ["module", "main"],
    plugins: [withoutNativeAddons],
    logLevel: "warning",
  });
}

/**
 * Compiles the product's bundle ahead, in the same way as the entry point of the executable compiles it. Node.js accepts the
 * result only with the options that it was compiled with.
 */
function compileProduct(outfile: string, nodeOptions: string[]): void {
  const script = `
    const { readFileSync, writeFileSync } = require("node:fs");
    const { compileFunction } = require("node:vm");
    const source = readFileSync(${JSON.stringify(PRODUCT.outfile)}, "utf8");
    const parameters = ["require", "module", "exports"];
    const { cachedData } = compileFunction(source, parameters, { produceCachedData: true });
    writeFileSync(${JSON.stringify(outfile)}, cachedData);`;
  execFileSync(process.execPath, [...nodeOptions, "--eval", script]);
}

/** Injects the bundle into a copy of the Node.js executable that runs this script. */
async function buildBinary(): Promise<void> {
  await bundle(EXECUTABLE);
  compileProduct(CODE_CACHE, []);
  const settings = {
    main: EXECUTABLE.outfile,
    output: "dist/bulrushwood.blob",
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
    assets: { "program": PRODUCT.outfile, "code-cache": CODE_CACHE },
  };
  writeFileSync("dist/sea.json", JSON.stringify(settings));
  execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"]);
  copyFileSync(process.execPath, BINARY);
  chmodSync(BINARY, 0o755);
  const postject = createRequire(import.meta.url).resolve("postject/dist/cli.js");
  const args = [BINARY, "NODE_SEA_BLOB", settings.output, "--sentinel-fuse", SENTINEL];
  execFileSync(process.execPath, [postject, ...args]);
}

/** Returns the options of Node.js that the deploy file names. */
function readNodeOptions(): string[] {
  const command = DEPLOYED_COMMAND.exec(readFileSync(DEPLOY_FILE, "utf8"));
  if (command === null) {
    throw new Error(`${DEPLOY_FILE}: run must be "node OPTIONS target/start.cjs COMMAND"`);
  }
  return command[1].split(" ");
}

async function deploy(): Promise<void> {
  mkdirSync(DEPLOY_FOLDER, { recursive: true });
  await Promise.all(
    [PRODUCT, { ...EXECUTABLE, outfile: `${DEPLOY_FOLDER}/start.cjs` }].map(bundle),
  );
  copyFileSync(PRODUCT.outfile, `${DEPLOY_FOLDER}/bulrushwood.cjs`);
  compileProduct(`${DEPLOY_FOLDER}/bulrushwood.cache`, readNodeOptions());
}

async function main(): Promise<void> {
  mkdirSync("dist", { recursive: true });
  if (process.argv.includes("--deploy")) {
    await deploy();
    return;
  }
  const present = PROGRAMS.filter((program) => existsSync(program.entry));
  await Promise.all(present.map(bundle));
  if (process.argv.includes("--binary")) {
    await buildBinary();
  }
}

await main();
