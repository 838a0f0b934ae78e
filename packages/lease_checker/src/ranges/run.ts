/**
 * Runs daemons through a random schedule of faults, and looks after each event whether two servers hold a
 * key at the same time, or a server got a key with an epoch that is not above all earlier ones.
 */
import { pack, unpack } from "msgpackr";
import { Result } from "true-myth";
import { KEYS, type KeySpan, overlaps } from "@bulrushwood/ledger_store";
import { type GrantRow, type ServerReport, ServerState } from "@bulrushwood/deployment";
import { type OrderResponse, type ReportRules, reportSupportMs } from "@bulrushwood/lease_ranges";
import { ALL_VOTE_RULES, SUPPORT_MS, type VoteRules } from "@bulrushwood/lease_votes";
import { AppendFault, KeyedStoreService } from "@bulrushwood/stand_ins";
import { createRandom, type Random } from "@bulrushwood/types";
import { Scheduler } from "../scheduler.ts";
import { ProcessClock } from "./clock.ts";
import { type CarryCall, type CarryOrder, SimDaemon } from "./daemon.ts";
import { SimServer, SLOWNESS } from "./server.ts";

const DAEMONS = 5;
const START_MS = 4_000;
const RUN_MS = 40_000;
const CALL_MS_MAX = 4;
/** Time between two status reports, in milliseconds. */
const REPORT_MS = 870;
/** The same while keys that were left out are not released. */
const QUICK_REPORT_MS = 100;
/** An answer to a report counts if it is there within this, in milliseconds. */
const ACKNOWLEDGEMENT_MS = 1_000;
/** Longest work for a key that is let go, in milliseconds. */
const WORK_MS_MAX = 400;
/** Faults of one run. */
const FAULTS = 10;
/** Servers' orders that are carried out late while such a fault lasts, as a share. */
const LATE_SHARE = 0.3;

/** Two owners at once, or an epoch that went back. */
export interface RangeViolation {
  at: number;
  what: string;
}

/** What a run did. */
export interface RangeReport {
  violation: RangeViolation | undefined;
  grants: number;
  /** Owners that keys had one after the other, over all keys that were looked at. */
  changes: number;
}

interface Instance {
  address: string;
  server: SimServer;
  serverId: string;
  daemon: SimDaemon;
  clock: ProcessClock;
  lives: number;
}

/** One run. */
class RangeRun {
  readonly #scheduler = new Scheduler();
  readonly #random: Random;
  readonly #rules: VoteRules;
  readonly #reportRules: ReportRules | undefined;
  readonly #store: KeyedStoreService;
  readonly #instances: Instance[] = [];
  /** Addresses that are cut off from all others. */
  readonly #cut = new Set<string>();
  readonly #cutFromStore = new Set<string>();
  #appendFaultUntil = 0;
  #lateUntil = 0;
  #violation: RangeViolation | undefined;
  #grants = 0;
  #changes = 0;
  /** The highest epoch and its server for some keys. */
  readonly #epochs = new Map<number, { epoch: number; server: SimServer }>();

  constructor(seed: number, rules: VoteRules, reportRules?: ReportRules) {
    this.#random = createRandom(seed);
    this.#rules = rules;
    this.#reportRules = reportRules;
    this.#store = new KeyedStoreService({
      sleep: new ProcessClock(this.#scheduler).sleep,
      callMs: 4,
      lateMs: 2_500,
      chooseFault: () => this.#chooseFault(),
    });
    const addresses = Array.from({ length: DAEMONS }, (_, index) => `d${index}`);
    addresses.forEach((address) => this.#instances.push(this.#createInstance(address, addresses)));
  }

