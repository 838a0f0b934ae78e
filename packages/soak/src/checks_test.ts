import { expect } from "chai";
import { checkRequests } from "./checks.ts";
import { HeldKeys, Ownership } from "./held_keys.ts";
import { History, Rule } from "./history.ts";
import type { WrittenVersion } from "./manifests.ts";
import { Ending, Requests, RunEnding, type SentRequest } from "./requests.ts";

const BODY_BYTES = 5_000;

/** Returns the body of a server's response. */
function bodyOf(id: string): string {
  return `${id} cotizador i-1-0 `.padEnd(BODY_BYTES - 3, ".") + "end";
}

/** Records of a soak that one request breaks or keeps a rule of. */
class Scenario {
  readonly history = new History();
  readonly requests = new Requests(1);
  readonly versions: WrittenVersion[] = [];

  /** Adds a request that was sent at 10,000 ms, and ended as given. */
  add(ending: Ending, result: Partial<SentRequest> = {}): SentRequest {
    const start = {
      kind: "test",
      machine: "a",
      path: "/q/sized",
      isOnce: false,
      deadlineMs: 3_500,
    };
    const request = this.requests.start(start);
    Object.assign(request, { sentAt: 10_000, wholeAt: 10_000, endedAt: 10_100, ending }, result);
    return request;
  }

  addRun(request: SentRequest, options: { service?: string; ending?: RunEnding } = {}): void {
    const { service = "cotizador", ending = RunEnding.Answered } = options;
    const run = this.requests.startRun({ id: request.id, machine: "b", server: "i-1-0", service });
    Object.assign(run, { startedAt: 10_010, endedAt: 10_050, ending });
  }

  /** Adds versions that were written and acknowledged at these times, from version 7 on. */
  addVersions(...times: number[]): void {
    times.forEach((at, index) =>
      this.versions.push({ version: 7 + index, writtenAt: at, ackedAt: at })
    );
  }

  get rules(): Rule[] {
    const { history, requests, versions } = this;
    return checkRequests({ history, requests, versions }).map(({ rule }) => rule);
  }
}

