/**
 * Bundles the programs into `dist`: the product, the stand-ins, the demonstration and the bench. With `--binary` it
 * also builds the single executable `dist/bulrushwood`; with `--deploy` it builds only that executable, as
 * `target/bulrushwood`.
 */
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  existsSync,
  mkdirSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from "node:fs";
import { createRequire } from "node:module";
import process from "node:process";
import { compileFunction } from "node:vm";
import { build } from "esbuild";
import { withoutNativeAddons } from "./native_addons.ts";

/** Marker in the Node.js executable where `postject` enables the injected program. */
const SENTINEL = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const BINARY = "dist/bulrushwood";
const DEPLOYED_BINARY = "target/bulrushwood";

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

/** Compiles the product's bundle ahead, in the same way as the entry point of the executable compiles it. */
function compileProduct(): void {
  const source = readFileSync(PRODUCT.outfile, "utf8");
  const { cachedData } = compileFunction(source, ["require", "module", "exports"], {
    produceCachedData: true,
  });
  writeFileSync(CODE_CACHE, cachedData!);
}

/** Injects the bundle into a copy of the Node.js executable that runs this script. */
async function buildBinary(): Promise<void> {
  await bundle(EXECUTABLE);
  compileProduct();
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

async function deploy(): Promise<void> {
  mkdirSync("target", { recursive: true });
  await bundle(PRODUCT);
  await buildBinary();
  // A running executable cannot be overwritten, so the new one is renamed into place.
  copyFileSync(BINARY, `${DEPLOYED_BINARY}.new`);
  chmodSync(`${DEPLOYED_BINARY}.new`, 0o755);
  renameSync(`${DEPLOYED_BINARY}.new`, DEPLOYED_BINARY);
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
