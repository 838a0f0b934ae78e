/**
 * The command line: `bulrushwood COMMAND`.
 */
import process from "node:process";
import { createProgram } from "./program.ts";

createProgram().parse(process.argv);