  #chooseFault(): AppendFault {
    if (this.#scheduler.now > this.#appendFaultUntil || this.#random() > 0.5) {
      return AppendFault.None;
    }
    const faults = [AppendFault.LostResponse, AppendFault.LostRequest, AppendFault.Late];
    return faults[Math.floor(this.#random() * faults.length)];
  }

  #createInstance(address: string, members: string[]): Instance {
    const clock = new ProcessClock(this.#scheduler);
    const instance = {
      address,
      server: new SimServer(),
      serverId: `${address}-s1`,
      clock,
      lives: 1,
    };
    const daemon = this.#createDaemon(instance as Instance, members);
    return { ...instance, daemon };
  }

  #createDaemon(instance: Instance, members: string[]): SimDaemon {
    const { address, clock, lives } = instance;
    const self = () => this.#instances.find((other) => other.address === address) ?? instance;
    return new SimDaemon({
      address,
      incarnation: `${address}-${lives}`,
      clock,
      store: this.#store,
      reachesStore: () => !this.#cutFromStore.has(address),
      serverId: () => self().serverId,
      members,
      carryCall: this.#carryCall,
      carryOrder: this.#carryOrder,
      rules: this.#rules,
      reportRules: this.#reportRules,
      supportMs: this.#reportRules === undefined ? SUPPORT_MS : reportSupportMs(REPORT_MS),
      random: this.#random,
    });
  }

