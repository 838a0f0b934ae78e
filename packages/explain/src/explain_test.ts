import { readFileSync } from "node:fs";
import { expect } from "chai";
import {
  buildTimeline,
  CONTEXT_EVENTS,
  estimateClocks,
  formatTimeline,
  type LogLine,
  parseLine,
  type RequestTimeline,
  type Step,
} from "./mod.ts";

const BASE = Date.parse("2026-12-04T10:00:00.000Z");

function line(
  instance: string,
  atMs: number,
  event: string,
  fields: Record<string, unknown> = {},
): string {
  const timestamp = new Date(BASE + atMs).toISOString();
  return JSON.stringify({ instance, level: "info", message: event, timestamp, ...fields });
}

function parseLines(texts: string[]): LogLine[] {
  return texts.map((text) =>
    parseLine(text).unwrapOrElse((error) => {
      throw error;
    })
  );
}

function buildFrom(id: string, texts: string[]): RequestTimeline {
  return buildTimeline(id, parseLines(texts)).unwrapOrElse((error) => {
    throw error;
  });
}

function summarise(steps: Step[]): string[] {
  return steps.map(({ instance, event }) => `${instance} ${event}`);
}

describe("log lines", () => {
  it("are parsed, also behind a collector's prefix", () => {
    const parsed = parseLine(`  0.5 a-1 ${line("a-1", 5, "caller-left", { id: "r1", ms: 4 })}`);
    expect(parsed.isOk && parsed.value).to.deep.equal({
      instance: "a-1",
      at: BASE + 5,
      event: "caller-left",
      id: "r1",
      fields: { id: "r1", ms: 4 },
    });
  });

  const malformed: [string, string, string][] = [
    ["plain text", "the disk is full", "contains no JSON object"],
    ["a truncated line", line("a", 1, "started").slice(0, 30), "cannot be parsed"],
    ["no time", '{"instance":"a","message":"started"}', "Field timestamp"],
    ["an invalid time", '{"instance":"a","message":"x","timestamp":"noon"}', "Field timestamp"],
    ["a number as id", line("a", 1, "caller-left", { id: 7 }), "Field id"],
  ];
  for (const [name, text, why] of malformed) {
    it(`are rejected with the reason: ${name}`, () => {
      const parsed = parseLine(text);
      expect(parsed.isErr && parsed.error.message).to.contain(why);
    });
  }
});

describe("clocks", () => {
  it("are zero where the lines allow it", () => {
    const lines = parseLines([
      line("in", 100, "request-refused", { id: "r1", ms: 60, route: "r", reason: "not-holder" }),
      line("owner", 90, "request-lost", { id: "r1" }),
    ]);
    expect(estimateClocks(lines, "in")).to.deep.equal([
      { instance: "in", addMs: 0, withinMs: 0 },
      { instance: "owner", addMs: 0, withinMs: 52 },
    ]);
  });

  it("are estimated where a line would otherwise be outside its request, and narrowed by more requests", () => {
    const behind = 5_000;
    const lines = parseLines([
      line("in", 100, "request-refused", { id: "r1", ms: 60, route: "r", reason: "not-holder" }),
      line("owner", 90 - behind, "request-lost", { id: "r1" }),
      line("in", 300, "request-refused", { id: "r2", ms: 20, route: "r", reason: "not-holder" }),
      line("owner", 290 - behind, "request-lost", { id: "r2" }),
      line("in", 400, "request-refused", { id: "r3", ms: 60, route: "r", reason: "not-holder" }),
      line("owner", 390 - behind, "request-lost", { id: "r3" }),
      line("other", 290, "started"),
    ]);
    const [, other, owner] = estimateClocks(lines, "in");
    expect(owner.addMs).to.be.within(behind - 10, behind + 10);
    expect(owner.withinMs).to.be.at.most(12);
    expect(other, "no request in common").to.deep.equal({
      instance: "other",
      addMs: 0,
      withinMs: undefined,
    });
  });
});

