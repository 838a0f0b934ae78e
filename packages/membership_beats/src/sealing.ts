/**
 * Decides whether a tenure has certainly ended: so many of its voters have sealed it, or have restarted longer
 * ago than a vote lasts, that it can never again have a majority.
 */
import { sealQuorumOf, type Voter } from "@bulrushwood/lease_votes";
import type { Address } from "@bulrushwood/types";
import type { SealReply } from "./messages.ts";

/** Added to the time for which a vote lasts before a restarted process counts as a seal, in milliseconds. */
const RESTART_MARGIN_MS = 200;

/** Longest time for which a voter may have been asked to support a tenure, in milliseconds. */
export interface SealTiming {
  supportMsMax: number;
}

/** Asks a daemon to seal a tenure; resolves to undefined when it does not reply. */
export type AskSeal = (voter: Address, tenure: string) => Promise<SealReply | undefined>;

/** Whether a voter's reply shows that the voter will never support the tenure again. */
export function isSealedBy(
  voter: Voter,
  reply: SealReply | undefined,
  options: SealTiming,
): boolean {
  if (reply === undefined) {
    return false;
  }
  if (reply.incarnation === voter.incarnation) {
    return reply.isSealed;
  }
  return reply.uptimeMs > options.supportMsMax + RESTART_MARGIN_MS;
}

/** Asks all voters of a tenure to seal it; resolves to true once enough have. */
export async function sealTenure(
  tenure: string,
  voters: Voter[],
  options: SealTiming & { ask: AskSeal },
): Promise<boolean> {
  let missing = sealQuorumOf(voters.length);
  return await new Promise((resolve) => {
    const asked = voters.map(async (voter) => {
      if (isSealedBy(voter, await options.ask(voter.address, tenure), options) && --missing === 0) {
        // Resolves without waiting for the other voters, which may be unreachable.
        resolve(true);
      }
    });
    Promise.all(asked).then(() => resolve(missing <= 0));
  });
}
