import { expect } from "chai";
import { type Route, RouteKind } from "@bulrushwood/deployment";
import {
  type Link,
  type Links,
  type OutgoingExchange,
  Reason,
  type RequestHead,
} from "@bulrushwood/protocol";
import { notRun, RetryBudget, type RoutedResponse, unknown } from "@bulrushwood/routing";
import { now, Outcome, sleep } from "@bulrushwood/types";
import { Result } from "true-myth";
import { Dispatcher, type DispatchRequest, type Serve } from "./dispatcher.ts";
import { REQUEST_HEAD } from "./head_fixture.ts";
import { RequestStage } from "./request_stage.ts";

const SELF = "10.0.0.1:7000";
const PEER = "10.0.0.2:7000";

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

const DRAIN_MS = 700;

const SUCCESS: RoutedResponse = { head: { status: 200, headers: [] }, body: undefined };
const UNKNOWN = unknown(Reason.ServerFailed, "no answer");
const SHED = notRun(Reason.ServerRejected, "full", 100);

/** Creates a dispatcher whose own server runs all requests by `serve`. */
function createDispatcher(options: { serve: Serve; owner?: string | null }): Dispatcher {
  const { serve, owner = SELF } = options;
  return new Dispatcher({
    self: SELF,
    links: {} as Links,
    serve,
    owners: {
      ownerOf: () => owner,
      waitForChange: () => new Promise((resolve) => setTimeout(resolve, 20)),
      unreachableMs: () => 60_000,
      recordReachability: () => {},
      recordOutdated: () => {},
    },
    choice: { choose: (_service, mayUse) => [SELF].filter(mayUse), begin: () => () => {} },
    quarantinedMs: () => 0,
    budgetOf: () => new RetryBudget(),
    drainMs: DRAIN_MS,
    log: () => {},
  });
}

function createRequest(
  options: { kind?: RouteKind; shard?: number; targetMs?: number; signal?: AbortSignal } = {},
): DispatchRequest {
  const { kind = RouteKind.Idempotent, shard = 7, targetMs = 400 } = options;
  const { signal = new AbortController().signal } = options;
  const startedAt = now();
  return {
    head: { ...REQUEST_HEAD, shard },
    route: { ...ROUTE, kind },
    body: undefined,
    targetAt: startedAt + targetMs,
    deadline: startedAt + 1_000,
    signal,
    stage: RequestStage.Owner,
  };
}

