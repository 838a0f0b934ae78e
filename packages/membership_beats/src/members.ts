/**
 * Which daemons there are. Each enters itself in the store when it starts; nobody else keeps a list. An
 * entry may outlive its daemon, so it only tells whom to ask.
 */
import { Buffer } from "node:buffer";
import { Result } from "true-myth";
import { z } from "zod";
import type { Item, Store } from "@bulrushwood/deployment";
import { SYSTEM_TOPIC } from "@bulrushwood/ledger_store";
import type { Sleep } from "@bulrushwood/types";

/** Keys of entries begin with this, and end with the daemon's address. */
const MEMBER_KEY_PREFIX = "member/";
const APPEND_TIMEOUT_MS = 1_000;
const RETRY_MS = 300;

const memberSchema = z.object({
  address: z.string(),
  incarnation: z.string(),
  service: z.string(),
  dataCentre: z.string(),
  instance: z.string(),
});

/** One daemon. */
export type Member = z.infer<typeof memberSchema>;

/** Reads an entry; one of another writer or a damaged one is an error. */
export function parseMember(value: Buffer): Result<Member, Error> {
  try {
    return Result.ok(memberSchema.parse(JSON.parse(value.toString("utf8"))));
  } catch (error) {
    return Result.err(new Error(`A member's entry is damaged: ${(error as Error).message}`));
  }
}

/** The daemon that a record of the system's topic names; undefined for other and damaged records. */
export function readMember({ key, value }: Item): Member | undefined {
  const member = key.startsWith(MEMBER_KEY_PREFIX) ? parseMember(value) : undefined;
  return member?.isOk ? member.value : undefined;
}

/** Enters a daemon; tries until the store takes it. */
export async function enterMember(
  store: Store,
  member: Member,
  options: { sleep: Sleep; signal: AbortSignal },
): Promise<void> {
  const item = {
    key: MEMBER_KEY_PREFIX + member.address,
    value: Buffer.from(JSON.stringify(member)),
  };
  while (!options.signal.aborted) {
    const appended = await store.append(SYSTEM_TOPIC, item, { timeoutMs: APPEND_TIMEOUT_MS });
    if (appended.isOk) {
      return;
    }
    await options.sleep(RETRY_MS, options.signal);
  }
}
