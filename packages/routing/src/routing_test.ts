import { Buffer } from "node:buffer";
import { expect } from "chai";
import { Reason } from "@bulrushwood/protocol";
import { parseConfiguration } from "@bulrushwood/settings";
import { Outcome } from "@bulrushwood/types";
import { readFileSync } from "node:fs";
import {
  createShardOf,
  forward,
  type ForwardOptions,
  IdempotencyMemory,
  KeyStatus,
  notRun,
  RequestRecords,
  RetryBudget,
  type RoutedResponse,
  RouteTable,
  TwoChoices,
  unknown,
} from "./mod.ts";

const OK_RESPONSE: RoutedResponse = { head: { status: 200, headers: [] }, body: undefined };

/** Forwards a request with scripted responses; each attempt takes 1 ms, and sleeps advance the clock. */
async function forwardWithResponses(
  responses: RoutedResponse[],
  options: Partial<ForwardOptions> = {},
  late: { byMs: number } = { byMs: 0 },
): Promise<{ response: RoutedResponse; attempts: string[] }> {
  let time = 0;
  const attempts: string[] = [];
  const response = await forward({
    now: () => time,
    sleep: (ms) => {
      time += ms + late.byMs;
      return Promise.resolve();
    },
    random: () => 0.5,
    findTarget: () => ({ group: 1, move: 1, candidates: ["a", "b"] }),
    attempt: (address) => {
      attempts.push(address);
      time += 1;
      return Promise.resolve(responses[attempts.length - 1] ?? OK_RESPONSE);
    },
    canResend: () => true,
    idempotent: false,
    budget: new RetryBudget(),
    deadline: 1_000,
    searchMs: 500,
    signal: new AbortController().signal,
    ...options,
  });
  return { response, attempts };
}

describe("forwarding", () => {
  it("tries the successor when the holder rejects the request", async () => {
    const { response, attempts } = await forwardWithResponses([notRun(Reason.NotHolder, "")]);
    expect(response).to.equal(OK_RESPONSE);
    expect(attempts).to.deep.equal(["a", "b"]);
  });

  it("does not resend a request that may have run, unless it is idempotent", async () => {
    const lost = unknown(Reason.LinkBroken, "");
    const once = await forwardWithResponses([lost]);
    expect(once.response.head.outcome).to.equal(Outcome.Unknown);
    expect(once.attempts).to.have.length(1);
    const again = await forwardWithResponses([lost], { idempotent: true });
    expect(again.response).to.equal(OK_RESPONSE);
  });

  it("does not report not-run when an earlier attempt may have run", async () => {
    const responses = [unknown(Reason.LinkBroken, ""), notRun(Reason.Overloaded, "")];
    const { response } = await forwardWithResponses(responses, { idempotent: true });
    expect(response.head.outcome).to.equal(Outcome.Unknown);
    const caller = new AbortController();
    const cancelled = await forwardWithResponses([], {
      idempotent: true,
      signal: caller.signal,
      attempt: () => {
        caller.abort();
        return Promise.resolve(unknown(Reason.LinkBroken, ""));
      },
    });
    expect(cancelled.response.head.outcome).to.equal(Outcome.Unknown);
  });

  it("does not resend a request whose body has been read", async () => {
    const rejected = notRun(Reason.NotHolder, "");
    const { response } = await forwardWithResponses([rejected], { canResend: () => false });
    expect(response).to.equal(rejected);
  });

  it("ends the search at its time limit with the right reason", async () => {
    const findTarget = () => undefined;
    const { response } = await forwardWithResponses([], { findTarget });
    expect(`${response.head.outcome} ${response.head.reason}`).to.equal("not-run no-holder");
    const late = await forwardWithResponses([], { findTarget, searchMs: 5_000, deadline: 100 });
    expect(late.response.head.outcome).to.equal(Outcome.NotRun);
  });

  for (
    const [name, deadline, reason] of [
      ["no holder, also where the search lasted until the deadline", 100, Reason.NoHolder],
      ["a deadline that had passed before the search", 0, Reason.DeadlinePassed],
    ] as const
  ) {
    it(`reports ${name}`, async () => {
      const findTarget = () => undefined;
      // The sleep ends 200 ms late, past the deadline, as in a process that is short of processor time.
      const bounds = { findTarget, searchMs: 5_000, deadline };
      const { response } = await forwardWithResponses([], bounds, { byMs: 200 });
      expect(response.head.reason).to.equal(reason);
    });
  }

  it("retries only within the budget", async () => {
    const lost = Array.from({ length: 100 }, () => unknown(Reason.ServerFailed, ""));
    const { attempts } = await forwardWithResponses(lost, { idempotent: true });
    expect(attempts.length).to.be.lessThan(15);
  });
});

