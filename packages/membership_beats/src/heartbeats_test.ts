import { expect } from "chai";
import { Result } from "true-myth";
import { SUPPORT_MS, VoteManager } from "@bulrushwood/lease_votes";
import type { Clock } from "@bulrushwood/types";
import {
  type DaemonStatus,
  type Heartbeat,
  Heartbeats,
  type Member,
  MemberMethod,
  type StatusUpdate,
} from "./mod.ts";

const SERVICE = "despacho";
const UNKEYED = "inspeccion";

/** A clock whose sleeps end in order of time when the test advances it. */
class TestClock {
  #time = 0;
  /** Number of sleeps that have ended. */
  wakeUps = 0;
  #sleepers: { at: number; wake: () => void }[] = [];

  readonly now: Clock = () => this.#time;

  readonly sleep = (ms: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      this.#sleepers.push({ at: this.#time + ms, wake: resolve });
      signal?.addEventListener("abort", () => resolve(), { once: true });
    });

  async run(ms: number): Promise<void> {
    const until = this.#time + ms;
    while (true) {
      // Lets the tasks that the last sleep woke run until their next sleep.
      await new Promise((resolve) => setImmediate(resolve));
      this.#sleepers.sort((one, other) => one.at - other.at);
      const next = this.#sleepers[0];
      if (next === undefined || next.at > until) {
        this.#time = until;
        return;
      }
      this.#sleepers.shift();
      this.#time = Math.max(this.#time, next.at);
      this.wakeUps++;
      next.wake();
    }
  }
}

function createStatus(address: string, service = SERVICE): DaemonStatus {
  return {
    address,
    incarnation: "i",
    service,
    dataCentre: "a",
    isLeaving: false,
    isServing: true,
    acceptsCallers: true,
    hasStore: true,
    server: null,
  };
}

function createMembers(count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `d${100 + index}`,
    incarnation: "i",
    service: index % 5 === 4 ? UNKEYED : SERVICE,
    dataCentre: "a",
    instance: "",
  }));
}

/** Starts the heartbeats of one daemon among others, which reply unless they are lost. */
function startDaemon(members: Member[], required: string[] = []) {
  const clock = new TestClock();
  const self = members.at(-2)!.address;
  const lostDaemons = new Set<string>();
  /** Incarnations of daemons that have taken an address over. */
  const successors = new Map<string, string>();
  /** Updates that are in each reply, if set; otherwise the status of the daemons that were asked for. */
  const passedOn: { updates?: StatusUpdate[] } = {};
  const replaced: string[] = [];
  let sent: string[] = [];
  const heartbeats = new Heartbeats({
    self,
    service: SERVICE,
    incarnation: "i",
    now: clock.now,
    sleep: clock.sleep,
    call: (peer, _method, payload) => {
      sent.push(peer);
      const heartbeat = payload as Heartbeat;
      const { service } = members.find(({ address }) => address === peer)!;
      const others = members.filter((member) =>
        heartbeat.wantsNews && member.service === service && !lostDaemons.has(member.address)
      );
      const updates = [peer, ...others.map(({ address }) => address)]
        .map((address) => ({ ...createStatus(address, service), ageMs: 0 }));
      const incarnation = successors.get(peer) ?? "i";
      const news = passedOn.updates ?? updates;
      return Promise.resolve(
        lostDaemons.has(peer)
          ? Result.err(new Error("unreachable") as never)
          : Result.ok({ incarnation, supported: [], storeEnds: [], news }),
      );
    },
    voteManager: new VoteManager({
      now: clock.now,
      mustReject: () => false,
      isOwn: () => false,
    }),
    supportMs: SUPPORT_MS,
    unkeyedServices: () => new Set([UNKEYED]),
    requiredPeers: () => required,
    status: () => createStatus(self),
    createHeartbeat: (_peer, role) => ({
      ...createStatus(self),
      tenures: [],
      storeEnds: [],
      entry: null,
      wantsStatus: true,
      wantsNews: role === "source",
    }),
    storeEnds: () => [],
    onSupport: () => {},
    onBehind: () => {},
    onReplaced: (peer) => replaced.push(peer),
  });
  members.forEach((member) => heartbeats.add(member));
  const takeSent = () => {
    const taken = sent;
    sent = [];
    return taken;
  };
  return { clock, heartbeats, lostDaemons, successors, passedOn, replaced, takeSent };
}

/** Creates a heartbeat of a daemon to another one. */
function createHeartbeat(status: DaemonStatus): Heartbeat {
  const requests = { tenures: [], storeEnds: [], entry: null };
  return { ...status, ...requests, wantsStatus: false, wantsNews: false };
}

