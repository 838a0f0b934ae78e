/**
 * The commands about one instance: `drain` and `declare-lost`.
 */
import { userInfo } from "node:os";
import { AdminClient } from "@bulrushwood/admin";
import { type CommonOptions, writeAdminError, writeResult } from "./output.ts";

interface InstanceOptions extends CommonOptions {
  by?: string;
}

/** Starts to drain an instance. */
export async function runDrain(
  instance: string,
  options: InstanceOptions,
): Promise<void> {
  const by = options.by ?? userInfo().username;
  const drained = await new AdminClient(options.admin).drain({ instance, by });
  if (drained.isErr) {
    writeAdminError(drained.error, options);
    return;
  }
  const format = () => `${instance} is draining; it exits when its work is done`;
  writeResult(drained.value, { json: options.json, format });
}

/** Confirms that an instance's process no longer runs. */
export async function runDeclareLost(
  instance: string,
  options: InstanceOptions,
): Promise<void> {
  const by = options.by ?? userInfo().username;
  const declared = await new AdminClient(options.admin).declareLost({
    instance,
    by,
  });
  if (declared.isErr) {
    writeAdminError(declared.error, options);
    return;
  }
  const format = () => `${instance} is declared lost; its keys may move to other instances`;
  writeResult(declared.value, { json: options.json, format });
}
