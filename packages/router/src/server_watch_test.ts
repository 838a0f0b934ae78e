import { expect } from "chai";
import { type ServerReport, ServerState } from "@bulrushwood/deployment";
import { ServerWatch } from "./server_watch.ts";

const REPORT_EVERY_MS = 870;
const LARGEST = Number.MAX_SAFE_INTEGER;
const REPORT: ServerReport = {
  id: "s1",
  bornMs: 1_776_080_917_500,
  address: "10.0.0.1:8000",
  service: "despacho",
  dataCentre: "a",
  slots: 12,
  state: ServerState.Ready,
  sequence: 4,
  coldMs: 0,
  held: [],
  released: [],
};

/** A watch that gets a report at each call of `report`, one report interval after the one before. */
class Scenario {
  #time = 0;
  readonly watch = new ServerWatch({
    service: REPORT.service,
    now: () => this.#time,
    reportEveryMs: REPORT_EVERY_MS,
  });

  report(changes: Partial<ServerReport>, options: { afterMs?: number } = {}): boolean {
    this.#time += options.afterMs ?? REPORT_EVERY_MS;
    return this.watch.apply({ kind: "report", report: { ...REPORT, ...changes } });
  }
}

describe("server watch", () => {
  const odd: [string, Partial<ServerReport>][] = [
    ["sequence", { sequence: LARGEST }],
    ["start", { bornMs: LARGEST }],
    ["start, under another id", { id: "other", bornMs: LARGEST }],
  ];
  for (const [name, changes] of odd) {
    it(`follows the server again after another writer's report with too large a ${name}`, () => {
      const scenario = new Scenario();
      scenario.report({ sequence: 5 });
      scenario.report({ ...changes, coldMs: 0 }, { afterMs: 100 });
      const accepted = [6, 7, 8].map((sequence) => scenario.report({ sequence }));
      expect(accepted.at(-1)).to.equal(true);
      expect(scenario.watch.ready?.id).to.equal(REPORT.id);
      expect(scenario.watch.ready?.bornMs).to.equal(REPORT.bornMs);
      expect(scenario.watch.ready?.sequence).to.equal(8);
    });
  }

  it("keeps to the newer incarnation while late reports of the earlier one arrive", () => {
    const scenario = new Scenario();
    const newer = { id: "s2", bornMs: REPORT.bornMs + 5_000 };
    scenario.report({ ...newer, sequence: 1 });
    for (let sequence = 2; sequence < 8; sequence++) {
      expect(scenario.report({ sequence: sequence + 40 }, { afterMs: 400 })).to.equal(false);
      expect(scenario.report({ ...newer, sequence }, { afterMs: 470 })).to.equal(true);
    }
  });

  it("does not take late reports that arrive together for a server that reports", () => {
    const scenario = new Scenario();
    scenario.report({ sequence: 20, state: ServerState.Draining });
    const late = [8, 9, 10, 11].map((sequence) =>
      scenario.report({ sequence }, { afterMs: sequence === 8 ? 3 * REPORT_EVERY_MS : 5 })
    );
    expect(late).to.deep.equal([false, false, false, false]);
    expect(scenario.watch.ready).to.equal(undefined);
  });

  it("keeps a server as leaving when its earlier reports arrive late", () => {
    const scenario = new Scenario();
    scenario.report({ sequence: 20, state: ServerState.Draining });
    for (const sequence of [8, 9, 10, 11]) {
      scenario.report({ sequence });
      expect(scenario.watch.ready).to.equal(undefined);
    }
  });

  // Guards against requests to a server that left while its daemon had restarted and knew no report of it.
  it("keeps a server as leaving whose farewell came before its first report", () => {
    const scenario = new Scenario();
    scenario.watch.apply({ kind: "farewell", id: REPORT.id });
    scenario.report({ sequence: 8 });
    expect(scenario.watch.ready).to.equal(undefined);
    scenario.report({ bornMs: Date.now() + REPORT_EVERY_MS, sequence: 1 });
    expect(scenario.watch.ready?.sequence, "the next life is ready").to.equal(1);
  });

  // Guards against requests past the drain bound: the report is acknowledged although it is outdated.
  it("keeps to a server's leaving after another writer's report with too large a sequence", () => {
    const scenario = new Scenario();
    scenario.report({ sequence: 5 });
    scenario.report({ sequence: LARGEST }, { afterMs: 100 });
    scenario.report({ sequence: 6, state: ServerState.Draining });
    expect(scenario.watch.ready).to.equal(undefined);
    expect(scenario.watch.departure?.id).to.equal(REPORT.id);
  });
});