describe("checks of a soak", () => {
  let scenario: Scenario;

  beforeEach(() => scenario = new Scenario());

  // Guards against a check of evacuations that finds nothing.
  it("find a run that began past the bound of an evacuation of its data centre", () => {
    const request = scenario.add(Ending.Answered, { status: 200, hasOriginMarker: true });
    request.body = bodyOf(request.id);
    scenario.addRun(request);
    const { evacuations } = scenario.history;
    evacuations.push({ machines: ["b"], from: 5_100, until: Infinity });
    expect(scenario.rules).to.deep.equal([]);
    evacuations[0].from = 5_000;
    expect(scenario.rules).to.deep.equal([Rule.Evacuation]);
    evacuations[0].until = 10_000;
    expect(scenario.rules).to.deep.equal([]);
  });

  it("accept a whole response of the request's own run", () => {
    const request = scenario.add(Ending.Answered, { status: 200, hasOriginMarker: true });
    request.body = bodyOf(request.id);
    scenario.addRun(request);
    expect(scenario.rules).to.deep.equal([]);
  });

  it("find a request that ran and whose connection closed", () => {
    scenario.addRun(scenario.add(Ending.Closed));
    expect(scenario.rules).to.deep.equal([Rule.Lost]);
  });

  it("find a request that was read and never answered", () => {
    scenario.add(Ending.Closed, { endedAt: 10_500 });
    scenario.add(Ending.GivenUp, { endedAt: 15_500 });
    expect(scenario.rules).to.deep.equal([Rule.Lost, Rule.Lost]);
  });

  it("excuse a request that crosses the close of its connection", () => {
    scenario.add(Ending.Closed);
    scenario.add(Ending.Unread, { endedAt: 10_500 });
    scenario.add(Ending.Reset, { endedAt: 10_500 });
    expect(scenario.rules).to.deep.equal([]);
    scenario.addRun(scenario.add(Ending.Unread));
    scenario.addRun(scenario.add(Ending.Reset));
    expect(scenario.rules).to.deep.equal([Rule.Lost, Rule.Lost]);
  });

  it("judge no time while the soak's own process stalls, but cut runs", () => {
    scenario.history.stalls.push({ from: 9_000, until: 10_400 });
    scenario.add(Ending.Closed, { endedAt: 10_500 });
    scenario.add(Ending.GivenUp, { endedAt: 15_500 });
    expect(scenario.rules).to.deep.equal([]);
    scenario.addRun(scenario.add(Ending.Closed));
    expect(scenario.rules).to.deep.equal([Rule.Lost]);
  });

  it("excuse a cut by a crashed server, and none by a daemon", () => {
    scenario.addRun(scenario.add(Ending.Closed), { ending: RunEnding.Crashed });
    expect(scenario.rules).to.deep.equal([]);
    scenario.addRun(scenario.add(Ending.Closed), { ending: RunEnding.Cut });
    expect(scenario.rules).to.deep.equal([Rule.Lost]);
  });

  it("find a response of another request and an incomplete one", () => {
    const foreign = scenario.add(Ending.Answered, { status: 200, hasOriginMarker: true });
    foreign.body = bodyOf("other");
    const cut = scenario.add(Ending.Answered, { status: 200, hasOriginMarker: true });
    cut.body = bodyOf(cut.id).slice(0, -1);
    scenario.add(Ending.Answered, { status: 503, answerId: "other" });
    expect(scenario.rules).to.deep.equal([Rule.Route, Rule.Route, Rule.Route]);
  });

  it("find a run at another service, a repeated run and a run that the status denies", () => {
    scenario.addRun(scenario.add(Ending.Answered, { status: 500 }), { service: "tarifas" });
    const repeated = scenario.add(Ending.Answered, { status: 500, isOnce: true });
    scenario.addRun(repeated);
    scenario.addRun(repeated);
    scenario.addRun(scenario.add(Ending.Answered, { status: 503, isOnce: true }));
    expect(scenario.rules).to.deep.equal([Rule.Route, Rule.Route, Rule.Route]);
  });

  /** Adds a probe of a version with a status, sent at a time. */
  function addProbe(version: number, status: number, sentAt: number): void {
    const path = `/x${version}/sized`;
    const request = scenario.add(Ending.Answered, { path, status, sentAt, endedAt: sentAt + 20 });
    Object.assign(request, { hasOriginMarker: true, body: bodyOf(request.id) });
  }

  it("find probes that an outdated version responded to", () => {
    scenario.addVersions(0, 5_000);
    addProbe(7, 200, 6_900);
    addProbe(8, 404, 6_900);
    expect(scenario.rules).to.deep.equal([]);
    addProbe(7, 200, 7_100);
    addProbe(8, 404, 7_100);
    expect(scenario.rules).to.deep.equal([Rule.Config, Rule.Config]);
  });

  it("find a daemon that returns to an older version", () => {
    scenario.addVersions(0, 5_000);
    addProbe(8, 200, 5_100);
    addProbe(7, 200, 5_200);
    expect(scenario.rules).to.deep.equal([]);
    addProbe(7, 200, 5_500);
    expect(scenario.rules).to.deep.equal([Rule.Config]);
  });
});

describe("checks of the owners of keys", () => {
  const found: string[] = [];
  const ownership = new Ownership({ report: (detail) => found.push(detail), sharedMsMax: -1 });
  const servers = ["i-0", "i-1"].map((server) => new HeldKeys(server));
  servers.forEach((keys) => ownership.add(keys));

  function grant(keys: HeldKeys, epoch: number): void {
    const order = { first: 10, last: 19, epoch, durationMs: 5_000, handover: undefined };
    expect(keys.grant(order)).to.equal(true);
    ownership.recordGrant(keys, order);
  }

  beforeEach(() => found.splice(0));

  it("find an epoch that is not above that of another server", () => {
    grant(servers[0], 4);
    expect(found).to.have.length(0);
    grant(servers[1], 4);
    expect(found).to.have.length(1);
  });

  it("find keys that two servers hold, and a run on one of them", () => {
    ownership.sample();
    ownership.recordRun(servers[1], 12);
    expect(found).to.have.length(2);
  });

  it("accept a server that took released keys over", async () => {
    await servers[0].release({ first: 10, last: 19, epoch: 4 });
    ownership.sample();
    ownership.recordRun(servers[1], 12);
    expect(found).to.have.length(0);
  });
});
