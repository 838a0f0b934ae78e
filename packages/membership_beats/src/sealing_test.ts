import { expect } from "chai";
import { SUPPORT_MS } from "@bulrushwood/lease_votes";
import { isSealedBy, sealTenure } from "./mod.ts";

const TIMING = { supportMsMax: SUPPORT_MS };
const VOTERS = ["a", "b", "c"].map((address) => ({ address, incarnation: `${address}1` }));

describe("sealing a tenure", () => {
  it("counts a restarted voter only once its earlier support has expired", () => {
    const reply = { incarnation: "a2", isSealed: false };
    expect(isSealedBy(VOTERS[0], { ...reply, uptimeMs: SUPPORT_MS - 1 }, TIMING)).to.equal(false);
    expect(isSealedBy(VOTERS[0], { ...reply, uptimeMs: SUPPORT_MS + 500 }, TIMING)).to.equal(true);
  });

  it("does not count a voter that does not reply", () => {
    expect(isSealedBy(VOTERS[0], undefined, TIMING)).to.equal(false);
  });

  for (
    const [sealers, ended] of [[["a"], false], [["b", "c"], true], [["a", "b", "c"], true]] as const
  ) {
    it(`${ended ? "ends" : "does not end"} it with the seals of ${sealers.join(", ")}`, async () => {
      const ask = (voter: string) =>
        Promise.resolve({
          incarnation: `${voter}1`,
          isSealed: (sealers as readonly string[]).includes(voter),
          uptimeMs: 60_000,
        });
      expect(await sealTenure("t", VOTERS, { ask, ...TIMING })).to.equal(ended);
    });
  }
});
