/**
 * Finds out whether a tenure has ended for certain: so many of its voters have sealed it, or are gone,
 * that it can never again have a majority.
 */
import { sealQuorumOf, type Voter } from "@bulrushwood/lease_votes";
import type { Address } from "@bulrushwood/types";
import type { SealReply } from "./beat.ts";

/** Added to the time that a vote lasts before a process that started anew counts, in milliseconds. */
const RESTART_MARGIN_MS = 200;

/** Asks a daemon to seal a tenure; undefined when it does not answer. */
export type AskSeal = (voter: Address, tenure: string) => Promise<SealReply | undefined>;

/** Whether a voter's answer shows that it will never support the tenure again. */
export function isSealedBy(
  voter: Voter,
  reply: SealReply | undefined,
  options: { supportMs: number },
): boolean {
  if (reply === undefined) {
    return false;
  }
  if (reply.incarnation === voter.incarnation) {
    return reply.isSealed;
  }
  return reply.uptimeMs > options.supportMs + RESTART_MARGIN_MS;
}

/** Asks all voters of a tenure to seal it; true once it has ended. */
export async function sealTenure(
  tenure: string,
  voters: Voter[],
  options: { ask: AskSeal; supportMs: number },
): Promise<boolean> {
  let missing = sealQuorumOf(voters.length);
  return await new Promise((resolve) => {
    const asked = voters.map(async (voter) => {
      if (isSealedBy(voter, await options.ask(voter.address, tenure), options) && --missing === 0) {
        // Voters that are out of reach need not be waited for.
        resolve(true);
      }
    });
    Promise.all(asked).then(() => resolve(missing <= 0));
  });
}
