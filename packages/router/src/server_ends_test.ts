import { Buffer } from "node:buffer";
import { expect } from "chai";
import { Result } from "true-myth";
import { Quarantine } from "@bulrushwood/admission";
import { type ServerReport, ServerState, type Store } from "@bulrushwood/deployment";
import { KeyedFollower, SYSTEM_TOPIC } from "@bulrushwood/ledger_store";
import type { RequestHead } from "@bulrushwood/protocol";
import { KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { fingerprintOf } from "./fingerprint.ts";
import { REQUEST_HEAD } from "./head_fixture.ts";
import { ServerEnds } from "./server_ends.ts";
import { ServerWatch } from "./server_watch.ts";

/** Time in which an end is confirmed and all daemons know of it; shorter than a key takes to get a new owner. */
const KNOWN_MS = 400;

/** Daemons of one deployment, each with a server that the test ends. */
class Scenario {
  readonly service = new KeyedStoreService({ sleep });
  readonly daemons: Daemon[] = [];
  /** Whether calls between daemons get through. */
  hasLinks = true;

  start(name: string): Daemon {
    const daemon = new Daemon(name, this);
    this.daemons.push(daemon);
    return daemon;
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.close()));
  }
}

class Daemon {
  readonly name: string;
  readonly watch = new ServerWatch({ service: "s", now, reportEveryMs: 60_000 });
  readonly ends: ServerEnds;
  readonly #follower: KeyedFollower;
  isListening = true;
  /** Number of checks whether the server listens. */
  probes = 0;
  #bornMs = 0;

  constructor(name: string, scenario: Scenario) {
    this.name = name;
    const store: Store = scenario.service.connect();
    this.#follower = new KeyedFollower({
      store,
      topic: SYSTEM_TOPIC,
      now,
      sleep,
      waitMs: () => 1_000,
      onReachable: () => {},
    });
    this.ends = new ServerEnds({
      self: name,
      store,
      follower: this.#follower,
      watch: this.watch,
      quarantine: new Quarantine(now),
      now,
      sleep,
      isListening: () => {
        this.probes++;
        return Promise.resolve(this.isListening);
      },
      peers: () => scenario.daemons.filter((peer) => peer !== this).map((peer) => peer.name),
      call: (address, method, payload) => {
        const peer = scenario.daemons.find(({ name }) => name === address);
        const reply = scenario.hasLinks ? peer?.ends.handleCall(method, payload) : undefined;
        return Promise.resolve(Result.ok(reply));
      },
      log: () => {},
    });
    this.#follower.start();
    this.report();
  }

  /** Lets a new incarnation of the server report. */
  report(fields: Partial<ServerReport> = {}): void {
    this.#bornMs++;
    this.watch.apply({
      kind: "report",
      report: {
        id: `server of ${this.name}`,
        bornMs: this.#bornMs,
        address: "10.0.0.1:8000",
        service: "s",
        dataCentre: "a",
        slots: 12,
        state: ServerState.Ready,
        sequence: 1,
        coldMs: 0,
        held: [],
        released: [],
        ...fields,
      },
    });
  }

  /** Lets the server lose the connections of requests that it began to run now. */
  lose(...requests: RequestHead[]): void {
    const startedAt = now();
    requests.forEach((head) =>
      this.ends.recordLost(this.watch.report!, { head, body: undefined, startedAt })
    );
  }

  /** Lets the server end under requests. */
  async end(...requests: RequestHead[]): Promise<void> {
    this.isListening = false;
    this.lose(...requests);
    await sleep(KNOWN_MS);
    this.isListening = true;
    this.report();
  }

  rejects(head: RequestHead): boolean {
    return this.ends.quarantinedMs(head, undefined) > 0;
  }

  async close(): Promise<void> {
    this.ends.close();
    await this.#follower.close();
  }
}

const DEADLY: RequestHead = { ...REQUEST_HEAD, path: "/deadly" };
const INNOCENT: RequestHead = { ...REQUEST_HEAD, path: "/innocent" };

async function run(test: (scenario: Scenario, daemons: Daemon[]) => Promise<void>): Promise<void> {
  const scenario = new Scenario();
  const daemons = ["one", "two", "three"].map((name) => scenario.start(name));
  try {
    await test(scenario, daemons);
  } finally {
    await scenario.close();
  }
}

