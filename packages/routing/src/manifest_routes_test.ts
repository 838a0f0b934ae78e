import { expect } from "chai";
import { type Manifest, type Route, RouteKind } from "@bulrushwood/deployment";
import { ManifestRoutes } from "./mod.ts";

function route(name: string, fields: Partial<Route>): Route {
  return {
    name,
    host: "a.example",
    pathPrefix: "/",
    kind: RouteKind.Idempotent,
    timeoutMs: 1_000,
    targetMs: 400,
    priority: 0,
    attemptsMax: 2,
    shares: [{ service: "one", weight: 1 }],
    ...fields,
  };
}

function routes(...list: Route[]): ManifestRoutes {
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const manifest: Manifest = { version: 1, routes: list, services: new Map(), limits };
  return new ManifestRoutes(manifest);
}

describe("manifest routes", () => {
  const table = routes(
    route("short", { pathPrefix: "/a/" }),
    route("long", { pathPrefix: "/a/b/" }),
    route("other host", { host: "b.example" }),
  );
  for (
    const [host, path, name] of [
      ["a.example", "/a/x", "short"],
      ["a.example", "/a/b/x?q=1", "long"],
      ["A.example:8080", "/a/b/", "long"],
      ["b.example", "/a/b/x", "other host"],
      ["a.example", "/a", undefined],
      ["c.example", "/a/x", undefined],
    ] as const
  ) {
    it(`finds ${name ?? "no route"} for ${host}${path}`, () => {
      expect(table.match(host, path)?.name).to.equal(name);
    });
  }

  // Guards against runs that are begun while the calls of others wait, and against calls that are rejected first.
  it("lets routes with short targets go before the urgent routes whose servers call them", () => {
    const [look, order, history, check] = [
      route("look", { targetMs: 400 }),
      route("order", { targetMs: 500, priority: 1 }),
      route("history", { targetMs: 1_500, priority: 2 }),
      route("check", { targetMs: 120, priority: 1 }),
    ];
    const table = routes(look, order, history, check);
    expect([look, order, history].map((one) => table.priorityOf(one))).to.deep.equal([0, 1, 2]);
    expect(table.priorityOf(check)).to.be.below(0);
    expect(routes(order, check).priorityOf(check)).to.equal(1);
  });

  it("divides requests by weight, also over short spans", () => {
    const split = route("split", {
      shares: [{ service: "one", weight: 90 }, { service: "two", weight: 10 }],
    });
    const table = routes(split);
    const chosen = Array.from({ length: 100 }, () => table.chooseService(split));
    expect(chosen.filter((service) => service === "two")).to.have.length(10);
    expect(chosen.slice(0, 50).filter((service) => service === "two").length).to.be.within(4, 6);
  });
});
