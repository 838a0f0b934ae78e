import { expect } from "chai";
import { Reason } from "@bulrushwood/protocol";
import { RequestRecords } from "@bulrushwood/routing";
import { now, Outcome } from "@bulrushwood/types";
import { Holder, type HolderOptions } from "./holder.ts";

const HEAD = {
  id: "r1",
  pool: "bodega",
  shard: -1,
  group: 0,
  move: 0,
  workClass: "look",
  tenant: "",
  key: "",
  method: "GET",
  path: "/",
  headers: [],
  remainingMs: 1_000,
  idempotencyKey: "",
  firstAttempt: false,
};

/** Creates a holder whose server is of a pool and must get no request. */
function createHolder(pool: string): Holder {
  const options = {
    ledger: { configuration: { configuration: { classes: { look: {} } } } },
    server: { announcement: { pool }, acceptsRequests: false },
    records: new RequestRecords({ now, retentionMs: 1_000 }),
    isDraining: () => false,
  };
  return new Holder(options as unknown as HolderOptions);
}

describe("holder", () => {
  // Guards against requests that run at the pool which took over the address of a lost machine.
  it("does not run a request without a key for another pool", async () => {
    const signal = new AbortController().signal;
    const other = await createHolder("inspeccion").serve(HEAD, undefined, signal);
    expect(other.head).to.include({ outcome: Outcome.NotRun, reason: Reason.NotHolder });
    const own = await createHolder("bodega").serve(HEAD, undefined, signal);
    expect(own.head).to.include({ outcome: Outcome.NotRun, reason: Reason.Draining });
  });
});