/** Dispatches a request to a local server that responds with `responses` in turn. */
async function dispatch(
  responses: RoutedResponse[],
  options: { kind?: RouteKind; shard?: number; owner?: string | null; targetMs?: number } = {},
) {
  let attempts = 0;
  const dispatcher = createDispatcher({
    owner: options.owner,
    serve: () => Promise.resolve(responses[attempts++] ?? SUCCESS),
  });
  const startedAt = now();
  const response = await dispatcher.dispatch(createRequest(options));
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

  it("excludes a server that announced its leaving from all requests past the drain bound", async () => {
    const leavingServer = "s1@1";
    const excluded: (string | undefined)[] = [];
    const dispatcher = createDispatcher({
      serve: ({ excludedServer }) => {
        excluded.push(excludedServer);
        return Promise.resolve({ head: { ...SUCCESS.head, leavingServer }, body: undefined });
      },
    });
    const until = now() + DRAIN_MS + 100;
    while (now() < until) {
      await dispatcher.dispatch(createRequest());
      await sleep(DRAIN_MS / 3);
    }
    expect([excluded[0], excluded.at(-1)]).to.deep.equal([undefined, leavingServer]);
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

interface PeerOptions {
  /** Time that the link takes to open, in milliseconds. */
  dialMs?: number;
  owner?: string | null;
  /** Response of the peer. */
  response?: RoutedResponse;
}

/** Creates a dispatcher whose peer responds to all requests; `heads` are the heads of those that reached it. */
function createPeerDispatcher(options: PeerOptions = {}) {
  const { dialMs = 0, owner = PEER, response = SUCCESS } = options;
  const heads: RequestHead[] = [];
  const link = {
    open: (head: RequestHead) => {
      heads.push(head);
      return {
        response: Promise.resolve({
          head: response.head,
          body: { isWhole: true, takeWhole: () => undefined },
        }),
        cancel: () => {},
      } as unknown as OutgoingExchange;
    },
  } as unknown as Link;
  const links = {
    get: async () => {
      await sleep(dialMs);
      return Result.ok(link);
    },
  } as unknown as Links;
  const dispatcher = new Dispatcher({
    self: SELF,
    links,
    serve: () => Promise.resolve(SUCCESS),
    owners: {
      ownerOf: () => owner,
      waitForChange: (_service, { ms, signal }) => sleep(ms, signal),
      recordOutdated: () => {},
      unreachableMs: () => 0,
      recordReachability: () => {},
    },
    choice: { choose: (_service, mayUse) => [PEER].filter(mayUse), begin: () => () => {} },
    quarantinedMs: () => 0,
    budgetOf: () => new RetryBudget(),
    drainMs: DRAIN_MS,
    log: () => {},
  });
  return { dispatcher, heads };
}

/** Dispatches a request to a peer for a caller that leaves after `leavesAfterMs`. */
async function dispatchToPeer(options: PeerOptions & { leavesAfterMs?: number; shard?: number }) {
  const { leavesAfterMs, shard } = options;
  const { dispatcher, heads } = createPeerDispatcher(options);
  const caller = new AbortController();
  if (leavesAfterMs !== undefined) {
    setTimeout(() => caller.abort(), leavesAfterMs);
  }
  const startedAt = now();
  const response = await dispatcher.dispatch(createRequest({ shard, signal: caller.signal }));
  return { response: response.head, heads, ms: now() - startedAt };
}

describe("dispatcher: callers that leave while their requests wait", () => {
  for (const shard of [7, -1]) {
    const kind = shard < 0 ? "without a key" : "with a key";
    it(`does not forward a request ${kind} whose caller left while the link was dialled`, async () => {
      const { response, heads } = await dispatchToPeer({ dialMs: 150, leavesAfterMs: 50, shard });
      expect(heads).to.deep.equal([]);
      expect(response).to.include({ outcome: Outcome.NotRun, reason: Reason.Cancelled });
    });
  }

  it("forwards a request with the time that is left after the link was dialled", async () => {
    const { heads } = await dispatchToPeer({ dialMs: 150 });
    expect(heads).to.have.length(1);
    expect(heads[0].remainingMs).to.be.within(700, 851);
    expect(heads[0].targetMs).to.be.within(100, 251);
  });

  it("ends the wait for an owner when the caller leaves", async () => {
    const { heads, ms } = await dispatchToPeer({ dialMs: 0, leavesAfterMs: 50, owner: null });
    expect(heads).to.deep.equal([]);
    expect(ms).to.be.below(120);
  });
});

describe("dispatcher: overloaded daemons", () => {
  for (const shard of [7, -1]) {
    const kind = shard < 0 ? "without keys" : "with keys";
    it(`does not forward requests ${kind} to a daemon that rejects one after the other`, async () => {
      const response = notRun(Reason.Overloaded, "full", 500);
      const { dispatcher, heads } = createPeerDispatcher({ response });
      const responses = [];
      for (let index = 0; index < 7; index++) {
        responses.push((await dispatcher.dispatch(createRequest({ shard }))).head);
      }
      expect(heads).to.have.length(4);
      for (const { outcome, reason } of responses) {
        expect({ outcome, reason }).to.deep.equal({
          outcome: Outcome.NotRun,
          reason: Reason.Overloaded,
        });
      }
      const retryAfterMs = responses.map((head) => head.retryAfterMs);
      expect(retryAfterMs.slice(0, 4)).to.deep.equal([500, 500, 500, 500]);
      retryAfterMs.slice(4).forEach((ms) => expect(ms).to.be.within(60, 800));
    });
  }

  // Guards against callers that come back all together when a daemon gets requests again, most to be rejected again.
  it("spreads the return of the callers whose requests are held back", async () => {
    const response = notRun(Reason.Overloaded, "full", 500);
    const { dispatcher } = createPeerDispatcher({ response });
    const returns: number[] = [];
    for (let index = 0; index < 44; index++) {
      const { head } = await dispatcher.dispatch(createRequest({ shard: 7 }));
      returns.push(performance.now() + (head.retryAfterMs ?? 0));
    }
    const held = returns.slice(4);
    expect(Math.max(...held) - Math.min(...held)).to.be.above(200);
  });
});
