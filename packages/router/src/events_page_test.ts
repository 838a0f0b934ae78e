import { readFileSync } from "node:fs";
import { expect } from "chai";
import { Event } from "./event_log.ts";

describe("documentation of events", () => {
  it("lists every kind of event and no other", () => {
    const page = readFileSync("docs/OPERATIONS.md", "utf8");
    const section = page.slice(page.indexOf("## Events"), page.indexOf("## Metrics"));
    const listed = [...section.matchAll(/^\| `([a-z-]+)`/gm)].map((match) => match[1]);
    expect(listed).to.have.members(Object.values(Event));
  });
});
