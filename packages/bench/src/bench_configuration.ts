/**
 * Configuration that the experiments share.
 */
import { Preference, Priority } from "@bulrushwood/types";

/** Returns a configuration with quotes, bookings and stock checks in one keyed pool, and photos in an unkeyed one. */
export function benchConfiguration(shards: number): object {
  const createClass = (
    share: number,
    withinMs: number,
    idempotent: boolean,
    deadlineMs: number,
  ) => ({
    target: { share, withinMs },
    idempotent,
    priority: Priority.Foreground,
    deadlineMs,
  });
  const keyedRoute = { pool: "despacho", key: { pathPart: "plant" } };
  return {
    tenantHeader: "x-tenant",
    pools: {
      despacho: { keyed: true, shards, prefer: Preference.Availability },
      inspeccion: { keyed: false, shards: 1, prefer: Preference.Availability },
    },
    classes: {
      quoting: createClass(0.99, 150, true, 2_000),
      booking: createClass(0.99, 250, false, 4_000),
      "stock-check": { ...createClass(0.9, 400, true, 2_000), priority: Priority.Background },
      photo: createClass(0.95, 1_500, false, 15_000),
    },
    routes: [
      { method: "GET", path: "/plants/:plant/quotes", class: "quoting", ...keyedRoute },
      { method: "POST", path: "/plants/:plant/bookings", class: "booking", ...keyedRoute },
      { method: "GET", path: "/plants/:plant/stock", class: "stock-check", ...keyedRoute },
      { method: "PUT", path: "/photos/:drum", class: "photo", pool: "inspeccion" },
    ],
  };
}
