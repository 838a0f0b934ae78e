/**
 * The members of a deployment. Each daemon adds a record of itself to the store when it starts; there is no
 * other list. A record may outlive its daemon, so it only shows which daemons to contact.
 */
import { Buffer } from "node:buffer";
import type { Result } from "true-myth";
import { z } from "zod";
import type { KeyedValue, Store } from "@bulrushwood/deployment";
import { appendUntilAccepted, type KeyedFollower, parseRecord } from "@bulrushwood/ledger_store";
import { ADDRESS_MESSAGE, isAddress, type Sleep } from "@bulrushwood/types";

/** Prefix of the keys of member records, followed by the daemon's address. */
const MEMBER_KEY_PREFIX = "member/";

const memberSchema = z.object({
  address: z.string().refine(isAddress, ADDRESS_MESSAGE),
  incarnation: z.string(),
  service: z.string(),
  dataCentre: z.string(),
  instance: z.string(),
  /** Processor time that the daemon may take, in cores; left out where it is not known. */
  cores: z.number().positive().optional(),
});

/** A daemon of the deployment, as recorded in the store. */
export type Member = z.infer<typeof memberSchema>;

/** Parses the value of a member record; fails when it is corrupt or of another format. */
export function parseMember(value: Buffer): Result<Member, Error> {
  return parseRecord(value, memberSchema).mapErr(({ message }) =>
    new Error(`The member record in the store is corrupt: ${message}`)
  );
}

/** Returns the member in a record of the system topic, or undefined for other and corrupt records. */
export function readMember({ key, value }: KeyedValue): Member | undefined {
  const member = key.startsWith(MEMBER_KEY_PREFIX) ? parseMember(value) : undefined;
  return member?.isOk ? member.value : undefined;
}

/** Adds a member record to the store; retries until the store accepts it. */
export async function addMember(
  store: Store,
  member: Member,
  options: { follower: KeyedFollower; sleep: Sleep; signal: AbortSignal },
): Promise<void> {
  const item = {
    key: MEMBER_KEY_PREFIX + member.address,
    value: Buffer.from(JSON.stringify(member)),
  };
  await appendUntilAccepted(store, () => item, options);
}
