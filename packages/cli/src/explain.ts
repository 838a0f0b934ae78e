/**
 * The command `explain`: shows which backend server owns a key, and why.
 */
import { AdminClient, type Explanation } from "@bulrushwood/admin";
import { type CommonOptions, writeAdminError, writeResult } from "./output.ts";

/** Shows the owner of a key and the reason. */
export async function runExplain(
  pool: string,
  key: string,
  options: CommonOptions,
): Promise<void> {
  const explained = await new AdminClient(options.admin).explain(
    pool,
    String(key),
  );
  if (explained.isErr) {
    writeAdminError(explained.error, options);
    return;
  }
  writeResult(explained.value, {
    json: options.json,
    format: formatExplanation,
  });
}

function formatExplanation(explanation: Explanation): string {
  const { pool, key, owner, successor, witness, why, sealing } = explanation;
  const lines = [
    `key ${key} of pool ${pool} belongs to ${owner}`,
    `successor ${successor || "none"}, witness ${witness || "none"}`,
    why,
  ];
  if (sealing.length > 0) {
    lines.push(
      `it waits until these earlier groups are sealed: ${sealing.join(", ")}`,
    );
  }
  return lines.join("\n");
}
