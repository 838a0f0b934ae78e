/**
 * Empties this daemon of keys: leaves the planner time to move them one by one to others, then gives up
 * what is left to the successors.
 */
import type { Leases } from "@bulrushwood/lease";
import type { Ledger } from "@bulrushwood/ledger";
import { type Address, type Incarnation, now, sleep } from "@bulrushwood/types";

/** Time for the planner to move the keys; after it no new work is taken, in milliseconds. */
const PLANNED_MS = 2_000;
/** Time for the planner to replace this daemon as voter, in milliseconds. */
const REPLACED_MS = 2_000;
const CHECK_EVERY_MS = 20;

/** What vacating needs. */
export interface VacatingOptions {
  keeper: Leases;
  ledger: Ledger;
  address: Address;
  incarnation: Incarnation;
}

/** Gives up the keys of a daemon. */
export class Vacating {
  readonly #options: VacatingOptions;
  #underWay: Promise<void> | undefined;

  constructor(options: VacatingOptions) {
    this.#options = options;
  }

  /** Gives up all keys; at once when the server that serves them is gone. */
  vacate(options: { isServerGone: boolean }): Promise<void> {
    this.#underWay ??= this.#run(options).finally(() => this.#underWay = undefined);
    return this.#underWay;
  }

  async #run(options: { isServerGone: boolean }): Promise<void> {
    const { keeper } = this.#options;
    if (!options.isServerGone) {
      const isEmpty = () => keeper.held.every((tenure) => tenure.group.shards === 0);
      await waitUntil(isEmpty, PLANNED_MS);
    }
    await keeper.surrenderAll();
  }

  /** Waits until no group with keys counts on this daemon's vote, for a bounded time. */
  async awaitReplacement(): Promise<void> {
    const { ledger, address, incarnation } = this.#options;
    const isReplaced = () =>
      [...ledger.groups.values()].every((group) =>
        group.shards === 0 ||
        !group.members.some((member) =>
          member.address === address && member.incarnation === incarnation
        )
      );
    await waitUntil(isReplaced, REPLACED_MS);
  }
}

async function waitUntil(
  condition: () => boolean,
  timeoutMs: number,
): Promise<void> {
  const until = now() + timeoutMs;
  while (!condition() && now() < until) {
    await sleep(CHECK_EVERY_MS);
  }
}
