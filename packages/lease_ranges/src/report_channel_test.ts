import { expect } from "chai";
import { type ServerReport, ServerState } from "@bulrushwood/deployment";
import { now, sleep } from "@bulrushwood/types";
import {
  ALL_REPORT_RULES,
  type Grant,
  type GrantContext,
  ReportChannel,
  type ReportRules,
} from "./mod.ts";

const HOLD_OPEN_MS = 120;
const ROWS_MAX = 4;
/** Duration of a grant that is revoked, in milliseconds. */
const GRANT_MS = 300;
/** Time after a response from which reports must show its effect, in milliseconds. */
const SETTLED_MS = 60;

function grantFor(first: number, last: number, epoch: number): Grant {
  return { first, last, epoch, until: 0, isConfirmed: false };
}

function createChannel(
  options: { grants: Grant[]; grantableMs?: number; rules?: ReportRules },
) {
  const state = { grantableMs: 1_000, outdated: [] as Grant[], ...options };
  const startedAt = now();
  const context: GrantContext = {
    now,
    sleep,
    server: () => undefined,
    grants: () => state.grants,
    grantableMs: (since) => now() + state.grantableMs - since,
    handoverOf: ({ first }) => `token ${first}`,
    earlierGrantsEndBy: () => startedAt,
    hasServerEnded: () => Promise.resolve(false),
    onChanged: () => {},
    onOutdated: (grant) => {
      state.outdated.push(grant);
      return Promise.resolve();
    },
    onFailed: () => {},
  };
  const channel = new ReportChannel(context, {
    holdOpenMs: HOLD_OPEN_MS,
    rowsMax: ROWS_MAX,
    rules: options.rules,
  });
  return { channel, state };
}

function report(
  sequence: number,
  keys: { held?: [number, number, number][]; released?: [number, number, string][] } = {},
): ServerReport {
  return {
    id: "s1",
    bornMs: 1,
    address: "10.0.0.1:80",
    service: "x",
    dataCentre: "a",
    slots: 4,
    state: ServerState.Ready,
    sequence,
    coldMs: 0,
    held: (keys.held ?? []).map(([first, last, epoch]) => ({ first, last, epoch })),
    released: (keys.released ?? []).map(([first, last, handover]) => ({ first, last, handover })),
  };
}

/** Responds to a report at once and marks the response as sent. */
async function respond(channel: ReportChannel, received: ServerReport) {
  const response = await channel.respond(received, { mayWait: false });
  response?.recordSent();
  return response?.grants;
}

