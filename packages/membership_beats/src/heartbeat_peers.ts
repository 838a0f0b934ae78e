/**
 * Chooses the peers that a daemon sends heartbeats to, so that their number stays bounded however many daemons
 * there are. In a small deployment these are all others. In a larger one their number is fixed: possible
 * voters, spread evenly over all daemons by a hash, where the service has keys; hubs, which get heartbeats from every
 * daemon of a service, so that they have the status of all its servers; and two of the hubs of each service without
 * keys, which report the status of those servers, one of them in the daemon's own data centre. Hubs are the responsive
 * daemons with the lowest addresses in different data centres; the next one replaces a hub that becomes unresponsive.
 * Where a service without keys runs on small machines only, daemons of other services with much more processor time are
 * its hubs, since a hub hears from every daemon several times a second.
 */
import type { Address } from "@bulrushwood/types";
import type { Member } from "./members.ts";

/** Number of other members at which a daemon stops sending heartbeats to all of them. */
export const FULL_MESH_LIMIT = 30;
/** Number of hubs in a daemon's own service; all but one may be lost at once. */
const OWN_HUB_COUNT = 3;
/** Number of hubs of a service without keys from which a daemon gets the status of that service's servers. */
const SOURCE_COUNT = 2;
/** Multiple of the processor time of most daemons of a service from which on others are preferred as its hubs. */
const ROOMY_FACTOR = 3;
/** Number of daemons chosen as possible voters; a tenure names these and the daemon itself. */
const VOTER_COUNT = 8;

/** Reason why a daemon is a heartbeat peer. */
export enum HeartbeatPeerRole {
  /** All daemons are heartbeat peers in a small deployment. */
  All = "all",
  Voter = "voter",
  /** Gets the status of all servers of this daemon's service. */
  Hub = "hub",
  /** Reports the status of the servers of a service without keys. */
  Source = "source",
}

/** Options of `chooseHeartbeatPeers`. */
export interface HeartbeatPeerOptions {
  service: string;
  dataCentre?: string;
  /** All members of the deployment, without this daemon. */
  members: readonly Member[];
  /** This daemon's order of the others. */
  rank: (address: Address) => number;
  /** Whether a daemon was sent heartbeats recently and did not reply. */
  isUnresponsive: (address: Address) => boolean;
  /** Services without keys, whose servers every daemon must have the status of. */
  unkeyedServices: ReadonlySet<string>;
}

/** Returns the heartbeat peers of a daemon with their roles; hub and source take precedence over voter. */
export function chooseHeartbeatPeers(
  options: HeartbeatPeerOptions,
): Map<Address, HeartbeatPeerRole> {
  const { service, dataCentre, members, rank, isUnresponsive, unkeyedServices } = options;
  if (members.length < FULL_MESH_LIMIT) {
    return new Map(members.map(({ address }) => [address, HeartbeatPeerRole.All]));
  }
  const responsive = members.filter(({ address }) => !isUnresponsive(address));
  const peers = new Map<Address, HeartbeatPeerRole>();
  const byRank = (one: Address, other: Address) => rank(one) - rank(other);
  const ranked = responsive.map(({ address }) => address).sort(byRank);
  if (!unkeyedServices.has(service)) {
    ranked.slice(0, VOTER_COUNT)
      .forEach((address) => peers.set(address, HeartbeatPeerRole.Voter));
    hubsOf(responsive, service, { isKeyed: true })
      .forEach(({ address }) => peers.set(address, HeartbeatPeerRole.Hub));
  }
  const isLocal = (member: Member) => member.dataCentre === dataCentre;
  for (const unkeyed of unkeyedServices) {
    const hubs = hubsOf(responsive, unkeyed, { isKeyed: false }).sort((one, other) =>
      Number(isLocal(other)) - Number(isLocal(one)) || byRank(one.address, other.address)
    );
    hubs.slice(0, SOURCE_COUNT)
      .forEach(({ address }) => peers.set(address, HeartbeatPeerRole.Source));
    if (unkeyed === service) {
      hubs.slice(SOURCE_COUNT)
        .forEach(({ address }) => peers.set(address, HeartbeatPeerRole.Hub));
    }
  }
  return peers;
}

/** Returns the hubs of a service: the first daemons of its data centres, as far as these suffice. */
function hubsOf(members: Member[], service: string, { isKeyed }: { isKeyed: boolean }): Member[] {
  const own = members.filter((member) => member.service === service)
    .sort((one, other) => one.address < other.address ? -1 : 1);
  const ordered = isKeyed ? own : [...findRoomy(members, own), ...own];
  const firsts = new Map<string, Member>();
  for (const member of ordered) {
    if (!firsts.has(member.dataCentre)) {
      firsts.set(member.dataCentre, member);
    }
  }
  return [...new Set([...firsts.values(), ...ordered])].slice(0, OWN_HUB_COUNT);
}

/** Returns the daemons with much more processor time than most of a service, those of the service first. */
function findRoomy(members: Member[], own: Member[]): Member[] {
  const coresOf = ({ cores = 0 }: Member) => cores;
  const typical = own.map(coresOf).sort((one, other) => one - other)[Math.floor(own.length / 2)];
  if (own.length === 0 || typical === 0) {
    return [];
  }
  const roomy = members.filter((member) => coresOf(member) >= typical * ROOMY_FACTOR);
  const [{ service }] = own;
  const isOwn = (member: Member) => Number(member.service === service);
  // Services on small machines share the large ones of others, each in an order of its own.
  const rank = (member: Member) => rankOf(service, member.address);
  return roomy.sort((one, other) => isOwn(other) - isOwn(one) || rank(one) - rank(other));
}

/** Creates the order of one daemon, which computes the rank of each other daemon once. */
export function createRank(self: Address): (other: Address) => number {
  const ranks = new Map<Address, number>();
  return (other) => {
    const rank = ranks.get(other) ?? rankOf(self, other);
    ranks.set(other, rank);
    return rank;
  };
}

/** Returns a rank by which each daemon orders the others differently (FNV-1a hash). */
function rankOf(self: Address, other: Address): number {
  let hash = 0x811c9dc5;
  for (const character of `${self}|${other}`) {
    hash = Math.imul(hash ^ character.codePointAt(0)!, 0x01000193);
  }
  // Addresses differ mostly in their last characters, so those are mixed into all bits.
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return (hash ^ (hash >>> 13)) >>> 0;
}