describe("request records", () => {
  const records = () => new RequestRecords({ now: () => time, retentionMs: 100 });
  let time = 0;

  it("bar a request before reporting that it was not run", () => {
    const requests = records();
    expect(requests.bar("late")).to.equal(Outcome.NotRun);
    expect(requests.accept("late")).to.equal(false);
    requests.accept("waiting");
    expect(requests.bar("waiting")).to.equal(Outcome.NotRun);
    expect(requests.start("waiting")).to.equal(false);
  });

  it("report an unknown outcome for a request that was sent", () => {
    const requests = records();
    requests.accept("sent");
    expect(requests.start("sent")).to.equal(true);
    expect(requests.bar("sent")).to.equal(Outcome.Unknown);
    expect(requests.accept("sent")).to.equal(false);
  });

  it("expire", () => {
    const requests = records();
    requests.accept("old");
    time += 200;
    requests.accept("new");
    expect(requests.size).to.equal(1);
  });
});

describe("idempotency keys", () => {
  let time = 10_000;
  const memory = (entries = 10) => {
    return new IdempotencyMemory({ now: () => time, retentionMs: 1_000, entries });
  };
  const complete = { completeSince: Number.NEGATIVE_INFINITY, firstAttempt: false };

  it("give a retry the first response", () => {
    const keyMemory = memory();
    expect(keyMemory.find("k", complete).keyStatus).to.equal(KeyStatus.New);
    keyMemory.begin("k");
    expect(keyMemory.find("k", complete).keyStatus).to.equal(KeyStatus.Uncertain);
    keyMemory.store("k", { head: OK_RESPONSE.head, body: Buffer.from("x") });
    expect(keyMemory.find("k", complete).response?.head.status).to.equal(200);
  });

  it("are uncertain after a change of holder, unless the caller marks its first attempt", () => {
    const keyMemory = memory();
    const moved = { completeSince: time - 10, firstAttempt: false };
    expect(keyMemory.find("k", moved).keyStatus).to.equal(KeyStatus.Uncertain);
    expect(keyMemory.find("k", { ...moved, firstAttempt: true }).keyStatus).to.equal(
      KeyStatus.New,
    );
    time += 2_000;
    expect(keyMemory.find("k", moved).keyStatus).to.equal(KeyStatus.New);
  });

  it("are uncertain after entries were evicted to make room", () => {
    const keyMemory = memory(1);
    keyMemory.begin("a");
    keyMemory.begin("b");
    expect(keyMemory.find("a", complete).keyStatus).to.equal(KeyStatus.Uncertain);
  });
});

describe("routes and keys", () => {
  const parsed = parseConfiguration(readFileSync("examples/tamborin.jsonc", "utf8"), "c");
  const table = new RouteTable(parsed.isOk ? parsed.value : undefined!);

  it("match method and path, and capture named segments", () => {
    const match = table.match("GET", "/plants/planta%20uno/quotes");
    expect(match?.route.class).to.equal("quoting");
    expect(match?.captures.get("plant")).to.equal("planta uno");
    expect(table.match("DELETE", "/plants/x/quotes")).to.equal(undefined);
    expect(table.match("GET", "/plants//quotes")).to.equal(undefined);
  });

  it("spread keys evenly over shards", async () => {
    const shardOf = await createShardOf();
    const counts = new Array(16).fill(0);
    for (let index = 0; index < 16_000; index++) {
      counts[shardOf(`planta-${index}`, 16)]++;
    }
    expect(Math.min(...counts)).to.be.greaterThan(850);
    expect(shardOf("planta-1", 16)).to.equal(shardOf("planta-1", 16));
  });
});

describe("choosing without keys", () => {
  it("ejects a failing server, and probes it later", () => {
    let time = 0;
    const choices = new TwoChoices({ now: () => time, random: Math.random });
    for (let index = 0; index < 3; index++) {
      choices.begin("bad")(false);
    }
    for (let index = 0; index < 50; index++) {
      expect(choices.choose(["bad", "good", "fine"])).to.not.include("bad");
    }
    time += 1_500;
    const chosen = Array.from({ length: 50 }, () => choices.choose(["bad", "good"])).flat();
    expect(chosen).to.include("bad");
  });

  it("prefers a server with a short queue to one that became slow", () => {
    const loads = {
      slow: { running: 9, waiting: 6, slots: 9, serviceMs: 360 },
      busy: { running: 9, waiting: 4, slots: 9, serviceMs: 40 },
      free: { running: 3, waiting: 0, slots: 9, serviceMs: 40 },
    };
    const choices = new TwoChoices({
      now: () => 0,
      random: Math.random,
      loadOf: (server) => loads[server as keyof typeof loads],
    });
    for (let index = 0; index < 50; index++) {
      expect(choices.choose(["slow", "busy"])[0]).to.equal("busy");
      expect(choices.choose(["slow", "free"])[0]).to.equal("free");
      expect(choices.choose(["busy", "free"])[0]).to.equal("free");
    }
  });

  it("ejects an unresponsive server with requests in flight", () => {
    let time = 0;
    const choices = new TwoChoices({ now: () => time, random: Math.random });
    choices.begin("frozen");
    time += 600;
    expect(choices.choose(["frozen", "good"])).to.deep.equal(["good"]);
  });
});

describe("statuses of requests without a response of their server", () => {
  it("let callers retry every request that was not run, and no other", () => {
    for (const reason of Object.values(Reason)) {
      expect([502, 504], reason).to.not.include(notRun(reason, "", 100).head.status);
      expect([408, 421, 429, 503], reason).to.not.include(unknown(reason, "").head.status);
    }
  });
});
