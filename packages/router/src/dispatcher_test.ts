import { expect } from "chai";
import { type Route, RouteKind } from "@bulrushwood/deployment";
import { type Links, Reason } from "@bulrushwood/protocol";
import { notRun, RetryBudget, type RoutedResponse, unknown } from "@bulrushwood/routing";
import { now, Outcome } from "@bulrushwood/types";
import { Dispatcher } from "./dispatcher.ts";
import { REQUEST_HEAD } from "./head_fixture.ts";
import { RequestStage } from "./request_stage.ts";

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

const SUCCESS: RoutedResponse = { head: { status: 200, headers: [] }, body: undefined };
const UNKNOWN = unknown(Reason.ServerFailed, "no answer");
const SHED = notRun(Reason.ServerRejected, "full", 100);

/** Dispatches a request to a local server that responds with `responses` in turn. */
async function dispatch(
  responses: RoutedResponse[],
  options: { kind?: RouteKind; shard?: number; owner?: string | null; targetMs?: number } = {},
) {
  const { kind = RouteKind.Idempotent, shard = 7, owner = SELF, targetMs = 400 } = options;
  let attempts = 0;
  const dispatcher = new Dispatcher({
    self: SELF,
    links: {} as Links,
    serve: () => Promise.resolve(responses[attempts++] ?? SUCCESS),
    owners: {
      ownerOf: () => owner,
      waitForChange: () => new Promise((resolve) => setTimeout(resolve, 20)),
      unreachableMs: () => 60_000,
      recordReachability: () => {},
    },
    choice: { choose: () => [SELF], begin: () => () => {} },
    budgetOf: () => new RetryBudget(),
    log: () => {},
  });
  const startedAt = now();
  const response = await dispatcher.dispatch({
    head: { ...REQUEST_HEAD, shard },
    route: { ...ROUTE, kind },
    body: undefined,
    targetAt: startedAt + targetMs,
    deadline: startedAt + 1_000,
    signal: new AbortController().signal,
    stage: RequestStage.Owner,
  });
  return { ...response.head, attempts, ms: now() - startedAt };
}

describe("dispatcher", () => {
  it("resends an idempotent request that may have run", async () => {
    expect(await dispatch([UNKNOWN])).to.include({ status: 200, attempts: 2 });
  });

  it("never resends a non-idempotent request that may have run", async () => {
    const result = await dispatch([UNKNOWN], { kind: RouteKind.Once });
    expect(result).to.include({ outcome: Outcome.Unknown, attempts: 1 });
  });

  it("does not report not-run if an earlier attempt may have run", async () => {
    const result = await dispatch([UNKNOWN, SHED, SHED, SHED, SHED]);
    expect(result.outcome).to.equal(Outcome.Unknown);
    expect(result.status).to.equal(502);
  });

  it("retries a non-idempotent request that the server shed", async () => {
    expect(await dispatch([SHED], { kind: RouteKind.Once })).to.include({
      status: 200,
      attempts: 2,
    });
  });

  it("rejects a request at once if the owner of its key is lost", async () => {
    const result = await dispatch([], { owner: "10.0.0.2:7000" });
    expect(result).to.include({ outcome: Outcome.NotRun, reason: Reason.NoHolder, attempts: 0 });
    expect(result.ms).to.be.below(100);
    expect(result.retryAfterMs).to.be.above(0);
  });

  it("waits for a key without an owner while a response could meet the target", async () => {
    const result = await dispatch([], { owner: null });
    expect(result).to.include({ outcome: Outcome.NotRun, attempts: 0 });
    expect(result.ms).to.be.within(200, 400);
  });

  it("rejects a retried request past its target in time for another attempt", async () => {
    const result = await dispatch([], { owner: null, targetMs: -100 });
    expect(result).to.include({ outcome: Outcome.NotRun, attempts: 0 });
    expect(result.ms).to.be.within(200, 600);
  });
});
