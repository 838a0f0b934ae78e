/**
 * Decides whether a daemon says that it is ready. One that does not accept new callers in time is not, so that they go to
 * others. Under a load that is too much for all, they would find nobody then, so only a part of all daemons go out.
 */
import type { Address } from "@bulrushwood/types";

/** Largest share of the daemons that go out because they do not accept callers. */
const OUT_SHARE_MAX = 0.25;
/** Fewest daemons of which one may go out. */
const DAEMONS_MIN = 3;

/** What one daemon knows of another. */
export interface PeerAcceptance {
  address: Address;
  acceptsCallers: boolean;
}

/** Returns whether a daemon that does not accept callers may go out; of several, those with the lowest addresses do. */
export function mayGoOut(self: Address, peers: PeerAcceptance[]): boolean {
  const daemons = peers.length + 1;
  if (daemons < DAEMONS_MIN) {
    return false;
  }
  const before = peers.filter(({ address, acceptsCallers }) => !acceptsCallers && address < self);
  return before.length < Math.max(1, Math.floor(daemons * OUT_SHARE_MAX));
}
