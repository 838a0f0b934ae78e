/**
 * Test fixture: the head of a request between daemons.
 */
import type { RequestHead } from "@bulrushwood/protocol";

/** Head of a request with a key and one second left until its deadline. */
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
