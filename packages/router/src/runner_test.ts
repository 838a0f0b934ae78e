import { expect } from "chai";
import {
  incarnationName,
  type ServerReport,
  ServerState,
  type ServerWire,
  type StatusReport,
} from "@bulrushwood/deployment";
import { type GrantManager, KeyState } from "@bulrushwood/lease_ranges";
import { Reason, type RequestHead } from "@bulrushwood/protocol";
import { now, Outcome, sleep, type WaitOptions } from "@bulrushwood/types";
import { REQUEST_HEAD } from "./head_fixture.ts";
import { RequestStage } from "./request_stage.ts";
import { Runner } from "./runner.ts";
import { type ServerClient, ServerOutcome, type ServerResult } from "./server_client.ts";
import { ServerWatch } from "./server_watch.ts";

const SERVICE = "despacho";
const DRAIN_MS = 800;
const NEVER = new AbortController().signal;

const REPORT: ServerReport = {
  id: "s1",
  bornMs: 1,
  address: "10.0.0.1:8000",
  service: SERVICE,
  dataCentre: "dc1",
  slots: 1,
  state: ServerState.Ready,
  sequence: 1,
  coldMs: 0,
  held: [],
  released: [],
};

const TARGET_MS = 400;
/** Time for which a request waits for a slot, in milliseconds. */
const SLOT_WAIT_MS = 200;
const COLD_PER_SECOND = 12;
const COLD_MS = 2_000;
/** Bound on the requests of a cold server in one second, as the deployments state it. */
const COLD_EXCESS = 1.5;
const COLD_SLACK = 8;
const OWNER = "10.0.0.9:7000";
/** Time that a grant must have left, in milliseconds. */
const GRANT_LEFT_MS = 800;

const HEAD = { ...REQUEST_HEAD, pool: SERVICE, targetMs: TARGET_MS };

const RESPONDED: ServerResult = {
  outcome: ServerOutcome.Responded,
  detail: "",
  status: 200,
  headers: [],
  body: undefined,
  load: undefined,
  notice: undefined,
  isConnectionRefused: false,
  isConnectionLost: false,
  isUnframed: false,
};

function report(fields: Partial<ServerReport> = {}): StatusReport {
  return { kind: "report", report: { ...REPORT, ...fields } };
}

/** Creates a runner whose server records when each request arrives and responds after `workMs`. */
function createRunner(
  options: {
    workMs?: number | (() => number);
    state?: (key: number, leftMs?: number) => KeyState;
    grantLeftMs?: number;
    grantedUntil?: () => number;
    onOutlasted?: () => void;
    coldPerSecond?: number;
    isEvacuated?: () => boolean;
    changeMs?: number;
    reachedAt?: number[];
    respond?: (count: number) => ServerResult;
  } = {},
) {
  const { workMs = 0, state = () => KeyState.Granted, changeMs = 20, reachedAt = [] } = options;
  const { respond = () => RESPONDED } = options;
  const watch = new ServerWatch({
    service: SERVICE,
    now,
    reportEveryMs: 60_000,
    coldPerSecond: () => options.coldPerSecond,
  });
  const stages: RequestStage[] = [];
  const client = {
    send: async () => {
      reachedAt.push(now());
      const result = respond(reachedAt.length);
      await sleep(typeof workMs === "number" ? workMs : workMs());
      return result;
    },
  } as unknown as ServerClient;
  const runner = new Runner({
    service: SERVICE,
    watch,
    client,
    wire: { requestHeaders: () => [] } as Partial<ServerWire> as ServerWire,
    grantManager: {
      stateOf: state,
      grantedUntil: options.grantedUntil ?? (() => Infinity),
      waitForChange: ({ ms, signal }: WaitOptions) => sleep(Math.min(ms, changeMs), signal),
    } as unknown as GrantManager,
    ownerOf: () => OWNER,
    grantLeftMs: () => options.grantLeftMs ?? 0,
    isEvacuated: options.isEvacuated,
    ends: { quarantinedMs: () => 0, recordLost: () => {}, recordCompleted: () => {} },
    drainMs: DRAIN_MS,
    log: () => {},
    onResult: () => {},
    onOutlasted: options.onOutlasted ?? (() => {}),
    onMalformedNotice: () => {},
    onCancelled: (_head, stage) => stages.push(stage),
  });
  return { runner, watch, reachedAt, stages };
}

/** Sends a runner `perSecond` requests a second for some time. */
async function load(
  runner: Runner,
  options: { perSecond: number; forMs: number; head?: RequestHead },
) {
  const { head = HEAD } = options;
  const responses = [];
  const until = now() + options.forMs;
  while (now() < until) {
    responses.push(runner.serve(head, undefined, { signal: NEVER }));
    await sleep(1_000 / options.perSecond);
  }
  return await Promise.all(responses);
}

