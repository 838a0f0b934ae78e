/**
 * Moves all keys away from this daemon: gives the planner time to move them one by one to other
 * daemons, then surrenders the remaining groups to their successors.
 */
import type { Leases } from "@bulrushwood/lease";
import type { Ledger } from "@bulrushwood/ledger";
import { type Address, type Incarnation, now, sleep } from "@bulrushwood/types";

/**
 * Time that the planner has to move the keys before the leases are surrendered, in milliseconds.
 */
const PLANNED_MOVES_TIMEOUT_MS = 2_000;
/** Time that the planner has to replace this daemon as a voter, in milliseconds. */
const REPLACEMENT_TIMEOUT_MS = 2_000;
const CHECK_INTERVAL_MS = 20;

/** Dependencies of a `KeyDrain`. */
export interface KeyDrainOptions {
  leases: Leases;
  ledger: Ledger;
  address: Address;
  incarnation: Incarnation;
}

/** Drains a daemon of its keys. */
export class KeyDrain {
  readonly #options: KeyDrainOptions;
  #running: Promise<void> | undefined;

  constructor(options: KeyDrainOptions) {
    this.#options = options;
  }

  /**
   * Moves all keys away. Surrenders the leases at once when the local backend server is
   * unresponsive. A call during a drain returns the promise of that drain.
   */
  drainKeys(options: { isServerUnresponsive: boolean }): Promise<void> {
    this.#running ??= this.#run(options).finally(() => this.#running = undefined);
    return this.#running;
  }

  async #run(options: { isServerUnresponsive: boolean }): Promise<void> {
    const { leases } = this.#options;
    if (!options.isServerUnresponsive) {
      const isEmpty = () => leases.held.every((tenure) => tenure.group.shards === 0);
      await waitUntil(isEmpty, PLANNED_MOVES_TIMEOUT_MS);
    }
    await leases.surrenderAll();
  }

  /** Waits, for a bounded time, until this daemon is a member of no group that has keys. */
  async waitUntilReplaced(): Promise<void> {
    const { ledger, address, incarnation } = this.#options;
    const isReplaced = () =>
      [...ledger.groups.values()].every((group) =>
        group.shards === 0 ||
        !group.members.some((member) =>
          member.address === address && member.incarnation === incarnation
        )
      );
    await waitUntil(isReplaced, REPLACEMENT_TIMEOUT_MS);
  }
}

async function waitUntil(
  condition: () => boolean,
  timeoutMs: number,
): Promise<void> {
  const deadline = now() + timeoutMs;
  while (!condition() && now() < deadline) {
    await sleep(CHECK_INTERVAL_MS);
  }
}
