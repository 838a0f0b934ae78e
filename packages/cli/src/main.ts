/**
 * Entry point of the command line `bulrushwood`.
 */
import "./signals.ts";
import process from "node:process";
import { createProgram } from "./program.ts";

createProgram().parse(process.argv);