describe("ends of servers", () => {
  it("quarantine a request that comes again under a new id at all daemons, and not those that ran beside it", async () => {
    await run(async (_scenario, daemons) => {
      const [one, two] = daemons;
      await one.end({ ...DEADLY, id: "r1" }, INNOCENT);
      two.ends.recordCompleted(INNOCENT, undefined);
      await two.end({ ...DEADLY, id: "r2" }, INNOCENT);
      const again = { ...DEADLY, id: "r3" };
      expect(daemons.map((daemon) => daemon.rejects(again))).to.deep.equal([true, true, true]);
      expect(daemons.map((daemon) => daemon.rejects(INNOCENT))).to.deep.equal([
        false,
        false,
        false,
      ]);
    });
  });

  it("are known to a daemon that starts later, from the store", async () => {
    await run(async (scenario, [one, two]) => {
      await one.end(DEADLY);
      await two.end(DEADLY);
      const late = scenario.start("late");
      await sleep(KNOWN_MS);
      expect(late.rejects(DEADLY)).to.equal(true);
    });
  });

  it("are known while the store is down", async () => {
    await run(async (scenario, daemons) => {
      scenario.service.isDown = true;
      await daemons[0].end(DEADLY);
      await daemons[1].end(DEADLY);
      expect(daemons.map((daemon) => daemon.rejects(DEADLY))).to.deep.equal([true, true, true]);
    });
  });

  it("are known to daemons that only the store connects", async () => {
    await run(async (scenario, daemons) => {
      scenario.hasLinks = false;
      await daemons[0].end(DEADLY);
      await daemons[1].end(DEADLY);
      expect(daemons.map((daemon) => daemon.rejects(DEADLY))).to.deep.equal([true, true, true]);
    });
  });

  it("remain in a daemon's record when it restarts", async () => {
    await run(async (scenario, [one, two]) => {
      await one.end(DEADLY);
      await two.end(DEADLY);
      await two.close();
      const restarted = scenario.start(two.name);
      await sleep(KNOWN_MS);
      await restarted.end(INNOCENT);
      const late = scenario.start("late");
      await sleep(KNOWN_MS);
      expect(late.rejects(DEADLY)).to.equal(true);
    });
  });

  it("count a server that restarts before its address refuses a connection", async () => {
    await run(async (_scenario, daemons) => {
      for (const daemon of daemons.slice(0, 2)) {
        daemon.lose(DEADLY);
        daemon.report();
        await sleep(KNOWN_MS);
      }
      expect(daemons[2].rejects(DEADLY)).to.equal(true);
    });
  });

  it("do not include connections that are lost while the server goes on", async () => {
    await run(async (_scenario, daemons) => {
      for (const daemon of daemons) {
        daemon.lose(INNOCENT);
        await sleep(KNOWN_MS);
      }
      expect(daemons.some((daemon) => daemon.rejects(INNOCENT))).to.equal(false);
    });
  });

  it("are not looked for with more than two connections when a server breaks off a response", async () => {
    await run(async (_scenario, [one]) => {
      one.lose(INNOCENT);
      await sleep(1_200);
      expect(one.probes).to.be.within(1, 2);
    });
  });

  it("do not include planned stops of servers", async () => {
    await run(async (_scenario, daemons) => {
      for (const daemon of daemons) {
        daemon.report({ state: ServerState.Draining });
        await daemon.end(INNOCENT);
      }
      expect(daemons.some((daemon) => daemon.rejects(INNOCENT))).to.equal(false);
    });
  });

  it("do not quarantine a busy request whose servers crash one after the other", async () => {
    await run(async (_scenario, daemons) => {
      for (let round = 0; round < 6; round++) {
        const daemon = daemons[round % daemons.length];
        daemon.ends.recordCompleted(INNOCENT, undefined);
        await daemon.end(INNOCENT);
        expect(daemons.some((other) => other.rejects(INNOCENT))).to.equal(false);
      }
    });
  });

  it("skip records that another writer left", async () => {
    await run(async (scenario, [one]) => {
      const nested = "[".repeat(100_000) + "]".repeat(100_000);
      for (const text of [nested, "", "{}", '[{"server":"a","endedAt":1e999,"runs":[]}]']) {
        const item = { key: "ended/10.0.0.9:99999", value: Buffer.from(text) };
        await scenario.service.connect().append(SYSTEM_TOPIC, item, { timeoutMs: 100 });
      }
      await one.end(DEADLY);
      await one.end(DEADLY);
      expect(one.rejects(DEADLY)).to.equal(true);
    });
  });
});

describe("fingerprints", () => {
  it("are equal for the same content, whatever the id, the deadline and the headers are", () => {
    const again = { ...DEADLY, id: "other", remainingMs: 5, headers: [{ name: "a", value: "b" }] };
    expect(fingerprintOf(again, Buffer.alloc(0))).to.equal(fingerprintOf(DEADLY, undefined));
  });

  it("differ by service, method, path, key and body", () => {
    const changes = [{}, { pool: "x" }, { method: "POST" }, { path: "/deadly?a=1" }, { shard: 8 }];
    const prints = changes.map((change) => fingerprintOf({ ...DEADLY, ...change }, undefined));
    prints.push(fingerprintOf(DEADLY, Buffer.from("body")));
    expect(new Set(prints).size).to.equal(changes.length + 1);
  });
});
