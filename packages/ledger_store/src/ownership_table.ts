/**
 * Defines the owners of the keys of one service. The table is one record of the store; each change writes the
 * whole table, on condition that nothing else was written before. Only two kinds of change take keys from an
 * owner: the owner transfers its own keys after its server released them, or a daemon loses all its keys after
 * its tenure has ended, as its voters confirm. A daemon can therefore be certain of its own keys even without the
 * newest table.
 */
import { z } from "zod";
import { isSameIncarnation } from "@bulrushwood/deployment";
import type { Address } from "@bulrushwood/types";

/** Number of keys in the key space of a service. */
export const KEYS = 65_536;

const voterSchema = z.object({ address: z.string(), incarnation: z.string() });
/** Schema of a host, by which entries that other daemons request are validated before they are written. */
export const hostSchema = z.object({
  /** Name of one period in which the daemon at this address may extend grants. */
  tenure: z.string(),
  voters: z.array(voterSchema),
  /** Incarnation of the backend server that the keys belong to. */
  server: z.object({ id: z.string(), bornMs: z.number() }),
  slots: z.number(),
  /**
   * Longest time for which a voter may have been asked to support the tenure, in milliseconds. It tells when a voter's
   * last vote has certainly ended if the voter has restarted since.
   */
  supportMsMax: z.number().positive(),
  /** Set while the tenure's end is awaited without seals of its voters. */
  isSuspected: z.boolean().default(false),
});
/** Daemon whose votes another daemon relies on for its tenure. */
export type VoterIdentity = z.infer<typeof voterSchema>;
/** Daemon whose backend server may own keys. */
export type Host = z.infer<typeof hostSchema>;
/** Neighbouring keys with one owner, epoch and handover token. */
export interface Range extends KeySpan {
  /** Address of the owner; null while the keys have no owner. */
  owner: Address | null;
  epoch: number;
  /** Handover token from the last owner's server; null when there is none. */
  handover: string | null;
}

/** Hosts of one service and the owners of all its keys. */
export interface OwnershipTable {
  /** Name of the write, by which its writer recognises it after a lost reply. */
  write: string;
  /** Highest epoch that was ever assigned. */
  epoch: number;
  hosts: Record<Address, Host>;
  /** Ranges that cover each key once, in order. */
  ranges: Range[];
}

/** Keys from `first` to `last`, both included. */
export interface KeySpan {
  first: number;
  last: number;
}

/** Change of owner for a span of keys; null for no owner. */
export interface Assignment extends KeySpan {
  to: Address | null;
  handover: string | null;
}

/** Creates the table without hosts and owners. */
export function emptyTable(): OwnershipTable {
  const all = { first: 0, last: KEYS - 1, owner: null, epoch: 0, handover: null };
  return { write: "", epoch: 0, hosts: {}, ranges: [all] };
}

