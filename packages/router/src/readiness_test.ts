import { expect } from "chai";
import { mayGoOut } from "./readiness.ts";

/** Returns how many of a number of daemons go out while some of them do not accept callers. */
function countOut(daemons: number, unable: number): number {
  const all = Array.from({ length: daemons }, (_, index) => ({
    address: `10.0.0.${100 + index}:7660`,
    acceptsCallers: index >= unable,
  }));
  return all.filter(({ address, acceptsCallers }) =>
    !acceptsCallers && mayGoOut(address, all.filter((other) => other.address !== address))
  ).length;
}

describe("readiness", () => {
  it("fails at daemons that do not accept callers", () => {
    expect(countOut(10, 1)).to.equal(1);
    expect(countOut(10, 2)).to.equal(2);
    expect(countOut(76, 19)).to.equal(19);
  });

  it("does not fail at all daemons together, however many do not accept callers", () => {
    expect(countOut(10, 10)).to.equal(2);
    expect(countOut(76, 76)).to.equal(19);
    expect(countOut(3, 3)).to.equal(1);
  });

  it("does not fail where there is hardly any other daemon", () => {
    expect(countOut(1, 1)).to.equal(0);
    expect(countOut(2, 2)).to.equal(0);
  });
});
