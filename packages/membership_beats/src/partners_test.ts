import { expect } from "chai";
import { choosePartners, type Member, PartnerRole } from "./mod.ts";

const KEYED = "despacho";
const OPEN = "inspeccion";
const DATA_CENTRES = ["a", "b", "c", "d", "e"];

/** Every fifth daemon stands beside a server without keys. */
function createMembers(count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `10.1.${100 + index}.7:7660`,
    incarnation: "i",
    service: index % 5 === 4 ? OPEN : KEYED,
    dataCentre: DATA_CENTRES[index % 3],
    instance: `i${index}`,
  }));
}

function partnersOf(members: Member[], self: Member, silent: ReadonlySet<string> = new Set()) {
  return choosePartners({
    self: self.address,
    service: self.service,
    members: members.filter((member) => member !== self),
    isSilent: (address) => silent.has(address),
    openServices: new Set([OPEN]),
  });
}

function withRole(partners: Map<string, PartnerRole>, role: PartnerRole): string[] {
  return [...partners].filter(([, present]) => present === role).map(([address]) => address);
}

describe("choosing partners for heartbeats", () => {
  it("takes everybody in a small deployment", () => {
    const members = createMembers(12);
    expect(partnersOf(members, members[3])).to.have.lengthOf(11);
  });

  for (const count of [61, 195, 1_000]) {
    it(`has a bounded number of partners among ${count} daemons, and is one of a bounded number's`, () => {
      const members = createMembers(count);
      const voted = new Map<string, number>();
      for (const self of members) {
        const partners = partnersOf(members, self);
        expect(partners.size).to.be.at.most(13);
        withRole(partners, PartnerRole.Voter)
          .forEach((address) => voted.set(address, (voted.get(address) ?? 0) + 1));
      }
      expect(voted.size).to.be.above(count * 0.95);
      expect(Math.max(...voted.values())).to.be.below(8 * 4);
    });
  }

  it("lets all daemons of a service report to the same hubs, and all learn from the same sources", () => {
    const members = createMembers(195);
    const keyed = members.filter(({ service }) => service === KEYED);
    const hubs = new Set(
      keyed.slice(10).map((self) =>
        withRole(partnersOf(members, self), PartnerRole.Hub).sort().join()
      ),
    );
    const sources = new Set(
      keyed.map((self) => withRole(partnersOf(members, self), PartnerRole.Source).sort().join()),
    );
    expect([...hubs]).to.deep.equal([keyed.slice(0, 3).map(({ address }) => address).join()]);
    expect(sources.size).to.equal(1);
  });

  it("puts others in the place of those that fall silent, however many", () => {
    const members = createMembers(195);
    const self = members[150];
    const silent = new Set(members.slice(0, 80).map(({ address }) => address));
    const partners = partnersOf(members, self, silent);
    expect([...partners.keys()].some((address) => silent.has(address))).to.equal(false);
    expect(withRole(partners, PartnerRole.Hub)).to.have.length(3);
    expect(withRole(partners, PartnerRole.Voter).length).to.be.above(4);
  });

  it("keeps most voters when one daemon more joins", () => {
    const members = createMembers(196);
    const before = partnersOf(members.slice(0, 195), members[0]);
    const after = partnersOf(members, members[0]);
    expect([...before.keys()].filter((address) => !after.has(address)).length).to.be.at.most(1);
  });
});