describe("grants in the responses to status reports", () => {
  it("lists all keys with their epochs, and handover tokens only for new keys", async () => {
    const { channel, state } = createChannel({ grants: [grantFor(0, 9, 3), grantFor(20, 29, 5)] });
    expect((await respond(channel, report(1)))?.rows).to.deep.equal([
      { first: 0, last: 9, epoch: 3, handover: "token 0" },
      { first: 20, last: 29, epoch: 5, handover: "token 20" },
    ]);
    const next = await respond(channel, report(2, { held: [[0, 9, 3], [20, 29, 5]] }));
    expect(next?.rows.map(({ handover }) => handover)).to.deep.equal([undefined, undefined]);
    expect(state.grants.every(({ isConfirmed }) => isConfirmed)).to.equal(true);
  });

  it("merges neighbouring keys with the same epoch into one row", async () => {
    const grants = [grantFor(10, 19, 3), grantFor(0, 9, 3)];
    const { channel } = createChannel({ grants });
    await respond(channel, report(1));
    const next = await respond(channel, report(2, { held: [[0, 19, 3]] }));
    expect(next?.rows).to.deep.equal([{ first: 0, last: 19, epoch: 3, handover: undefined }]);
  });

  it("grants until the support ends, counted from the report, even when the response was held open", async () => {
    const { channel } = createChannel({ grants: [grantFor(0, 9, 3)] });
    await respond(channel, report(1));
    const held: [number, number, number][] = [[0, 9, 3]];
    const reportedAt = now();
    const response = await channel.respond(report(2, { held }), { mayWait: true });
    const supportedUntil = now() + 1_000;
    const endsAt = reportedAt + response!.grants.durationMs;
    expect(now() - reportedAt, "the response was held open").to.be.above(HOLD_OPEN_MS - 5);
    expect(endsAt).to.be.within(supportedUntil - 20, supportedUntil);
  });

  it("lists no keys without support for the tenure, so that the server's grants continue", async () => {
    const { channel } = createChannel({ grants: [grantFor(0, 9, 3)], grantableMs: 20 });
    expect(await respond(channel, report(1))).to.equal(undefined);
  });

  it("sends a response that is held open at once when a grant is new", async () => {
    const { channel, state } = createChannel({ grants: [] });
    const pending = channel.respond(report(1), { mayWait: true });
    await sleep(20);
    state.grants = [grantFor(0, 9, 3)];
    const startedAt = now();
    channel.renew();
    expect((await pending)?.grants.rows).to.have.length(1);
    expect(now() - startedAt).to.be.below(HOLD_OPEN_MS / 2);
  });

  it("grants no keys in the response to a report after a newer report arrived", async () => {
    const { channel } = createChannel({ grants: [] });
    const earlier = channel.respond(report(1), { mayWait: true });
    await sleep(10);
    const later = channel.respond(report(2), { mayWait: false });
    expect(await earlier).to.equal(undefined);
    expect(await later).to.not.equal(undefined);
  });

  it("does not count the grants of an earlier incarnation of the server as given to the next one", async () => {
    const { channel, state } = createChannel({ grants: [grantFor(0, 9, 3)] });
    await respond(channel, report(5));
    expect(state.grants[0].isConfirmed).to.equal(true);
    state.grantableMs = 0;
    expect(await respond(channel, { ...report(1), bornMs: 2 })).to.equal(undefined);
    expect(state.grants[0]).to.include({ isConfirmed: false, until: 0 });
  });

  it("holds a response open until its grants may be given, and sends it at once then", async () => {
    const { channel, state } = createChannel({ grants: [grantFor(0, 9, 3)], grantableMs: 0 });
    const pending = channel.respond(report(1), { mayWait: true });
    await sleep(20);
    channel.renew();
    await sleep(20);
    state.grantableMs = 1_000;
    const grantableAt = now();
    channel.renew();
    expect((await pending)?.grants.rows).to.have.length(1);
    expect(now() - grantableAt).to.be.below(HOLD_OPEN_MS / 3);
  });

  it("holds a response open no longer than allowed when nothing may be granted, and ends it when it closes", async () => {
    const { channel } = createChannel({ grants: [grantFor(0, 9, 3)], grantableMs: 0 });
    const startedAt = now();
    expect(await channel.respond(report(1), { mayWait: true })).to.equal(undefined);
    expect(now() - startedAt).to.be.within(HOLD_OPEN_MS - 5, HOLD_OPEN_MS * 1.5);
    const pending = channel.respond(report(2), { mayWait: true });
    const closedAt = now();
    channel.close();
    expect(await pending).to.equal(undefined);
    expect(now() - closedAt).to.be.below(HOLD_OPEN_MS / 2);
  });

  it("completes a release once reports list all keys as released, each part with its handover token", async () => {
    const { channel, state } = createChannel({ grants: [grantFor(0, 9, 3)] });
    await respond(channel, report(1));
    state.grants = [];
    const released = channel.release({ first: 0, last: 9, epoch: 3 }, { isServerLost: false });
    await respond(channel, report(2, { held: [[0, 9, 3]] }));
    await respond(channel, report(3, { held: [[5, 9, 3]], released: [[0, 4, "a"]] }));
    await respond(channel, report(4, { released: [[5, 9, "b"]] }));
    expect(await released).to.deep.equal([
      { first: 0, last: 4, handover: "a" },
      { first: 5, last: 9, handover: "b" },
    ]);
  });

  /** Revokes keys during `exchange`; returns the time from their grant to the end of their release. */
  async function measureReleaseMs(
    exchange: (channel: ReportChannel) => Promise<void>,
    rules = ALL_REPORT_RULES,
  ): Promise<number> {
    const { channel, state } = createChannel({
      grants: [grantFor(0, 9, 3)],
      grantableMs: GRANT_MS,
      rules,
    });
    await respond(channel, report(1));
    const grantedAt = now();
    state.grants = [];
    const released = channel.release({ first: 0, last: 9, epoch: 3 }, { isServerLost: false });
    await exchange(channel);
    await released;
    return now() - grantedAt;
  }

  const unsound: [string, keyof ReportRules, (channel: ReportChannel) => Promise<void>][] = [
    [
      "an old release, reported before a response omitted the keys",
      "awaitOmission",
      async (channel) => {
        await respond(channel, report(2, { released: [[0, 9, "old"]] }));
      },
    ],
    ["a report that does not list the keys", "awaitUnlisted", async (channel) => {
      await respond(channel, report(2, { held: [[0, 9, 3]] }));
      await respond(channel, report(3));
    }],
    ["a release of keys that the server still holds", "trustHeld", async (channel) => {
      await respond(channel, report(2));
      await respond(channel, report(3, { held: [[0, 0, 3]], released: [[0, 9, "a"]] }));
    }],
    ["a release of some of the keys", "awaitUnlisted", async (channel) => {
      await respond(channel, report(2));
      await respond(channel, report(3, { released: [[0, 8, "a"]] }));
    }],
  ];
  for (const [name, rule, exchange] of unsound) {
    it(`waits until the grant has expired after ${name}`, async () => {
      expect(await measureReleaseMs(exchange)).to.be.above(GRANT_MS);
    });

    it(`releases keys too early after ${name} without the rule ${rule}`, async () => {
      expect(await measureReleaseMs(exchange, { ...ALL_REPORT_RULES, [rule]: false })).to.be.below(
        GRANT_MS,
      );
    });
  }

  it("waits until the grants of a lost server have expired", async () => {
    const { channel } = createChannel({ grants: [grantFor(0, 9, 3)], grantableMs: 300 });
    await respond(channel, report(1));
    const startedAt = now();
    await channel.release({ first: 0, last: 9, epoch: 3 }, { isServerLost: true });
    expect(now() - startedAt).to.be.above(250);
  });

  it("requests a newer epoch for a grant that repeated reports do not list as held", async () => {
    const { channel, state } = createChannel({ grants: [grantFor(0, 9, 3)] });
    for (let sequence = 1; sequence <= 3; sequence++) {
      await respond(channel, report(sequence, { held: [[0, 9, 9]] }));
      await sleep(SETTLED_MS);
    }
    expect(state.outdated).to.have.length(1);
  });

  it("limits the rows of a response; grants that the server already has go first", async () => {
    const confirmed = Array.from(
      { length: ROWS_MAX },
      (_, index) => grantFor(index * 10, index * 10, 3),
    );
    const { channel, state } = createChannel({ grants: confirmed });
    await respond(channel, report(1));
    state.grants = [grantFor(500, 500, 4), ...confirmed];
    const rows = (await respond(channel, report(2)))?.rows ?? [];
    expect(rows.map(({ first }) => first)).to.deep.equal(confirmed.map(({ first }) => first));
  });
});
