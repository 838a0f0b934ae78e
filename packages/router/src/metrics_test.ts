import perfHooks from "node:perf_hooks";
import { expect } from "chai";
import type { RequestHead } from "@bulrushwood/protocol";
import { StoreCall } from "./counted_store.ts";
import { Metrics, RequestOrigin } from "./metrics.ts";

/** Most wake-ups a second that an idle daemon may spend on measuring its own event loop. */
const WAKE_UPS_MAX = 4;

describe("metrics", () => {
  it("do not use up an idle daemon's processor time by measuring its event loop", async () => {
    const resolutions: number[] = [];
    const original = perfHooks.monitorEventLoopDelay;
    perfHooks.monitorEventLoopDelay = (options) => {
      resolutions.push(options?.resolution ?? 10);
      return original(options);
    };
    try {
      const metrics = new Metrics();
      expect(await metrics.registry.metrics()).to.contain("nodejs_eventloop_lag_p99_seconds");
    } finally {
      perfHooks.monitorEventLoopDelay = original;
    }
    expect(resolutions).to.have.length(1);
    expect(1_000 / resolutions[0]).to.be.at.most(WAKE_UPS_MAX);
  });
});

describe("metrics of the store, of grants and of overload", () => {
  it("count calls to the store, requests that outlasted their grant, and requests that were shed", async () => {
    const metrics = new Metrics();
    [StoreCall.Read, StoreCall.Read, StoreCall.Append].forEach((call) =>
      metrics.recordStoreCall(call)
    );
    metrics.recordOutlasted({ workClass: "book" } as RequestHead);
    metrics.recordShed(RequestOrigin.Peer, 2);
    const page = await metrics.registry.metrics();
    expect(page).to.contain('bulrushwood_store_calls_total{call="read"} 2');
    expect(page).to.contain('bulrushwood_store_calls_total{call="append"} 1');
    expect(page).to.contain('bulrushwood_outlasted_grants_total{route="book"} 1');
    expect(page).to.contain('bulrushwood_shed_requests_total{origin="peer",priority="2"} 1');
  });
});
