/**
 * A request between daemons, for tests.
 */
import type { RequestHead } from "@bulrushwood/protocol";

/** A request for a key, with a second left. */
export const REQUEST_HEAD: RequestHead = {
  id: "r1",
  pool: "p",
  shard: 7,
  group: 0,
  move: 0,
  workClass: "quote",
  tenant: "",
  key: "",
  method: "GET",
  path: "/",
  headers: [],
  remainingMs: 1_000,
  idempotencyKey: "",
  firstAttempt: false,
};
