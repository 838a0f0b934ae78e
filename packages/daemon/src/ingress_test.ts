import { expect } from "chai";
import { Result } from "true-myth";
import { type Ledger, Presence } from "@bulrushwood/ledger";
import {
  type Link,
  LinkError,
  LinkErrorKind,
  type Links,
  type OutgoingExchange,
  Reason,
  type RequestHead,
} from "@bulrushwood/protocol";
import type { DaemonSettings, WorkClass } from "@bulrushwood/settings";
import { now, Outcome, sleep } from "@bulrushwood/types";
import type { Holder } from "./holder.ts";
import { Ingress } from "./ingress.ts";

const POOL = "almacen";
const HEAD = {
  id: "r1",
  pool: POOL,
  shard: -1,
  workClass: "upload",
  method: "POST",
  path: "/",
  headers: [],
} as unknown as RequestHead;

/** Sends a request to a peer whose link takes `dialMs` to open; `heads` are the heads of forwarded requests. */
async function sendToPeer(options: { dialMs: number; deadlineMs: number; leavesAfterMs?: number }) {
  const { dialMs, deadlineMs, leavesAfterMs } = options;
  const heads: RequestHead[] = [];
  const link = {
    open: (head: RequestHead) => {
      heads.push(head);
      const error = new LinkError(LinkErrorKind.Unreachable, "not expected to respond");
      return { response: Promise.reject(error), cancel: () => {} } as unknown as OutgoingExchange;
    },
  } as unknown as Link;
  const ingress = new Ingress({
    address: "a:1",
    ledger: {
      instances: new Map([["b:1", {
        address: "b:1",
        presence: Presence.Present,
        server: { pool: POOL },
      }]]),
    } as unknown as Ledger,
    links: {
      get: async () => {
        await sleep(dialMs);
        return Result.ok(link);
      },
    } as unknown as Links,
    holder: {} as Holder,
    settings: { limits: { handoverWaitMs: 10 } } as unknown as DaemonSettings,
  });
  const caller = new AbortController();
  if (leavesAfterMs !== undefined) {
    setTimeout(() => caller.abort(), leavesAfterMs);
  }
  const response = await ingress.handle({
    head: HEAD,
    workClass: { idempotent: false } as WorkClass,
    body: undefined,
    deadline: now() + deadlineMs,
    signal: caller.signal,
  });
  return { head: response.head, heads };
}

describe("ingress: links that take long to open", () => {
  it("does not forward a request whose caller left while the link was dialled", async () => {
    const { head, heads } = await sendToPeer({ dialMs: 150, deadlineMs: 1_000, leavesAfterMs: 50 });
    expect(heads).to.deep.equal([]);
    expect(head).to.include({ outcome: Outcome.NotRun, reason: Reason.Cancelled });
  });

  it("does not forward a request whose deadline passed while the link was dialled", async () => {
    const { head, heads } = await sendToPeer({ dialMs: 150, deadlineMs: 100 });
    expect(heads).to.deep.equal([]);
    expect(head.outcome).to.equal(Outcome.NotRun);
  });

  it("forwards a request with the time that is left after the link was dialled", async () => {
    const { heads } = await sendToPeer({ dialMs: 150, deadlineMs: 1_000 });
    expect(heads[0].remainingMs).to.be.within(600, 851);
  });
});
