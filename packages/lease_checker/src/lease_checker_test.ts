import { expect } from "chai";
import { checkLeases, RuleName } from "./mod.ts";

/** Seeds and numbers of schedules that must not lead to two owners. */
const CHECKS = [
  { seed: 1, schedules: 800 },
  { seed: 2, schedules: 800 },
  { seed: 3, schedules: 800 },
];
/** Number of schedules within which a disabled rule must lead to two owners. */
const DISABLED_RULE_SCHEDULES = 4_000;

describe("the lease rules", () => {
  for (const { seed, schedules } of CHECKS) {
    it(`prevent two owners in ${schedules} schedules of seed ${seed}`, async () => {
      const report = await checkLeases({ seed, schedules });
      expect(report.schedule, JSON.stringify(report)).to.equal(undefined);
      expect(report.runs).to.equal(schedules);
      expect(report.orders).to.be.greaterThan(schedules);
    });
  }

  for (const without of Object.values(RuleName)) {
    it(`allow two owners when ${without} is disabled`, async () => {
      const options = { seed: 1, schedules: DISABLED_RULE_SCHEDULES, without, shrinks: false };
      const report = await checkLeases(options);
      expect(report.violation, `${report.runs} schedules`).to.not.equal(undefined);
    });
  }
});
