/**
 * Compares documents of tests with golden files.
 */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { expect } from "chai";

const GOLDEN_DIRECTORY = "packages/sessions/src/golden";

/** Fails when a document differs from its golden file; rewrites the file first when `UPDATE_GOLDEN` is set. */
export function expectGolden(name: string, document: unknown): void {
  const path = join(GOLDEN_DIRECTORY, `${name}.json`);
  const text = `${JSON.stringify(document, undefined, 2)}\n`;
  if (process.env.UPDATE_GOLDEN !== undefined) {
    mkdirSync(GOLDEN_DIRECTORY, { recursive: true });
    writeFileSync(path, text);
  }
  const golden = existsSync(path) ? readFileSync(path, "utf8") : "";
  expect(JSON.parse(text)).to.deep.equal(golden === "" ? undefined : JSON.parse(golden));
}