/** Returns the range that contains a key. */
export function rangeOf(table: OwnershipTable, key: number): Range {
  let low = 0;
  let high = table.ranges.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (table.ranges[middle].last < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return table.ranges[low];
}

/** Returns the ranges of an owner, or those without an owner for null. */
export function rangesOf(table: OwnershipTable, owner: Address | null): Range[] {
  return table.ranges.filter((range) => range.owner === owner);
}

/** Returns the number of keys of a span. */
export function sizeOf(span: KeySpan): number {
  return span.last - span.first + 1;
}

/** Returns the number of keys of all spans together. */
export function countKeys(spans: KeySpan[]): number {
  return spans.reduce((sum, span) => sum + sizeOf(span), 0);
}

/** Returns whether two spans share a key. */
export function overlaps(left: KeySpan, right: KeySpan): boolean {
  return left.first <= right.last && right.first <= left.last;
}

/** Returns whether one span contains all keys of another. */
export function encloses(outer: KeySpan, inner: KeySpan): boolean {
  return outer.first <= inner.first && inner.last <= outer.last;
}

/** Returns the parts of a span that are in none of the others. */
export function without(span: KeySpan, others: KeySpan[]): KeySpan[] {
  let rest: KeySpan[] = [{ first: span.first, last: span.last }];
  for (const other of others) {
    rest = rest.flatMap((piece) =>
      !overlaps(piece, other) ? [piece] : [
        { first: piece.first, last: other.first - 1 },
        { first: other.last + 1, last: piece.last },
      ].filter(({ first, last }) => first <= last)
    );
  }
  return rest;
}

/** Assigns keys to new owners, all with the same new epoch. */
export function assign(table: OwnershipTable, assignments: Assignment[]): OwnershipTable {
  const epoch = table.epoch + 1;
  let { ranges } = table;
  for (const { first, last, to, handover } of assignments) {
    const moved = { first, last, owner: to, epoch, handover };
    ranges = ranges.flatMap((range) => cutOut(range, moved));
    ranges.push(moved);
  }
  ranges.sort((left, right) => left.first - right.first);
  return { ...table, epoch, ranges: mergeEqual(ranges) };
}

/** Returns the parts of a range outside a span. */
function cutOut(range: Range, span: KeySpan): Range[] {
  const rest: Range[] = [];
  if (range.first < span.first) {
    rest.push({ ...range, last: Math.min(range.last, span.first - 1) });
  }
  if (range.last > span.last) {
    rest.push({ ...range, first: Math.max(range.first, span.last + 1) });
  }
  return rest;
}

/** Merges neighbouring ranges that differ only in their keys. */
function mergeEqual(ranges: Range[]): Range[] {
  const merged: Range[] = [];
  for (const range of ranges) {
    const previous = merged.at(-1);
    const isEqual = previous !== undefined && previous.owner === range.owner &&
      previous.epoch === range.epoch && previous.handover === range.handover;
    if (isEqual) {
      previous.last = range.last;
    } else {
      merged.push({ ...range });
    }
  }
  return merged;
}

/**
 * Merges neighbouring ranges of one owner that `mayMerge` accepts, whatever their epochs. The merged range has the newest
 * of the epochs and no handover token, so its server must have been granted all of the ranges before. Returns the table
 * itself where there is nothing to merge.
 */
export function mergeRanges(
  table: OwnershipTable,
  mayMerge: (range: Range) => boolean,
): OwnershipTable {
  const merged: Range[] = [];
  let mayMergePrevious = false;
  for (const range of table.ranges) {
    const previous = merged.at(-1);
    const mayMergeRange = mayMerge(range);
    if (previous?.owner === range.owner && mayMergePrevious && mayMergeRange) {
      const epoch = Math.max(previous.epoch, range.epoch);
      merged[merged.length - 1] = { ...previous, last: range.last, epoch, handover: null };
    } else {
      merged.push(range);
    }
    mayMergePrevious = mayMergeRange;
  }
  return merged.length === table.ranges.length ? table : { ...table, ranges: merged };
}

/** Epochs that are skipped at the begin of an era; far more than the store takes writes in the seconds that it loses. */
const EPOCHS_SKIPPED = 65_536;

/** Skips the epochs that changes may have had which the store lost. */
export function skipEpochs(table: OwnershipTable): OwnershipTable {
  return { ...table, epoch: table.epoch + EPOCHS_SKIPPED };
}

/** Assigns all keys to their owners again, with a new epoch. */
export function renewEpochs(table: OwnershipTable): OwnershipTable {
  return assign(
    table,
    table.ranges.map(({ first, last, owner }) => ({ first, last, to: owner, handover: null })),
  );
}

/**
 * Returns a table with those ranges of another whose keys have a newer epoch there, and with the hosts that they belong
 * to; the table itself if there are none.
 */
export function keepNewerRanges(table: OwnershipTable, other: OwnershipTable): OwnershipTable {
  const newer: Range[] = [];
  let index = 0;
  for (const range of other.ranges) {
    while (table.ranges[index].last < range.first) {
      index++;
    }
    for (let at = index; at < table.ranges.length && table.ranges[at].first <= range.last; at++) {
      const { first, last, epoch } = table.ranges[at];
      if (range.epoch > epoch) {
        newer.push({
          ...range,
          first: Math.max(first, range.first),
          last: Math.min(last, range.last),
        });
      }
    }
  }
  if (newer.length === 0) {
    return table;
  }
  const ranges = table.ranges.flatMap((range) =>
    without(range, newer).map((span) => ({ ...range, ...span }))
  ).concat(newer).sort((left, right) => left.first - right.first);
  const owners = newer.flatMap(({ owner }) => owner ?? []).filter((owner) => owner in other.hosts);
  const hosts = Object.fromEntries(owners.map((owner) => [owner, other.hosts[owner]]));
  return {
    ...table,
    epoch: Math.max(table.epoch, other.epoch),
    hosts: { ...hosts, ...table.hosts },
    ranges: mergeEqual(ranges),
  };
}

/**
 * Enters a daemon or its new tenure. A new incarnation of its server gets a new epoch for its keys. Votes for earlier
 * tenures at the address may last longer than those for the new one.
 */
export function enterHost(table: OwnershipTable, address: Address, host: Host): OwnershipTable {
  const previousHost = table.hosts[address];
  const supportMsMax = Math.max(host.supportMsMax, previousHost?.supportMsMax ?? 0);
  const entered = { ...table, hosts: { ...table.hosts, [address]: { ...host, supportMsMax } } };
  const own = rangesOf(table, address);
  if (isSameIncarnation(host.server, previousHost?.server) || own.length === 0) {
    return entered;
  }
  return assign(
    entered,
    own.map(({ first, last }) => ({ first, last, to: address, handover: null })),
  );
}

/** Removes a daemon, which leaves its keys without an owner. Safe only once its tenure has ended or it has none. */
export function removeHost(table: OwnershipTable, address: Address): OwnershipTable {
  const { [address]: _removed, ...hosts } = table.hosts;
  const own = rangesOf(table, address);
  const rest = { ...table, hosts };
  if (own.length === 0) {
    return rest;
  }
  return assign(rest, own.map(({ first, last }) => ({ first, last, to: null, handover: null })));
}

/** Returns the hosts that a change entered anew or gave keys. */
export function changedHosts(
  { before, after }: { before: OwnershipTable; after: OwnershipTable },
): Address[] {
  const isNew = (address: Address) => after.hosts[address].tenure !== before.hosts[address]?.tenure;
  const owners = after.ranges.filter(({ epoch }) => epoch > before.epoch)
    .flatMap(({ owner }) => owner ?? []);
  return [...new Set([...Object.keys(after.hosts).filter(isNew), ...owners])];
}
