/**
 * The configuration that the experiments share.
 */
import { Preference, Priority } from "@bulrushwood/types";

/** A configuration with bookings, quotations and stock checks in one keyed pool, and photos in another. */
export function benchConfiguration(shards: number): object {
  const work = (share: number, withinMs: number, idempotent: boolean, deadlineMs: number) => ({
    target: { share, withinMs },
    idempotent,
    priority: Priority.Foreground,
    deadlineMs,
  });
  const keyed = { pool: "despacho", key: { pathPart: "plant" } };
  return {
    tenantHeader: "x-tenant",
    pools: {
      despacho: { keyed: true, shards, prefer: Preference.Availability },
      inspeccion: { keyed: false, shards: 1, prefer: Preference.Availability },
    },
    classes: {
      quoting: work(0.99, 150, true, 2_000),
      booking: work(0.99, 250, false, 4_000),
      "stock-check": { ...work(0.9, 400, true, 2_000), priority: Priority.Background },
      photo: work(0.95, 1_500, false, 15_000),
    },
    routes: [
      { method: "GET", path: "/plants/:plant/quotes", class: "quoting", ...keyed },
      { method: "POST", path: "/plants/:plant/bookings", class: "booking", ...keyed },
      { method: "GET", path: "/plants/:plant/stock", class: "stock-check", ...keyed },
      { method: "PUT", path: "/photos/:drum", class: "photo", pool: "inspeccion" },
    ],
  };
}
