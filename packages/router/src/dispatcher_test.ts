import { expect } from "chai";
import { type Route, RouteKind } from "@bulrushwood/deployment";
import { type Links, Reason } from "@bulrushwood/protocol";
import { type Answer, notRun, RetryBudget, unknown } from "@bulrushwood/routing";
import { now, Outcome } from "@bulrushwood/types";
import { Dispatcher } from "./dispatcher.ts";
import { REQUEST_HEAD } from "./head_fixture.ts";

const SELF = "10.0.0.1:7000";

const ROUTE: Route = {
  name: "quote",
  host: "h",
  pathPrefix: "/",
  kind: RouteKind.Idempotent,
  timeoutMs: 1_000,
  targetMs: 400,
  priority: 1,
  attemptsMax: 2,
  shares: [],
};

const OK: Answer = { head: { status: 200, headers: [] }, body: undefined };
const LOST = unknown(Reason.ServerFailed, "no answer");
const SHED = notRun(Reason.ServerRefused, "full", 100);

/** Dispatches one request to a server beside this daemon that gives some answers in turn. */
async function dispatch(
  answers: Answer[],
  options: { kind?: RouteKind; shard?: number; owner?: string | null; targetMs?: number } = {},
) {
  const { kind = RouteKind.Idempotent, shard = 7, owner = SELF, targetMs = 400 } = options;
  let attempts = 0;
  const dispatcher = new Dispatcher({
    self: SELF,
    links: {} as Links,
    serve: () => Promise.resolve(answers[attempts++] ?? OK),
    owners: {
      ownerOf: () => owner,
      waitForChange: () => new Promise((resolve) => setTimeout(resolve, 20)),
      silentMs: () => 60_000,
      noteReachability: () => {},
    },
    choice: { choose: () => [SELF], begin: () => () => {} },
    budgetOf: () => new RetryBudget(),
    log: () => {},
  });
  const startedAt = now();
  const answer = await dispatcher.dispatch({
    head: { ...REQUEST_HEAD, shard },
    route: { ...ROUTE, kind },
    body: undefined,
    targetAt: startedAt + targetMs,
    deadline: startedAt + 1_000,
    signal: new AbortController().signal,
  });
  return { ...answer.head, attempts, ms: now() - startedAt };
}

describe("dispatcher", () => {
  it("sends an idempotent request again that may have run", async () => {
    expect(await dispatch([LOST])).to.include({ status: 200, attempts: 2 });
  });

  it("never sends a request again that may run only once", async () => {
    const ended = await dispatch([LOST], { kind: RouteKind.Once });
    expect(ended).to.include({ outcome: Outcome.Unknown, attempts: 1 });
  });

  it("does not say not run of a request whose first attempt may have run", async () => {
    const ended = await dispatch([LOST, SHED, SHED, SHED, SHED]);
    expect(ended.outcome).to.equal(Outcome.Unknown);
    expect(ended.status).to.equal(502);
  });

  it("tries again where the server shed a request that may run only once", async () => {
    expect(await dispatch([SHED], { kind: RouteKind.Once })).to.include({
      status: 200,
      attempts: 2,
    });
  });

  it("refuses at once where the owner of the key is lost", async () => {
    const ended = await dispatch([], { owner: "10.0.0.2:7000" });
    expect(ended).to.include({ outcome: Outcome.NotRun, reason: Reason.NoHolder, attempts: 0 });
    expect(ended.ms).to.be.below(100);
    expect(ended.retryAfterMs).to.be.above(0);
  });

  it("waits for a key that nobody owns while an answer could come within its target", async () => {
    const ended = await dispatch([], { owner: null });
    expect(ended).to.include({ outcome: Outcome.NotRun, attempts: 0 });
    expect(ended.ms).to.be.within(200, 400);
  });

  it("refuses a caller that came back while it could still be served", async () => {
    const ended = await dispatch([], { owner: null, targetMs: -100 });
    expect(ended).to.include({ outcome: Outcome.NotRun, attempts: 0 });
    expect(ended.ms).to.be.within(200, 600);
  });
});
