/**
 * This daemon's part in the system: it joins, keeps the description of the backend server beside it up
 * to date in the log, and leaves.
 */
import { Result } from "true-myth";
import type { Address, Incarnation } from "@bulrushwood/types";
import {
  type Entry,
  type Ledger,
  type LedgerError,
  RecordKind,
  type ServerDescription,
  type Submitter,
} from "@bulrushwood/ledger";

const JOIN_TIMEOUT_MS = 10_000;
const CHANGE_TIMEOUT_MS = 5_000;

/** Who this daemon is. */
export interface Identity {
  address: Address;
  name: string;
  dataCentre: string;
  region: string;
  admin: Address;
}

/** What membership needs. */
export interface MembershipOptions {
  identity: Identity;
  ledger: Ledger;
  submitter: Submitter;
  newId: () => string;
}

/** One incarnation's membership. */
export class Membership {
  readonly #options: MembershipOptions;
  #incarnation: Incarnation = 0;

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Offset of this incarnation's record; 0 before it has joined. */
  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  /** Joins as a new incarnation, with the server beside this daemon where there is one. */
  async join(
    server: ServerDescription | null,
  ): Promise<Result<Incarnation, LedgerError>> {
    const { identity, ledger, submitter, newId } = this.#options;
    const expects = ledger.instances.get(identity.address)?.incarnation ?? 0;
    const kind = RecordKind.InstanceJoined as const;
    const entry: Entry = { id: newId(), kind, expects, ...identity, server };
    const joined = await submitter.submit(entry, {
      timeoutMs: JOIN_TIMEOUT_MS,
    });
    if (joined.isOk) {
      this.#incarnation = joined.value;
    }
    return joined;
  }

  /** Tells the log what the server beside this daemon is now; null while there is none. */
  async describeServer(
    server: ServerDescription | null,
  ): Promise<Result<number, LedgerError>> {
    return await this.#submit({
      ...this.#change(),
      kind: RecordKind.ServerChanged,
      server,
    });
  }

  /** Asks for no new keys. */
  async announceLeaving(): Promise<Result<number, LedgerError>> {
    return await this.#submit({
      ...this.#change(),
      kind: RecordKind.InstanceLeaving,
    });
  }

  /** Tells the log that this incarnation has ended and holds nothing. */
  async leave(): Promise<Result<number, LedgerError>> {
    return await this.#submit({
      ...this.#change(),
      kind: RecordKind.InstanceLeft,
    });
  }

  #change(): { id: string; address: Address; incarnation: Incarnation } {
    const { identity, newId } = this.#options;
    return {
      id: newId(),
      address: identity.address,
      incarnation: this.#incarnation,
    };
  }

  #submit(entry: Entry): Promise<Result<number, LedgerError>> {
    return this.#options.submitter.submit(entry, {
      timeoutMs: CHANGE_TIMEOUT_MS,
    });
  }
}