  #find(address: string): Instance {
    return this.#instances.find((instance) => instance.address === address)!;
  }

  #carryCall: CarryCall = async (from, peer, { method, payload, timeoutMs }) => {
    const { clock, address } = from.options;
    const network = new ProcessClock(this.#scheduler);
    const lost = clock.sleep(timeoutMs).then(() => Result.err<unknown, Error>(new Error("lost")));
    const carried = (async () => {
      await network.sleep(1 + this.#random() * CALL_MS_MAX);
      const target = this.#find(peer);
      const isCut = () => this.#cut.has(address) !== this.#cut.has(peer);
      if (isCut()) {
        return await lost;
      }
      while (!target.clock.isRunning) {
        await network.sleep(20);
      }
      const answer = await this.#find(peer).daemon.answer(method, unpack(pack(payload)));
      await network.sleep(1 + this.#random() * CALL_MS_MAX);
      if (isCut()) {
        return await lost;
      }
      // A process takes an answer only once it runs again.
      await clock.sleep(0);
      return Result.ok<unknown, Error>(unpack(pack(answer)));
    })();
    return await Promise.race([carried, lost]);
  };

  #carryOrder: CarryOrder = async (from, sent, { timeoutMs }) => {
    const { clock, address } = from.options;
    const network = new ProcessClock(this.#scheduler);
    const { server } = this.#find(address);
    const isLate = this.#scheduler.now < this.#lateUntil && this.#random() < LATE_SHARE;
    await network.sleep(0.5);
    const arrivedAt = this.#scheduler.now;
    if (isLate) {
      network.sleep(2_000 + this.#random() * 6_000).then(() =>
        this.#carryOut(server, sent, { arrivedAt, isLate })
      );
    }
    if (isLate || !server.isUp) {
      await clock.sleep(timeoutMs);
      return Result.err<OrderResponse, Error>(new Error("no answer"));
    }
    const status = this.#carryOut(server, sent, { arrivedAt, isLate }) ? 200 : 409;
    await network.sleep(0.5);
    await clock.sleep(0);
    return Result.ok<OrderResponse, Error>({ status, headers: {} });
  };

  #carryOut(
    server: SimServer,
    sent: Parameters<CarryOrder>[1],
    options: { arrivedAt: number; isLate: boolean },
  ): boolean {
    if (sent.kind === "release") {
      server.release(sent.order);
      return true;
    }
    this.#grants++;
    const isTaken = server.grant(sent.order, options);
    if (isTaken && !options.isLate) {
      this.#checkEpoch(server, sent.order);
    }
    return isTaken;
  }

  /** Sends the status reports of one server, of which some come late or twice, and some answers get lost. */
  async #report(address: string): Promise<void> {
    const network = new ProcessClock(this.#scheduler);
    // A report names what was released since its last acknowledged one.
    let unacknowledged: ServerReport["released"] = [];
    for (let sequence = 1; this.#violation === undefined; sequence++) {
      const { server, serverId } = this.#find(address);
      const sentAt = this.#scheduler.now;
      const released = server.takeReleased(sentAt);
      unacknowledged.push(
        ...released.map(({ first, last }) => ({ first, last, handover: `${sequence}` })),
      );
      const report: ServerReport = {
        id: serverId,
        bornMs: 1,
        address,
        service: "",
        dataCentre: "",
        slots: 1,
        state: ServerState.Ready,
        sequence,
        coldMs: 0,
        held: server.heldAt(sentAt).map(({ first, last, epoch }) => ({ first, last, epoch })),
        released: [...unacknowledged],
      };
      const isFaulty = sentAt < this.#lateUntil && this.#random() < LATE_SHARE;
      const answered = await Promise.race([
        this.#carryReport(address, report, { isFaulty }),
        network.sleep(ACKNOWLEDGEMENT_MS).then(() => undefined),
      ]);
      if (answered !== undefined) {
        unacknowledged = [];
        if (answered.rows !== undefined) {
          this.#takeAnswer(server, answered.rows, { until: sentAt + answered.durationMs });
        }
      }
      const isLettingGo = server.holdings.some(({ workEndsAt }) => workEndsAt !== undefined);
      await network.sleep(isLettingGo ? QUICK_REPORT_MS : REPORT_MS * (0.9 + 0.2 * this.#random()));
    }
  }

  async #carryReport(
    address: string,
    report: ServerReport,
    options: { isFaulty: boolean },
  ): Promise<{ rows?: GrantRow[]; durationMs: number } | undefined> {
    const network = new ProcessClock(this.#scheduler);
    await network.sleep(options.isFaulty ? 100 + this.#random() * 4_000 : 0.5);
    while (!this.#find(address).clock.isRunning) {
      await network.sleep(20);
    }
    const { daemon, clock } = this.#find(address);
    const grants = await daemon.takeReport(report);
    if (options.isFaulty && this.#random() < 0.5) {
      await daemon.takeReport(report);
    }
    await clock.sleep(0);
    await network.sleep(0.5);
    return { rows: grants?.rows, durationMs: (grants?.durationMs ?? 0) * SLOWNESS };
  }

  #takeAnswer(server: SimServer, rows: GrantRow[], options: { until: number }): void {
    const now = this.#scheduler.now;
    const isOutdated = (row: GrantRow) =>
      server.holdings.some((held) => overlaps(held, row) && held.epoch > row.epoch);
    const taken = rows.filter((row) => !isOutdated(row));
    this.#grants += taken.length;
    taken.forEach((row) => this.#checkEpoch(server, row));
    const workMs = () => this.#random() * WORK_MS_MAX;
    server.takeAnswer(taken, { until: options.until, now, workMs });
  }

  /** Looks at the first key of a grant only, which is enough since all keys of a grant share its epoch. */
  #checkEpoch(server: SimServer, order: KeySpan & { epoch: number }): void {
    const known = this.#epochs.get(order.first);
    if (known !== undefined && known.server !== server) {
      this.#changes++;
      if (order.epoch <= known.epoch) {
        this.#note(`key ${order.first} came with epoch ${order.epoch} after ${known.epoch}`);
      }
    }
    if (known === undefined || order.epoch > known.epoch) {
      this.#epochs.set(order.first, { epoch: order.epoch, server });
    }
  }

  #note(what: string): void {
    this.#violation ??= { at: this.#scheduler.now, what };
  }

  /** Looks for keys that two servers hold. */
  #checkOwners(): void {
    const now = this.#scheduler.now;
    const held = this.#instances.map(({ server, address }) => ({
      address,
      held: server.heldAt(now),
    }));
    for (const [index, one] of held.entries()) {
      for (const other of held.slice(index + 1)) {
        for (const left of one.held) {
          const both = other.held.find((right) =>
            overlaps(left, right) && !left.isLate && !right.isLate
          );
          if (both !== undefined) {
            this.#note(`${one.address} and ${other.address} hold keys from ${both.first}`);
          }
        }
      }
    }
  }

  #scheduleFaults(): void {
    for (let count = 0; count < FAULTS; count++) {
      const at = START_MS + this.#random() * (RUN_MS - START_MS - 6_000);
      this.#scheduler.at(at, () => this.#injectFault());
    }
    for (let at = START_MS; at < RUN_MS; at += 700) {
      this.#scheduler.at(at, () => this.#pick().daemon.giveSome(this.#pick().address));
    }
  }

  #pick(): Instance {
    return this.#instances[Math.floor(this.#random() * this.#instances.length)];
  }

  #injectFault(): void {
    const instance = this.#pick();
    const forMs = 300 + this.#random() * 5_000;
    const until = this.#scheduler.now + forMs;
    const faults = [
      () => this.#restart(instance, forMs / 4),
      () => this.#restart(this.#pick(), forMs / 8),
      () => instance.clock.pause(forMs),
      () => instance.clock.suspend(forMs),
      () => this.#cutFor([instance.address], forMs),
      () => this.#cutFor([instance.address, this.#pick().address], forMs),
      () => this.#cutFromStoreFor(instance.address, forMs),
      () => this.#takeStoreDown(forMs),
      () => this.#appendFaultUntil = until,
      () => this.#lateUntil = until,
      () => this.#store.dropHistory("keyed.bulrushwood"),
    ];
    faults[Math.floor(this.#random() * faults.length)]();
  }

  #restart(instance: Instance, afterMs: number): void {
    const present = this.#find(instance.address);
    present.clock.kill();
    this.#scheduler.at(this.#scheduler.now + afterMs, () => {
      present.clock.kill();
      present.clock = new ProcessClock(this.#scheduler);
      present.lives++;
      const members = this.#instances.map(({ address }) => address);
      present.daemon = this.#createDaemon(present, members);
      present.daemon.start();
    });
  }

  #cutFor(addresses: string[], ms: number): void {
    addresses.forEach((address) => this.#cut.add(address));
    this.#scheduler.at(
      this.#scheduler.now + ms,
      () => addresses.forEach((address) => this.#cut.delete(address)),
    );
  }

  #cutFromStoreFor(address: string, ms: number): void {
    this.#cutFromStore.add(address);
    this.#scheduler.at(this.#scheduler.now + ms, () => this.#cutFromStore.delete(address));
  }

  #takeStoreDown(ms: number): void {
    this.#store.isDown = true;
    this.#scheduler.at(this.#scheduler.now + ms, () => this.#store.isDown = false);
  }

  async run(): Promise<RangeReport> {
    this.#instances.forEach(({ daemon }) => daemon.start());
    if (this.#reportRules !== undefined) {
      this.#instances.forEach(({ address }) => this.#report(address));
    }
    this.#scheduleFaults();
    for (let end = 1_000; end <= RUN_MS && this.#violation === undefined; end += 1_000) {
      await this.#scheduler.runUntil(end, () => this.#checkOwners());
    }
    const { length } = this.#instances.flatMap(({ server }) => server.heldAt(this.#scheduler.now));
    if (length === 0 || this.#grants === 0) {
      this.#note(`nobody holds any of ${KEYS} keys at the end`);
    }
    return { violation: this.#violation, grants: this.#grants, changes: this.#changes };
  }
}

/** Runs one schedule; with `reportRules` keys are granted in the answers to status reports. */
export async function runRanges(
  seed: number,
  rules: VoteRules = ALL_VOTE_RULES,
  reportRules?: ReportRules,
): Promise<RangeReport> {
  return await new RangeRun(seed, rules, reportRules).run();
}