describe("heartbeats of daemons at an address that is used again", () => {
  const address = "d100";

  /** Starts a daemon that knows the one at the address, whose machine is lost and whose address is taken over. */
  async function startWithSuccessor() {
    const daemon = startDaemon(createMembers(5));
    daemon.passedOn.updates = [];
    const { clock, heartbeats, lostDaemons, successors } = daemon;
    heartbeats.handleCall(MemberMethod.Heartbeat, createHeartbeat(createStatus(address)));
    lostDaemons.add(address);
    await clock.run(3_000);
    expect(heartbeats.isResponsive(address)).to.equal(false);
    lostDaemons.delete(address);
    successors.set(address, "j");
    return daemon;
  }

  // Guards against requests to the service of a lost machine that go to whoever has its address now.
  it("drop the earlier daemon's status at the first reply of the new one", async () => {
    const { clock, heartbeats, replaced } = await startWithSuccessor();
    await clock.run(1_800);
    expect(heartbeats.isResponsive(address)).to.equal(true);
    expect(heartbeats.peers.has(address)).to.equal(false);
    expect(replaced).to.deep.equal([address]);
  });

  it("ignore the earlier daemon's status where a peer still passes it on", async () => {
    const { clock, heartbeats, passedOn } = await startWithSuccessor();
    await clock.run(1_800);
    passedOn.updates = [{ ...createStatus(address), ageMs: 1_700 }];
    await clock.run(600);
    expect(heartbeats.peers.has(address)).to.equal(false);
    const status = { ...createStatus(address, UNKEYED), incarnation: "j" };
    heartbeats.handleCall(MemberMethod.Heartbeat, createHeartbeat(status));
    await clock.run(600);
    expect(heartbeats.peers.get(address)?.status).to.include({ incarnation: "j" });
  });
});

describe("heartbeats among many daemons", () => {
  it("are bounded per second, and report all servers of a service without keys", async () => {
    const members = createMembers(195);
    const { clock, heartbeats, takeSent } = startDaemon(members);
    await clock.run(1_500);
    takeSent();
    await clock.run(2_000);
    expect(takeSent().length).to.be.below(2 * 45);
    const unkeyed = members.filter(({ service }) => service === UNKEYED);
    expect(unkeyed.every(({ address }) => heartbeats.isResponsive(address))).to.equal(true);
  });

  it("do not wake a daemon more often when it has more heartbeat peers", async () => {
    const wakeUps = [];
    for (const count of [4, 195]) {
      const { clock } = startDaemon(createMembers(count));
      await clock.run(1_500);
      const before = clock.wakeUps;
      await clock.run(3_000);
      wakeUps.push(clock.wakeUps - before);
    }
    expect(wakeUps[1]).to.be.at.most(wakeUps[0]);
  });

  it("go to other hubs within three seconds after all hubs are lost", async () => {
    const members = createMembers(195);
    const hubs = members.filter(({ service }) => service === SERVICE).map(({ address }) => address);
    const { clock, heartbeats, lostDaemons } = startDaemon(members);
    await clock.run(1_500);
    hubs.slice(0, 3).forEach((hub) => lostDaemons.add(hub));
    await clock.run(3_000);
    expect(hubs.slice(3, 6).every((hub) => heartbeats.isHeartbeatPeer(hub))).to.equal(true);
  });

  it("replace a hub that stays unresponsive, though it remains a heartbeat peer as a voter", async () => {
    const members = createMembers(195);
    const hubs = members.filter(({ service }) => service === SERVICE).map(({ address }) => address);
    const { clock, heartbeats, lostDaemons } = startDaemon(members, [hubs[0]]);
    lostDaemons.add(hubs[0]);
    for (let second = 0; second < 30; second++) {
      await clock.run(1_000);
      const isReplaced = heartbeats.isHeartbeatPeer(hubs[3]);
      expect(isReplaced, `after ${second + 1} s`).to.equal(second >= 2 ? true : isReplaced);
    }
  });

  it("count a daemon as unreachable only from the first failed attempt to reach it", async () => {
    const members = createMembers(195);
    const { clock, heartbeats } = startDaemon(members);
    await clock.run(5_000);
    const unknown =
      members.find(({ address, service }) =>
        service === SERVICE && !heartbeats.isHeartbeatPeer(address)
      )!
        .address;
    expect(heartbeats.unreachableMs(unknown)).to.equal(0);
    heartbeats.recordReachability(unknown, false);
    await clock.run(700);
    expect(heartbeats.unreachableMs(unknown)).to.equal(700);
    heartbeats.recordReachability(unknown, true);
    expect(heartbeats.unreachableMs(unknown)).to.equal(0);
  });
});
