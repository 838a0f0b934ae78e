/**
 * Entry point of the single executable, and of the program that Node.js runs with options of its own. It receives signals
 * before it loads the program, which takes almost as long as Node.js takes to start.
 */
import "./signals.ts";
import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { getRawAsset, isSea } from "node:sea";
import { compileFunction } from "node:vm";

/** Reads a part of the program: from the executable, or from the folder of this file. */
function readPart(asset: string, file: string): Buffer {
  return isSea()
    ? Buffer.from(getRawAsset(asset) as ArrayBuffer)
    : readFileSync(join(__dirname, file));
}

const source = readPart("program", "bulrushwood.cjs").toString();
const load = compileFunction(source, ["require", "module", "exports"], {
  filename: "bulrushwood.cjs",
  cachedData: readPart("code-cache", "bulrushwood.cache"),
});
if (load.cachedDataRejected) {
  process.emitWarning("The code cache is for another version or other options of Node.js");
}
load(require, module, exports);
