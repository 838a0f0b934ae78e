/**
 * Who owns which keys of one service. The table is one record of the store; each change writes it whole, on
 * condition that nothing else was written before. Two kinds of change exist. An owner gives its own keys
 * away after its server released them. And a daemon whose tenure has ended, which its voters vouch for,
 * loses all its keys. So a daemon need not know the newest table to be sure that its keys are its own.
 */
import { z } from "zod";
import { isSameLife } from "@bulrushwood/deployment";
import type { Address } from "@bulrushwood/types";

/** Number of keys of a service. */
export const KEYS = 65_536;

const voterSchema = z.object({ address: z.string(), incarnation: z.string() });
/** Schema of a host; its voters and server must be sound before it is entered. */
export const hostSchema = z.object({
  /** Names one stretch of time in which the daemon at this address may extend grants. */
  tenure: z.string(),
  voters: z.array(voterSchema),
  /** The life of the backend server that the keys belong to. */
  server: z.object({ id: z.string(), bornMs: z.number() }),
  slots: z.number(),
  /** Set while somebody waits for the tenure to end without its voters. */
  isSuspected: z.boolean().default(false),
});
/** A daemon that another daemon relies on for its tenure. */
export type VoterName = z.infer<typeof voterSchema>;
/** A daemon whose backend server may own keys. */
export type Host = z.infer<typeof hostSchema>;
/** Neighbouring keys with one owner. */
export interface Range extends KeySpan {
  /** Address of the owner; null while nobody owns the keys. */
  owner: Address | null;
  epoch: number;
  /** What the last owner's server handed over; null when it could not. */
  handover: string | null;
}

/** Owners of all keys of one service. */
export interface OwnershipTable {
  /** Names the write, so that its writer recognises it after a lost answer. */
  write: string;
  /** The highest epoch that was ever given. */
  epoch: number;
  hosts: Record<Address, Host>;
  /** Cover each key once, in order. */
  ranges: Range[];
}

/** Keys from `first` to `last`, both included. */
export interface KeySpan {
  first: number;
  last: number;
}

/** Keys that get a new owner. */
export interface Assignment extends KeySpan {
  to: Address | null;
  handover: string | null;
}

/** The table before anything is owned. */
export function emptyTable(): OwnershipTable {
  const all = { first: 0, last: KEYS - 1, owner: null, epoch: 0, handover: null };
  return { write: "", epoch: 0, hosts: {}, ranges: [all] };
}

/** The range that a key lies in. */
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

/** The ranges that a daemon owns. */
export function rangesOf(table: OwnershipTable, owner: Address | null): Range[] {
  return table.ranges.filter((range) => range.owner === owner);
}

/** Number of keys of a span. */
export function sizeOf(span: KeySpan): number {
  return span.last - span.first + 1;
}

/** Number of keys of some spans. */
export function countKeys(spans: KeySpan[]): number {
  return spans.reduce((sum, span) => sum + sizeOf(span), 0);
}

/** Whether two spans share a key. */
export function overlaps(left: KeySpan, right: KeySpan): boolean {
  return left.first <= right.last && right.first <= left.last;
}

/** Whether one span has all keys of another. */
export function encloses(outer: KeySpan, inner: KeySpan): boolean {
  return outer.first <= inner.first && inner.last <= outer.last;
}

/** What is left of a span without some others. */
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

/** Gives keys new owners, all with one new epoch. */
export function assign(table: OwnershipTable, assignments: Assignment[]): OwnershipTable {
  const epoch = table.epoch + 1;
  let { ranges } = table;
  for (const { first, last, to, handover } of assignments) {
    const moved = { first, last, owner: to, epoch, handover };
    ranges = ranges.flatMap((range) => cutOut(range, moved));
    ranges.push(moved);
  }
  ranges.sort((left, right) => left.first - right.first);
  return { ...table, epoch, ranges: mergeAlike(ranges) };
}

/** What is left of a range without some keys. */
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

/** Joins neighbours that differ in nothing but their keys. */
function mergeAlike(ranges: Range[]): Range[] {
  const merged: Range[] = [];
  for (const range of ranges) {
    const previous = merged.at(-1);
    const isAlike = previous !== undefined && previous.owner === range.owner &&
      previous.epoch === range.epoch && previous.handover === range.handover;
    if (isAlike) {
      previous.last = range.last;
    } else {
      merged.push({ ...range });
    }
  }
  return merged;
}

/** Enters a daemon, or begins a new tenure of one. A new life of its server begins with a new epoch. */
export function enterHost(table: OwnershipTable, address: Address, host: Host): OwnershipTable {
  const known = table.hosts[address];
  const entered = { ...table, hosts: { ...table.hosts, [address]: host } };
  const own = rangesOf(table, address);
  if (isSameLife(host.server, known?.server) || own.length === 0) {
    return entered;
  }
  return assign(
    entered,
    own.map(({ first, last }) => ({ first, last, to: address, handover: null })),
  );
}

/** Takes a daemon out; its keys are free. Only right once its tenure has ended or it owns nothing. */
export function removeHost(table: OwnershipTable, address: Address): OwnershipTable {
  const { [address]: _removed, ...hosts } = table.hosts;
  const own = rangesOf(table, address);
  const rest = { ...table, hosts };
  if (own.length === 0) {
    return rest;
  }
  return assign(rest, own.map(({ first, last }) => ({ first, last, to: null, handover: null })));
}
