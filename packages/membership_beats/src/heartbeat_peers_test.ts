import { expect } from "chai";
import { chooseHeartbeatPeers, createRank, HeartbeatPeerRole, type Member } from "./mod.ts";

const KEYED = "despacho";
const UNKEYED = "inspeccion";
/** Hubs of both services. */
const HUBS = 6;
const DATA_CENTRES = ["a", "b", "c", "d", "e"];

/** Makes members of which every fifth belongs to a service without keys. */
function createMembers(count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `10.1.${100 + index}.7:7660`,
    incarnation: "i",
    service: index % 5 === 4 ? UNKEYED : KEYED,
    dataCentre: DATA_CENTRES[index % 3],
    instance: `i${index}`,
  }));
}

function choose(members: Member[], self: Member, unresponsive: ReadonlySet<string> = new Set()) {
  return chooseHeartbeatPeers({
    rank: createRank(self.address),
    service: self.service,
    dataCentre: self.dataCentre,
    members: members.filter((member) => member !== self),
    isUnresponsive: (address) => unresponsive.has(address),
    unkeyedServices: new Set([UNKEYED]),
  });
}

function withRole(peers: Map<string, HeartbeatPeerRole>, role: HeartbeatPeerRole): string[] {
  return [...peers].filter(([, assigned]) => assigned === role).map(([address]) => address);
}

describe("choosing heartbeat peers", () => {
  it("takes all daemons in a small deployment", () => {
    const members = createMembers(12);
    expect(choose(members, members[3])).to.have.lengthOf(11);
  });

  for (const count of [61, 195, 1_000]) {
    it(`gives each of ${count} daemons a bounded number of heartbeat peers and of voter roles`, () => {
      const members = createMembers(count);
      const voterUses = new Map<string, number>();
      for (const self of members) {
        const peers = choose(members, self);
        expect(peers.size).to.be.at.most(13);
        withRole(peers, HeartbeatPeerRole.Voter)
          .forEach((address) => voterUses.set(address, (voterUses.get(address) ?? 0) + 1));
      }
      // Hubs have a role of their own at the daemons that choose voters.
      expect(voterUses.size).to.be.above((count - HUBS) * 0.95);
      expect(Math.max(...voterUses.values())).to.be.below(8 * 4);
    });
  }

  // Guards against daemons beside servers without keys that spend their processor time on heartbeats nobody needs.
  it("gives daemons whose service has no keys no voters", () => {
    const members = createMembers(61);
    for (const self of members) {
      const voters = withRole(choose(members, self), HeartbeatPeerRole.Voter);
      expect(voters.length > 0).to.equal(self.service === KEYED);
    }
  });

  it("gives all daemons of a service the same hubs, and each two of the hubs of other services as sources", () => {
    const members = createMembers(195);
    const keyed = members.filter(({ service }) => service === KEYED);
    const hubs = new Set(
      keyed.slice(10).map((self) =>
        withRole(choose(members, self), HeartbeatPeerRole.Hub).sort().join()
      ),
    );
    expect([...hubs]).to.deep.equal([keyed.slice(0, 3).map(({ address }) => address).join()]);
    const unkeyedHubs = members.filter(({ service }) => service === UNKEYED).slice(0, 3);
    for (const self of keyed) {
      const sources = withRole(choose(members, self), HeartbeatPeerRole.Source);
      expect(sources).to.have.lengthOf(2);
      expect(unkeyedHubs.map(({ address }) => address)).to.include.members(sources);
    }
  });

  // Guards against the status of all servers being sent between data centres several times a second to each daemon.
  it("takes one source of each service without keys from the daemon's own data centre", () => {
    const members = createMembers(61);
    const dataCentreOf = new Map(members.map(({ address, dataCentre }) => [address, dataCentre]));
    for (const self of members) {
      const sources = withRole(choose(members, self), HeartbeatPeerRole.Source);
      const local = sources.filter((address) => dataCentreOf.get(address) === self.dataCentre);
      expect(local.length, self.address).to.be.at.least(self === members[4] ? 0 : 1);
    }
  });

  // Guards against small machines that spend their time on the heartbeats of all others.
  it("takes large machines of other services as hubs of a service on small ones", () => {
    const members = createMembers(61).map((member, index) => ({
      ...member,
      cores: index % 10 === 0 ? 1.35 : 0.27,
    }));
    const coresOf = new Map(members.map(({ address, cores }) => [address, cores]));
    const uses = new Set<string>();
    for (const self of members) {
      const sources = withRole(choose(members, self), HeartbeatPeerRole.Source);
      sources.forEach((address) => uses.add(address));
      expect(sources.every((address) => coresOf.get(address) === 1.35), self.address).to.equal(
        true,
      );
    }
    expect(uses.size).to.be.within(3, 6);
  });

  // Guards against two daemons that report to all others, beside servers that get as many requests as the rest.
  it("shares the daemons that ask for the status of a service among its hubs", () => {
    const members = createMembers(61);
    const uses = new Map<string, number>();
    const keyed = members.filter(({ service }) => service === KEYED);
    keyed.flatMap((self) => withRole(choose(members, self), HeartbeatPeerRole.Source))
      .forEach((address) => uses.set(address, (uses.get(address) ?? 0) + 1));
    expect(uses.size).to.equal(3);
    const mean = keyed.length * 2 / 3;
    expect(Math.max(...uses.values()) / mean).to.be.below(1.35);
  });

  it("replaces unresponsive daemons, however many there are", () => {
    const members = createMembers(195);
    const self = members[150];
    const unresponsive = new Set(members.slice(0, 80).map(({ address }) => address));
    const peers = choose(members, self, unresponsive);
    expect([...peers.keys()].some((address) => unresponsive.has(address))).to.equal(false);
    expect(withRole(peers, HeartbeatPeerRole.Hub)).to.have.length(3);
    expect(withRole(peers, HeartbeatPeerRole.Voter).length).to.be.above(4);
  });

  it("keeps most voters when one more daemon joins", () => {
    const members = createMembers(196);
    const before = choose(members.slice(0, 195), members[0]);
    const after = choose(members, members[0]);
    expect([...before.keys()].filter((address) => !after.has(address)).length).to.be.at.most(1);
  });
});
