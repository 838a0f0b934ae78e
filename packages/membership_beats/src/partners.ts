/**
 * Chooses with whom a daemon exchanges heartbeats, so that their number stays bounded however many daemons
 * there are. In a small deployment that is everybody. In a larger one it is a fixed number: possible voters,
 * spread evenly over all daemons by a hash; hubs, which every daemon of a service reports to, so that they
 * know all of its servers; and hubs of the services without keys, which tell everybody about theirs. Hubs
 * are the daemons with the lowest addresses that answer; any other takes the place of one that falls silent.
 */
import type { Address } from "@bulrushwood/types";
import type { Member } from "./members.ts";

/** Daemons up to which everybody exchanges heartbeats with everybody. */
export const ALL_PAIRS_MAX = 30;
/** Hubs that a daemon reports to in its own service; all but one may be lost at once. */
const OWN_HUBS = 3;
/** Hubs of another service that a daemon learns its servers from. */
const OTHER_HUBS = 2;
/** Daemons chosen as possible voters; a tenure names these and the daemon itself. */
const VOTER_PARTNERS = 8;

/** Why a daemon is a partner. */
export enum PartnerRole {
  /** Everybody is, in a small deployment. */
  All = "all",
  Voter = "voter",
  /** Knows all servers of this daemon's service. */
  Hub = "hub",
  /** Tells of the servers of a service without keys. */
  Source = "source",
}

/** What the choice rests on. */
export interface PartnerChoice {
  self: Address;
  service: string;
  /** All daemons that the store names, without this one. */
  members: readonly Member[];
  /** Whether a daemon was tried lately and did not answer. */
  isSilent: (address: Address) => boolean;
  /** Services whose servers everybody must know, since they have no keys. */
  openServices: ReadonlySet<string>;
}

/** Chooses partners, each with the reason that needs it most. */
export function choosePartners(choice: PartnerChoice): Map<Address, PartnerRole> {
  const { self, service, members, isSilent, openServices } = choice;
  if (members.length < ALL_PAIRS_MAX) {
    return new Map(members.map(({ address }) => [address, PartnerRole.All]));
  }
  const present = members.filter(({ address }) => !isSilent(address));
  const partners = new Map<Address, PartnerRole>();
  const ranked = present.map(({ address }) => ({ address, rank: rankOf(self, address) }))
    .sort((one, other) => one.rank - other.rank);
  for (const { address } of ranked.slice(0, VOTER_PARTNERS)) {
    partners.set(address, PartnerRole.Voter);
  }
  for (const open of openServices) {
    const count = open === service ? OWN_HUBS : OTHER_HUBS;
    hubsOf(present, open).slice(0, count)
      .forEach((address) => partners.set(address, PartnerRole.Source));
  }
  if (!openServices.has(service)) {
    hubsOf(present, service).slice(0, OWN_HUBS)
      .forEach((address) => partners.set(address, PartnerRole.Hub));
  }
  return partners;
}

/** Daemons of a service in the order in which they are hubs. */
function hubsOf(members: Member[], service: string): Address[] {
  return members.filter((member) => member.service === service)
    .map(({ address }) => address)
    .sort();
}

/** A number that orders the others differently for each daemon (FNV-1a). */
export function rankOf(self: Address, other: Address): number {
  let hash = 0x811c9dc5;
  for (const character of `${self}|${other}`) {
    hash = Math.imul(hash ^ character.codePointAt(0)!, 0x01000193);
  }
  // The last characters differ most, so they are mixed into all bits.
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return (hash ^ (hash >>> 13)) >>> 0;
}