describe("clock differences of instances that received retries of one request", () => {
  it("stay zero when the caller retries elsewhere with the same id", () => {
    const lines = parseLines([
      line("in", 100, "request-refused", { id: "r1", ms: 60, route: "r" }),
      line("owner", 700, "request-refused", { id: "r1" }),
      line("in", 300, "request-refused", { id: "r2", ms: 20, route: "r", reason: "not-holder" }),
      line("owner", 290, "request-lost", { id: "r2" }),
      line("in", 500, "request-refused", { id: "r3", ms: 20, route: "r", reason: "not-holder" }),
      line("owner", 490, "request-lost", { id: "r3" }),
    ]);
    expect(estimateClocks(lines, "in").map(({ addMs }) => addMs)).to.deep.equal([0, 0]);
  });
});

describe("clock differences when the owner continues after the ingress timed out", () => {
  it("stay zero although the owner logs later", () => {
    const lines = parseLines(["r1", "r2", "r3", "r4"].flatMap((id, index) => [
      line("in", 100 * index, "request-lost", {
        id,
        ms: 50,
        route: "r",
        reason: "deadline-passed",
      }),
      line("owner", 100 * index + 400, "request-lost", { id }),
    ]));
    expect(estimateClocks(lines, "in").map(({ addMs }) => addMs)).to.deep.equal([0, 0]);
  });
});

describe("the timeline of a request", () => {
  const texts = [
    line("in", -90_000, "manifest-applied", { version: 7 }),
    line("planner", 900, "keys-moved", { from: "owner", keys: 12 }),
    line("owner", 1_000, "keys-given", { cause: "load" }),
    line("owner", 1_040, "request-refused", { id: "r1", reason: "not-holder" }),
    line("in", 1_300, "request-refused", {
      id: "r1",
      ms: 280,
      route: "book",
      reason: "not-holder",
      retryAfterMs: 150,
    }),
    line("in", 1_310, "request-refused", { id: "r2", ms: 1, route: "book", reason: "overloaded" }),
    line("planner", 9_000, "keys-moved", { from: "owner", keys: 3 }),
  ];

  it("is in order of time, with nearby context events and nothing else", () => {
    const timeline = buildFrom("r1", texts.toReversed());
    expect(summarise(timeline.steps)).to.deep.equal([
      "planner keys-moved",
      "owner keys-given",
      "owner request-refused",
      "in request-refused",
    ]);
    expect(timeline.steps.map(({ isOwn }) => isOwn)).to.deep.equal([false, false, true, true]);
    expect([timeline.ingress, timeline.arrivedAt]).to.deep.equal(["in", BASE + 1_020]);
  });

  it("reports version and age of the inputs of the decision", () => {
    expect(buildFrom("r1", texts).inputs).to.deep.equal({
      manifestVersion: 7,
      manifestAgeMs: 91_020,
      ownersAgeMs: 20,
    });
  });

  it("is the same when the owner's clock is a minute behind", () => {
    const more = ["r3", "r4"].flatMap((id, index) => [
      line("owner", 1_500 + index, "request-lost", { id }),
      line("in", 1_510 + index, "request-lost", { id, ms: 20, route: "book" }),
    ]);
    const shifted = [...texts, ...more].map((text) => {
      const value = JSON.parse(text) as { instance: string; timestamp: string };
      const lateMs = value.instance === "owner" ? 60_000 : 0;
      const timestamp = new Date(Date.parse(value.timestamp) - lateMs).toISOString();
      return JSON.stringify({ ...value, timestamp });
    });
    const timeline = buildFrom("r1", shifted);
    expect(summarise(timeline.steps).slice(-2)).to.deep.equal([
      "owner request-refused",
      "in request-refused",
    ]);
    expect(formatTimeline(timeline)).to.contain("the clock of owner differs");
  });

  it("uses only context events that the operations page lists", () => {
    const page = readFileSync("docs/OPERATIONS.md", "utf8");
    const listed = [...page.matchAll(/^\| `([a-z-]+)`/gm)].map((match) => match[1]);
    expect(listed).to.include.members([...CONTEXT_EVENTS]);
  });

  it("reports an error when no line names the request", () => {
    const built = buildTimeline("r9", parseLines(texts));
    expect(built.isErr && built.error.message).to.contain("None of 7 lines names request r9");
  });

  it("is formatted with one line for each step", () => {
    const text = formatTimeline(buildFrom("r1", texts)).split("\n");
    expect(text[0]).to.equal("request r1 reached in at 2026-12-04T10:00:01.020Z");
    expect(text.at(-1)).to.equal(
      "*    280 ms in      request-refused ms=280, route=book, reason=not-holder, retryAfterMs=150",
    );
  });
});
