import { expect } from "chai";
import { WorkState } from "@bulrushwood/stand_ins";
import { audit, type SentRequest } from "./audit.ts";
import { type CallerOutcome, CallerOutcomeKind } from "./caller.ts";
import type { RecordedWork } from "./deployment.ts";

function createOutcome(kind: CallerOutcomeKind, label: string): CallerOutcome {
  const body = JSON.stringify({ path: `/x?label=${label}` });
  return { kind, status: 200, reason: "", headers: {}, body, durationMs: 1 };
}

function request(label: string, kind: CallerOutcomeKind): SentRequest {
  return { label, idempotent: false, outcome: createOutcome(kind, label) };
}

function work(label: string, instance: string, startedAt: number, endedAt: number): RecordedWork {
  return {
    id: `${label}-${instance}-${startedAt}`,
    key: "key",
    method: "POST",
    path: `/x?label=${label}`,
    token: "1.0.1",
    bodyBytes: 0,
    startedAt,
    endedAt,
    end: WorkState.Done,
    instance,
  };
}

describe("the audit", () => {
  it("finds nothing in a session without faults", () => {
    const requests = [
      request("a", CallerOutcomeKind.Responded),
      request("b", CallerOutcomeKind.NotRun),
    ];
    const { requests: _, works: __, ...findings } = audit(requests, [work("a", "s1", 10, 20)]);
    expect(Object.values(findings).flat()).to.deep.equal([]);
  });

  it("finds requests that ran twice, and requests that ran despite the outcome not-run", () => {
    const requests = [
      request("a", CallerOutcomeKind.Unknown),
      request("b", CallerOutcomeKind.NotRun),
    ];
    const works = [work("a", "s1", 10, 20), work("a", "s1", 30, 40), work("b", "s1", 50, 60)];
    const report = audit(requests, works);
    expect(report.ranTwice).to.deep.equal(["a"]);
    expect(report.falselyNotRun).to.deep.equal(["b"]);
  });

  it("finds keys that two servers served at the same time, also behind a short piece of work", () => {
    const works = [work("a", "s1", 10, 100), work("b", "s1", 20, 30), work("c", "s2", 50, 60)];
    expect(audit([], works).sharedKeys).to.deep.equal(["key: s1 and s2"]);
    expect(audit([], [work("a", "s1", 10, 20), work("c", "s2", 20, 60)]).sharedKeys).to.have
      .length(0);
  });

  it("finds responses to another request, and responses without work", () => {
    const swapped = {
      label: "a",
      idempotent: true,
      outcome: createOutcome(CallerOutcomeKind.Responded, "b"),
    };
    const report = audit([swapped], []);
    expect(report.wrongAnswers).to.deep.equal(["a"]);
    expect(report.answeredNotRun).to.deep.equal(["a"]);
  });
});
