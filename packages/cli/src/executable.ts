/**
 * Entry point of the single executable. It receives signals before it loads the program, which takes almost as long as
 * Node.js takes to start.
 */
import "./signals.ts";
import { Buffer } from "node:buffer";
import { getAsset, getRawAsset } from "node:sea";
import { compileFunction } from "node:vm";

const load = compileFunction(getAsset("program", "utf8"), ["require", "module", "exports"], {
  filename: "bulrushwood.cjs",
  cachedData: Buffer.from(getRawAsset("code-cache") as ArrayBuffer),
});
load(require, module, exports);
