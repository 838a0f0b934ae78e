/**
 * Runs daemons in a random schedule of faults and checks that no two servers hold a key at the same time, and that a
 * key is granted to another server only with an epoch above all earlier ones.
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
import { ProcessClock } from "./process_clock.ts";
import { type SendCall, type SendOrder, SimDaemon } from "./sim_daemon.ts";
import { SimServer, SLOW_CLOCK_FACTOR } from "./sim_server.ts";

const DAEMON_COUNT = 5;
/** Time of a run before its faults and moves begin, in milliseconds. */
const FIRST_FAULT_MS = 4_000;
/** Length of a run, in milliseconds of true time. */
const RUN_MS = 40_000;
/** Longest random part of the delay of a call or reply between daemons, in milliseconds. */
const CALL_DELAY_MAX_MS = 4;
/** Mean time between two status reports, in milliseconds. */
const REPORT_INTERVAL_MS = 870;
/** Time between two status reports while keys that a response omits are not yet released, in milliseconds. */
const QUICK_REPORT_INTERVAL_MS = 100;
/** Longest time that a server waits for the response to a status report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;
/** Longest duration of work for keys to be released, in milliseconds. */
const WORK_MS_MAX = 400;
/** Largest time that votes last longer while work is long, in milliseconds. */
const LONG_WORK_MS_MAX = 2_500;
/** Time between changes of the duration of work, in milliseconds. */
const WORK_CHANGE_MS = 2_000;
/** Number of faults in a run. */
const FAULT_COUNT = 10;
/** Share of orders and status reports that are delayed while such a fault lasts. */
const LATE_SHARE = 0.3;

/** Two owners of a key at the same time, an epoch that is not above all earlier ones, or no owner at the end. */
export interface RangeViolation {
  at: number;
  message: string;
}

/** Result of a run. */
export interface RangeReport {
  violation: RangeViolation | undefined;
  grants: number;
  /** Number of owner changes, over all keys whose epochs were checked. */
  ownerChanges: number;
}

interface Instance {
  address: string;
  server: SimServer;
  serverId: string;
  daemon: SimDaemon;
  clock: ProcessClock;
  incarnationCount: number;
}

/** Simulation of one random schedule. */
class RangeRun {
  readonly #scheduler = new Scheduler();
  readonly #random: Random;
  /** Random numbers of their own, so that the faults of a seed stay the same. */
  readonly #workRandom: Random;
  readonly #rules: VoteRules;
  readonly #reportRules: ReportRules | undefined;
  readonly #store: KeyedStoreService;
  readonly #instances: Instance[] = [];
  /** Addresses whose connections to all daemons outside this set are cut. */
  readonly #cutOff = new Set<string>();
  readonly #cutFromStore = new Set<string>();
  #appendFaultUntil = 0;
  #delaysUntil = 0;
  #violation: RangeViolation | undefined;
  /** Time that votes last longer, in milliseconds, since work is long. */
  #workMs = 0;
  #grants = 0;
  #ownerChanges = 0;
  /** Highest epoch and its server, by the first key of each grant seen. */
  readonly #epochs = new Map<number, { epoch: number; server: SimServer }>();

