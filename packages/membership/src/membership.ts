/**
 * Membership of this daemon in the system: it joins, keeps the description of its backend server up to date
 * in the log, and leaves.
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

/** Description of this daemon that its record in the log carries. */
export interface Identity {
  address: Address;
  name: string;
  dataCentre: string;
  region: string;
  admin: Address;
}

/** Settings and dependencies of a membership. */
export interface MembershipOptions {
  identity: Identity;
  ledger: Ledger;
  submitter: Submitter;
  newId: () => string;
}

/** Membership of one incarnation of this daemon. */
export class Membership {
  readonly #options: MembershipOptions;
  #incarnation: Incarnation = 0;

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Offset of the record by which this incarnation joined; 0 before. */
  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  /** Joins as a new incarnation, with the description of its backend server, or null for none. */
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

  /** Records a change of this daemon's backend server in the log; null while there is none. */
  async describeServer(
    server: ServerDescription | null,
  ): Promise<Result<number, LedgerError>> {
    return await this.#submit({
      ...this.#recordBase(),
      kind: RecordKind.ServerChanged,
      server,
    });
  }

  /** Records that this incarnation is leaving, so that it gets no new keys. */
  async announceLeaving(): Promise<Result<number, LedgerError>> {
    return await this.#submit({
      ...this.#recordBase(),
      kind: RecordKind.InstanceLeaving,
    });
  }

  /** Records that this incarnation has left and holds no keys. */
  async leave(): Promise<Result<number, LedgerError>> {
    return await this.#submit({
      ...this.#recordBase(),
      kind: RecordKind.InstanceLeft,
    });
  }

  #recordBase(): { id: string; address: Address; incarnation: Incarnation } {
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
