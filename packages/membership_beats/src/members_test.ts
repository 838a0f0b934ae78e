import { Buffer } from "node:buffer";
import { expect } from "chai";
import { type Member, readMember } from "./mod.ts";

const MEMBER: Member = {
  address: "10.0.0.9:7000",
  incarnation: "i",
  service: "despacho",
  dataCentre: "a",
  instance: "one",
};

function read(text: string): Member | undefined {
  return readMember({ key: "member/x", value: Buffer.from(text) });
}

describe("records of members", () => {
  it("contain a daemon's own record", () => {
    expect(read(JSON.stringify(MEMBER))).to.deep.equal(MEMBER);
  });

  for (
    const address of ["10.0.0.9:99999", "10.0.0.9:0", "", "10.0.0.9", "10.0.0.9:7000/a", "a:1"]
  ) {
    it(`are skipped when the address is "${address}"`, () => {
      expect(read(JSON.stringify({ ...MEMBER, address }))).to.equal(undefined);
    });
  }

  it("are skipped when they are nested deeply, have numbers that are too large, or are no JSON", () => {
    const nested = "[".repeat(200_000) + "]".repeat(200_000);
    const withNumber = JSON.stringify(MEMBER).replace('"i"', "1e999");
    for (const text of [nested, `{"address":${nested}}`, withNumber, "", "\0", "{"]) {
      expect(read(text)).to.equal(undefined);
    }
  });
});