  constructor(seed: number, rules: VoteRules, reportRules?: ReportRules) {
    this.#random = createRandom(seed);
    this.#workRandom = createRandom(seed);
    this.#rules = rules;
    this.#reportRules = reportRules;
    this.#store = new KeyedStoreService({
      sleep: new ProcessClock(this.#scheduler).sleep,
      callMs: 4,
      lateMs: 2_500,
      chooseFault: () => this.#chooseFault(),
    });
    const addresses = Array.from({ length: DAEMON_COUNT }, (_, index) => `d${index}`);
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
      incarnationCount: 1,
    };
    const daemon = this.#createDaemon(instance as Instance, members);
    return { ...instance, daemon };
  }

  #createDaemon(instance: Instance, members: string[]): SimDaemon {
    const { address, clock, incarnationCount } = instance;
    const supportMs = this.#reportRules === undefined
      ? SUPPORT_MS
      : reportSupportMs(REPORT_INTERVAL_MS);
    const findOwnInstance = () =>
      this.#instances.find((other) => other.address === address) ?? instance;
    return new SimDaemon({
      address,
      incarnation: `${address}-${incarnationCount}`,
      clock,
      store: this.#store,
      reachesStore: () => !this.#cutFromStore.has(address),
      serverId: () => findOwnInstance().serverId,
      members,
      sendCall: this.#sendCall,
      sendOrder: this.#sendOrder,
      rules: this.#rules,
      reportRules: this.#reportRules,
      supportMs,
      requestedMs: () => supportMs + this.#workMs,
      supportMsMax: supportMs + LONG_WORK_MS_MAX,
      random: this.#random,
    });
  }

  #findInstance(address: string): Instance {
    return this.#instances.find((instance) => instance.address === address)!;
  }

  #sendCall: SendCall = async (from, peer, { method, payload, timeoutMs }) => {
    const { clock, address } = from.options;
    const networkClock = new ProcessClock(this.#scheduler);
    const timedOut = clock.sleep(timeoutMs).then(() =>
      Result.err<unknown, Error>(new Error("call timed out"))
    );
    const delivered = (async () => {
      await networkClock.sleep(1 + this.#random() * CALL_DELAY_MAX_MS);
      const target = this.#findInstance(peer);
      const isCut = () => this.#cutOff.has(address) !== this.#cutOff.has(peer);
      if (isCut()) {
        return await timedOut;
      }
      while (!target.clock.isRunning) {
        await networkClock.sleep(20);
      }
      const reply = await this.#findInstance(peer).daemon.handleCall(method, unpack(pack(payload)));
      await networkClock.sleep(1 + this.#random() * CALL_DELAY_MAX_MS);
      if (isCut()) {
        return await timedOut;
      }
      // A paused process receives a reply only once it runs again.
      await clock.sleep(0);
      return Result.ok<unknown, Error>(unpack(pack(reply)));
    })();
    return await Promise.race([delivered, timedOut]);
  };

  #sendOrder: SendOrder = async (from, message, { timeoutMs }) => {
    const { clock, address } = from.options;
    const networkClock = new ProcessClock(this.#scheduler);
    const { server } = this.#findInstance(address);
    const isLate = this.#scheduler.now < this.#delaysUntil && this.#random() < LATE_SHARE;
    await networkClock.sleep(0.5);
    const arrivedAt = this.#scheduler.now;
    if (isLate) {
      networkClock.sleep(2_000 + this.#random() * 6_000).then(() =>
        this.#executeOrder(server, message, { arrivedAt, isLate })
      );
    }
    if (isLate || !server.isUp) {
      await clock.sleep(timeoutMs);
      return Result.err<OrderResponse, Error>(new Error("no response"));
    }
    const status = this.#executeOrder(server, message, { arrivedAt, isLate }) ? 200 : 409;
    await networkClock.sleep(0.5);
    await clock.sleep(0);
    return Result.ok<OrderResponse, Error>({ status, headers: {} });
  };

  #executeOrder(
    server: SimServer,
    message: Parameters<SendOrder>[1],
    options: { arrivedAt: number; isLate: boolean },
  ): boolean {
    if (message.kind === "release") {
      server.release(message.order);
      return true;
    }
    this.#grants++;
    const isAccepted = server.grant(message.order, options);
    if (isAccepted && !options.isLate) {
      this.#checkEpoch(server, message.order);
    }
    return isAccepted;
  }

  /** Sends the status reports of one server; some arrive late or twice, and some responses come too late. */
  async #sendReports(address: string): Promise<void> {
    const networkClock = new ProcessClock(this.#scheduler);
    // A report lists the keys released since the last report that got a response.
    let unacknowledged: ServerReport["released"] = [];
    for (let sequence = 1; this.#violation === undefined; sequence++) {
      const { server, serverId } = this.#findInstance(address);
      const sentAt = this.#scheduler.now;
      const released = server.removeReleased(sentAt);
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
      const isFaulty = sentAt < this.#delaysUntil && this.#random() < LATE_SHARE;
      const response = await Promise.race([
        this.#sendReport(address, report, { isFaulty }),
        networkClock.sleep(REPORT_TIMEOUT_MS).then(() => undefined),
      ]);
      if (response !== undefined) {
        unacknowledged = [];
        if (response.rows !== undefined) {
          this.#applyResponse(server, response.rows, { until: sentAt + response.durationMs });
        }
      }
      const isReleasing = server.grants.some(({ workEndsAt }) => workEndsAt !== undefined);
      await networkClock.sleep(
        isReleasing ? QUICK_REPORT_INTERVAL_MS : REPORT_INTERVAL_MS * (0.9 + 0.2 * this.#random()),
      );
    }
  }

  async #sendReport(
    address: string,
    report: ServerReport,
    options: { isFaulty: boolean },
  ): Promise<{ rows?: GrantRow[]; durationMs: number } | undefined> {
    const networkClock = new ProcessClock(this.#scheduler);
    await networkClock.sleep(options.isFaulty ? 100 + this.#random() * 4_000 : 0.5);
    while (!this.#findInstance(address).clock.isRunning) {
      await networkClock.sleep(20);
    }
    const { daemon, clock } = this.#findInstance(address);
    const grants = await daemon.handleReport(report);
    if (options.isFaulty && this.#random() < 0.5) {
      await daemon.handleReport(report);
    }
    await clock.sleep(0);
    await networkClock.sleep(0.5);
    return { rows: grants?.rows, durationMs: (grants?.durationMs ?? 0) * SLOW_CLOCK_FACTOR };
  }

  #applyResponse(server: SimServer, rows: GrantRow[], options: { until: number }): void {
    const now = this.#scheduler.now;
    const isOutdated = (row: GrantRow) =>
      server.grants.some((held) => overlaps(held, row) && held.epoch > row.epoch);
    const accepted = rows.filter((row) => !isOutdated(row));
    this.#grants += accepted.length;
    accepted.forEach((row) => this.#checkEpoch(server, row));
    const workMs = () => this.#random() * WORK_MS_MAX;
    server.applyResponse(accepted, { until: options.until, now, workMs });
  }

  /** Checks the epoch at the first key of a grant only, since all keys of a grant share its epoch. */
  #checkEpoch(server: SimServer, order: KeySpan & { epoch: number }): void {
    const highest = this.#epochs.get(order.first);
    if (highest !== undefined && highest.server !== server) {
      this.#ownerChanges++;
      if (order.epoch <= highest.epoch) {
        this.#recordViolation(
          `key ${order.first} was granted with epoch ${order.epoch} after ${highest.epoch}`,
        );
      }
    }
    if (highest === undefined || order.epoch > highest.epoch) {
      this.#epochs.set(order.first, { epoch: order.epoch, server });
    }
  }

  #recordViolation(message: string): void {
    this.#violation ??= { at: this.#scheduler.now, message };
  }

  /** Checks that no two servers hold the same key. */
  #checkOwners(): void {
    const now = this.#scheduler.now;
    const heldByInstance = this.#instances.map(({ server, address }) => ({
      address,
      held: server.heldAt(now),
    }));
    for (const [index, one] of heldByInstance.entries()) {
      for (const other of heldByInstance.slice(index + 1)) {
        for (const left of one.held) {
          const overlapping = other.held.find((right) =>
            overlaps(left, right) && !left.isLate && !right.isLate
          );
          if (overlapping !== undefined) {
            this.#recordViolation(
              `${one.address} and ${other.address} hold keys from ${overlapping.first}`,
            );
          }
        }
      }
    }
  }

  #scheduleFaults(): void {
    for (let count = 0; count < FAULT_COUNT; count++) {
      const at = FIRST_FAULT_MS + this.#random() * (RUN_MS - FIRST_FAULT_MS - 6_000);
      this.#scheduler.at(at, () => this.#injectFault());
    }
    for (let at = 0; at < RUN_MS; at += WORK_CHANGE_MS) {
      const workMs = this.#workRandom() < 0.5 ? 0 : this.#workRandom() * LONG_WORK_MS_MAX;
      this.#scheduler.at(at, () => this.#workMs = workMs);
    }
    for (let at = FIRST_FAULT_MS; at < RUN_MS; at += 700) {
      this.#scheduler.at(
        at,
        () => this.#pickInstance().daemon.transferSome(this.#pickInstance().address),
      );
    }
  }

  #pickInstance(): Instance {
    return this.#instances[Math.floor(this.#random() * this.#instances.length)];
  }

  #injectFault(): void {
    const instance = this.#pickInstance();
    const durationMs = 300 + this.#random() * 5_000;
    const until = this.#scheduler.now + durationMs;
    const faults = [
      () => this.#restart(instance, durationMs / 4),
      () => this.#restart(this.#pickInstance(), durationMs / 8),
      () => instance.clock.pause(durationMs),
      () => instance.clock.suspend(durationMs),
      () => this.#cutOffFor([instance.address], durationMs),
      () => this.#cutOffFor([instance.address, this.#pickInstance().address], durationMs),
      () => this.#cutFromStoreFor(instance.address, durationMs),
      () => this.#stopStore(durationMs),
      () => this.#appendFaultUntil = until,
      () => this.#delaysUntil = until,
      () => this.#store.dropHistory("keyed.bulrushwood"),
    ];
    faults[Math.floor(this.#random() * faults.length)]();
  }

  #restart(instance: Instance, afterMs: number): void {
    const current = this.#findInstance(instance.address);
    current.clock.kill();
    this.#scheduler.at(this.#scheduler.now + afterMs, () => {
      current.clock.kill();
      current.clock = new ProcessClock(this.#scheduler);
      current.incarnationCount++;
      const members = this.#instances.map(({ address }) => address);
      current.daemon = this.#createDaemon(current, members);
      current.daemon.start();
    });
  }

  #cutOffFor(addresses: string[], ms: number): void {
    addresses.forEach((address) => this.#cutOff.add(address));
    this.#scheduler.at(
      this.#scheduler.now + ms,
      () => addresses.forEach((address) => this.#cutOff.delete(address)),
    );
  }

  #cutFromStoreFor(address: string, ms: number): void {
    this.#cutFromStore.add(address);
    this.#scheduler.at(this.#scheduler.now + ms, () => this.#cutFromStore.delete(address));
  }

  #stopStore(ms: number): void {
    this.#store.isDown = true;
    this.#scheduler.at(this.#scheduler.now + ms, () => this.#store.isDown = false);
  }

  async run(): Promise<RangeReport> {
    this.#instances.forEach(({ daemon }) => daemon.start());
    if (this.#reportRules !== undefined) {
      this.#instances.forEach(({ address }) => this.#sendReports(address));
    }
    this.#scheduleFaults();
    for (let end = 1_000; end <= RUN_MS && this.#violation === undefined; end += 1_000) {
      await this.#scheduler.runUntil(end, () => this.#checkOwners());
    }
    const { length } = this.#instances.flatMap(({ server }) => server.heldAt(this.#scheduler.now));
    if (length === 0 || this.#grants === 0) {
      this.#recordViolation(`no server holds any of ${KEYS} keys at the end`);
    }
    return { violation: this.#violation, grants: this.#grants, ownerChanges: this.#ownerChanges };
  }
}

/** Runs the random schedule of a seed; with `reportRules` keys are granted in the responses to status reports. */
export async function runRangeSchedule(
  seed: number,
  rules: VoteRules = ALL_VOTE_RULES,
  reportRules?: ReportRules,
): Promise<RangeReport> {
  return await new RangeRun(seed, rules, reportRules).run();
}