describe("runner", () => {
  it("sends a server no more requests than the limit that it names, also after a restart of the daemon", async () => {
    const [perSecond, windowMs] = [20, 4_000];
    const reachedAt: number[] = [];
    const notice = { requestsPerSecond: perSecond, isLeaving: false };
    // Every third request is rejected by the server; it counts as well.
    const respond = (count: number): ServerResult => ({
      ...RESPONDED,
      notice,
      outcome: count % 3 === 0 ? ServerOutcome.NotRun : ServerOutcome.Responded,
    });
    for (let start = 0; start < 3; start++) {
      const { runner, watch } = createRunner({ workMs: 50, reachedAt, respond });
      watch.apply(report({ slots: 12 }));
      const responses = await load(runner, { perSecond: 120, forMs: windowMs / 2 });
      const rejected = responses.filter(({ head }) => head.reason === Reason.Overloaded);
      expect(rejected.length).to.be.above(0);
      expect(Math.min(...rejected.map(({ head }) => head.retryAfterMs ?? 0))).to.be.above(0);
    }
    const counts = reachedAt.map((from) =>
      reachedAt.filter((at) => at >= from && at < from + windowMs).length
    );
    expect(Math.max(...counts)).to.be.at.most(1.5 * perSecond * windowMs / 1_000 + 5);
    expect(reachedAt.length).to.be.above(0.8 * perSecond * 1.5 * windowMs / 1_000);
  });

  it("sends a server that resets each connection only some requests until it names a limit, after restarts of the daemon", async () => {
    const [perSecond, windowMs] = [2, 4_000];
    const reachedAt: number[] = [];
    const reset = { ...RESPONDED, outcome: ServerOutcome.Unknown, status: 0 };
    for (let start = 0; start < 2; start++) {
      const { runner, watch } = createRunner({ reachedAt, respond: () => reset });
      watch.apply(report({ slots: 12 }));
      await load(runner, { perSecond: 60, forMs: windowMs / 2 });
    }
    expect(reachedAt.length).to.be.within(4, 1.5 * perSecond * windowMs / 1_000 + 5);
  });

  it("sends nothing to a server after the drain bound has passed since its leaving was accepted", async () => {
    const { runner, watch, reachedAt } = createRunner({ workMs: 60 });
    watch.apply(report());
    watch.apply(report({ state: ServerState.Draining, sequence: 2 }));
    const leftAt = now();
    const responses = [];
    while (now() < leftAt + DRAIN_MS + 300) {
      // Two concurrent requests, so that one is queued for the slot.
      responses.push(
        ...await Promise.all([1, 2].map(() => runner.serve(HEAD, undefined, { signal: NEVER }))),
      );
      await sleep(10);
    }
    expect(reachedAt.length).to.be.above(0);
    expect(Math.max(...reachedAt)).to.be.below(leftAt + DRAIN_MS);
    const last = responses.at(-1)!.head;
    expect(last).to.include({ outcome: Outcome.NotRun, reason: Reason.Draining });
  });

  it("sends nothing to a server after the drain bound has passed since it announced its leaving in a response", async () => {
    const respond = (): ServerResult => ({
      ...RESPONDED,
      notice: { requestsPerSecond: undefined, isLeaving: true },
    });
    const { runner, watch, reachedAt } = createRunner({ respond });
    watch.apply(report());
    const { head } = await runner.serve(HEAD, undefined, { signal: NEVER });
    const announcedAt = now();
    expect(head.leavingServer).to.equal(incarnationName(REPORT));
    watch.apply(report({ sequence: 2 }));
    while (now() < announcedAt + DRAIN_MS + 200) {
      await runner.serve(HEAD, undefined, { signal: NEVER });
      await sleep(10);
    }
    expect(Math.max(...reachedAt)).to.be.below(announcedAt + DRAIN_MS);
  });

  it("sends nothing to a server that has left for a peer, although it reports to a restarted daemon", async () => {
    const { runner, watch, reachedAt } = createRunner();
    const excluded = { ...HEAD, excludedServer: incarnationName(REPORT) };
    watch.apply(report({ state: ServerState.Draining }));
    const { head } = await runner.serve(excluded, undefined, { signal: NEVER });
    expect(head).to.include({ outcome: Outcome.NotRun, reason: Reason.Draining });
    await runner.serve(HEAD, undefined, { signal: NEVER });
    expect(reachedAt).to.deep.equal([]);
    watch.apply(report({ bornMs: 2 }));
    expect((await runner.serve(excluded, undefined, { signal: NEVER })).head.status).to.equal(200);
  });

  it("sends nothing to a server that sent its farewell without draining first", async () => {
    const { runner, watch, reachedAt } = createRunner();
    watch.apply(report());
    watch.apply({ kind: "farewell", id: REPORT.id });
    await sleep(DRAIN_MS);
    expect((await runner.serve(HEAD, undefined, { signal: NEVER })).head.outcome).to.equal(
      Outcome.NotRun,
    );
    expect(reachedAt).to.deep.equal([]);
  });

  it("runs a request whose key is granted while it can still meet the target", async () => {
    const startedAt = now();
    const state = () => now() - startedAt > 150 ? KeyState.Granted : KeyState.Pending;
    const { runner, watch } = createRunner({ state });
    watch.apply(report());
    expect((await runner.serve(HEAD, undefined, { signal: NEVER })).head.status).to.equal(200);
  });

  // Guards against cold servers that fall over under the requests of all daemons together.
  it("sends a cold server no more requests in any second than the bound of deployments", async () => {
    const { runner, watch, reachedAt } = createRunner({
      workMs: 1,
      coldPerSecond: COLD_PER_SECOND,
    });
    watch.apply(report({ slots: 50, coldMs: COLD_MS }));
    await load(runner, { perSecond: 200, forMs: COLD_MS });
    const inSecondFrom = (at: number) =>
      reachedAt.filter((reached) => reached >= at && reached < at + 1_000).length;
    expect(reachedAt.length).to.be.above(COLD_PER_SECOND * COLD_MS / 1_000 / 2);
    expect(Math.max(...reachedAt.map(inSecondFrom)))
      .to.be.at.most(COLD_PER_SECOND * COLD_EXCESS + COLD_SLACK);
    const before = reachedAt.length;
    await load(runner, { perSecond: 200, forMs: 500 });
    expect(reachedAt.length - before).to.be.above(60);
  });

  it("sends nothing to a server whose data centre is evacuated", async () => {
    let isEvacuated = true;
    const { runner, watch, reachedAt } = createRunner({ isEvacuated: () => isEvacuated });
    watch.apply(report());
    const { head } = await runner.serve(HEAD, undefined, { signal: NEVER });
    expect(head).to.include({ outcome: Outcome.NotRun, reason: Reason.Draining });
    expect(reachedAt).to.deep.equal([]);
    isEvacuated = false;
    expect((await runner.serve(HEAD, undefined, { signal: NEVER })).head.status).to.equal(200);
  });

  it("names the owner of a key that this daemon does not hold", async () => {
    const { runner, watch } = createRunner({ state: () => KeyState.Elsewhere });
    watch.apply(report());
    const { head } = await runner.serve({ ...HEAD, shard: 7 }, undefined, { signal: NEVER });
    expect(head).to.include({ reason: Reason.NotHolder, owner: OWNER });
  });

  // Guards against work that outlasts the grant under which it begins.
  it("runs a request only once the grant for its key lasts long enough for the work", async () => {
    const renewedAt = now() + 100;
    const { runner, watch, reachedAt } = createRunner({
      workMs: 10,
      state: (_key, leftMs = 0) =>
        leftMs < GRANT_LEFT_MS || now() >= renewedAt ? KeyState.Granted : KeyState.Pending,
      grantLeftMs: GRANT_LEFT_MS,
    });
    watch.apply(report({ slots: 4 }));
    await runner.serve({ ...HEAD, shard: 7 }, undefined, { signal: NEVER });
    expect(reachedAt).to.have.length(1);
    expect(reachedAt[0]).to.be.at.least(renewedAt);
  });

  // Guards against work that is taken for short since its grant ended a moment earlier at the server.
  it("takes work for longer than its grant if it fails when the grant ends by the server's clock", async () => {
    for (const [earlierMs, outlasted] of [[20, 1], [300, 0]]) {
      let count = 0;
      const { runner, watch } = createRunner({
        workMs: 50,
        respond: () => ({ ...RESPONDED, status: 500 }),
        grantedUntil: () => now() + 50 + earlierMs,
        onOutlasted: () => count++,
      });
      watch.apply(report({ slots: 4 }));
      await runner.serve({ ...HEAD, shard: 7 }, undefined, { signal: NEVER });
      expect(count).to.equal(outlasted);
    }
  });

  // Guards against requests that wait for their key once more after they have waited for a slot.
  it("waits for a key no longer in all than the target can still be met", async () => {
    let workMs = 0;
    let isBlocked = false;
    const { runner, watch } = createRunner({
      workMs: () => workMs,
      state: () => isBlocked ? KeyState.Pending : KeyState.Granted,
    });
    watch.apply(report({ slots: 1 }));
    for (let count = 0; count < 10; count++) {
      await runner.serve({ ...HEAD, shard: 7 }, undefined, { signal: NEVER });
    }
    workMs = SLOT_WAIT_MS;
    const first = runner.serve({ ...HEAD, shard: 7 }, undefined, { signal: NEVER });
    const startedAt = now();
    const second = runner.serve({ ...HEAD, shard: 8 }, undefined, { signal: NEVER });
    await sleep(SLOT_WAIT_MS / 2);
    isBlocked = true;
    expect((await second).head.reason).to.equal(Reason.NotHolder);
    expect(now() - startedAt).to.be.below(TARGET_MS + SLOT_WAIT_MS / 2);
    await first;
  });

  it("rejects a request whose key is not granted before the target has passed", async () => {
    const { runner, watch, reachedAt } = createRunner({ state: () => KeyState.Moving });
    watch.apply(report());
    const startedAt = now();
    const { head } = await runner.serve(HEAD, undefined, { signal: NEVER });
    expect(head).to.include({ outcome: Outcome.NotRun, reason: Reason.NotHolder });
    expect(head.retryAfterMs).to.be.above(0);
    expect(now() - startedAt).to.be.below(TARGET_MS + 100);
    expect(reachedAt).to.deep.equal([]);
  });

  it("ends the wait for a key when the caller leaves", async () => {
    const caller = new AbortController();
    const { runner, watch, reachedAt } = createRunner({
      state: () => KeyState.Moving,
      changeMs: 60_000,
    });
    watch.apply(report());
    const startedAt = now();
    setTimeout(() => caller.abort(), 50);
    const { head } = await runner.serve(HEAD, undefined, { signal: caller.signal });
    expect(head).to.include({ reason: Reason.Cancelled });
    expect(now() - startedAt).to.be.below(120);
    expect(reachedAt).to.deep.equal([]);
  });

  it("does not send a queued request whose caller has left", async () => {
    const caller = new AbortController();
    const { runner, watch, reachedAt } = createRunner({ workMs: 100 });
    watch.apply(report());
    const running = runner.serve(HEAD, undefined, { signal: NEVER });
    const waiting = runner.serve(HEAD, undefined, { signal: caller.signal });
    caller.abort();
    expect((await waiting).head).to.include({ reason: Reason.Cancelled });
    await running;
    expect(reachedAt).to.have.length(1);
  });

  it("reports where a request waited whose caller left", async () => {
    const leaving = () => {
      const caller = new AbortController();
      setTimeout(() => caller.abort(), 30);
      return caller.signal;
    };
    const pending = createRunner({ state: () => KeyState.Pending });
    pending.watch.apply(report());
    await pending.runner.serve(HEAD, undefined, { signal: leaving() });
    expect(pending.stages).to.deep.equal([RequestStage.Key]);
    const busy = createRunner({ workMs: 60 });
    busy.watch.apply(report());
    await Promise.all([1, 2].map(() => busy.runner.serve(HEAD, undefined, { signal: leaving() })));
    expect(busy.stages).to.have.members([RequestStage.Server, RequestStage.Slot]);
    await busy.runner.serve(HEAD, undefined, { signal: AbortSignal.abort() });
    expect(busy.stages.at(-1)).to.equal(RequestStage.Arrival);
  });

  // Guards against callers that wait until their deadlines, one after the other, for a server that responds to nobody.
  it("rejects most requests at once while the server lets all deadlines pass, until it responds again", async () => {
    const timesOut = { ...RESPONDED, outcome: ServerOutcome.Unknown, status: 0 };
    const notice = { requestsPerSecond: undefined, isLeaving: false };
    let isSilent = false;
    const { runner, watch } = createRunner({
      workMs: () => isSilent ? head.remainingMs + 40 : 20,
      respond: () => isSilent ? timesOut : { ...RESPONDED, notice },
    });
    const head = { ...HEAD, remainingMs: 500 };
    const send = async (forMs: number) => {
      const responses = await load(runner, { perSecond: 100, forMs, head });
      return {
        all: responses.length,
        served: responses.filter(({ head: { status } }) => status === 200).length,
        late: responses.filter(({ head: { reason } }) => reason === Reason.DeadlinePassed).length,
      };
    };
    watch.apply(report({ slots: 12 }));
    const before = await send(500);
    expect(before.served).to.equal(before.all);
    isSilent = true;
    await send(1_500);
    const silent = await send(2_000);
    expect(silent.late).to.be.at.most(0.05 * silent.all);
    isSilent = false;
    await send(1_000);
    const after = await send(1_000);
    expect(after.served).to.be.at.least(0.95 * after.all);
  });

  // Guards against requests that run at the service that took over the address of a lost machine.
  it("does not run a request for another service, which knew this address before", async () => {
    for (const shard of [-1, REQUEST_HEAD.shard]) {
      const { runner, watch, reachedAt } = createRunner();
      watch.apply(report());
      const { head } = await runner.serve({ ...HEAD, shard, pool: "bodega" }, undefined, {
        signal: NEVER,
      });
      expect(head).to.include({ outcome: Outcome.NotRun, reason: Reason.NotHolder });
      expect(reachedAt).to.deep.equal([]);
    }
  });
});
