import { expect } from "chai";
import { OUTSIDE } from "@bulrushwood/platform/outside";
import { chooseFaults, FAULTS } from "./faults/mod.ts";
import { formatReport } from "./report.ts";
import { createSchedule, runSoak } from "./soak.ts";

const BINARY = "dist/bulrushwood";
const ALL_FAULTS = chooseFaults(Object.keys(FAULTS));

describe("fault soak", () => {
  it("plays the same schedule again for the same seed", () => {
    const create = (seed: number) => createSchedule({ seed, seconds: 40, faults: ALL_FAULTS });
    expect(create(7)).to.deep.equal(create(7));
    expect(create(7)).not.to.deep.equal(create(8));
  });

  for (const seed of [1, 2]) {
    it(`finds no fault of the binary with seed ${seed}`, async () => {
      const report = await runSoak({
        seed,
        seconds: 18,
        daemons: 4,
        binary: BINARY,
        faults: ALL_FAULTS,
        outside: OUTSIDE,
      });
      const text = formatReport(report, { withSchedule: false });
      expect(report.findings, text).to.have.length(0);
      expect(report.endings.get("200"), text).to.be.above(0);
    });
  }
});
