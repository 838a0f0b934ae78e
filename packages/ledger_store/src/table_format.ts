/**
 * The ownership table as the store keeps it. Every daemon reads each version whole, so it is written short:
 * names that occur often once, ranges by their first key, and all of it compressed.
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Result } from "true-myth";
import { z } from "zod";
import { type Host, KEYS, type OwnershipTable, type Range } from "./ownership_table.ts";

/** A table is at most so large when it is unpacked, in bytes; bounds what damaged bytes may cost. */
const TABLE_BYTES_MAX = 16 * 1024 * 1024;
/** Index that stands for no owner. */
const NOBODY = -1;
const DEFLATE_LEVEL = 1;

const index = z.number().int().min(NOBODY);
const documentSchema = z.object({
  write: z.string(),
  epoch: z.number().int().nonnegative(),
  /** Address and incarnation of each voter. */
  voters: z.array(z.tuple([z.string(), z.string()])),
  /** Address, tenure, server's id and birth, slots, 1 for a suspected tenure, voters by index. */
  hosts: z.array(z.tuple([
    z.string(),
    z.string(),
    z.string(),
    z.number(),
    z.number(),
    z.number(),
    z.array(index),
  ])),
  owners: z.array(z.string()),
  /** First key, owner by index, epoch, what was handed over; a range ends where the next begins. */
  ranges: z.array(z.tuple([
    z.number().int().min(0).max(KEYS - 1),
    index,
    z.number().int().nonnegative(),
    z.string().nullable(),
  ])),
});

type TableDocument = z.infer<typeof documentSchema>;

/** Names by the order in which they first came. */
class Names<T> {
  readonly all: T[] = [];
  readonly #places = new Map<string, number>();

  placeOf(name: string, value: T): number {
    const known = this.#places.get(name);
    if (known !== undefined) {
      return known;
    }
    this.#places.set(name, this.all.length);
    return this.all.push(value) - 1;
  }
}

/** Writes a table as the store keeps it. */
export function formatTable(table: OwnershipTable): Buffer {
  const voters = new Names<[string, string]>();
  const owners = new Names<string>();
  const document: TableDocument = {
    write: table.write,
    epoch: table.epoch,
    hosts: Object.entries(table.hosts).map(([address, host]) => [
      address,
      host.tenure,
      host.server.id,
      host.server.bornMs,
      host.slots,
      host.isSuspected ? 1 : 0,
      host.voters.map(({ address, incarnation }) =>
        voters.placeOf(`${address} ${incarnation}`, [address, incarnation])
      ),
    ]),
    ranges: table.ranges.map(({ first, owner, epoch, handover }) => [
      first,
      owner === null ? NOBODY : owners.placeOf(owner, owner),
      epoch,
      handover,
    ]),
    voters: voters.all,
    owners: owners.all,
  };
  return deflateRawSync(Buffer.from(JSON.stringify(document)), { level: DEFLATE_LEVEL });
}

/** Reads a table; a damaged one is an error that names the field. */
export function parseTable(value: Buffer): Result<OwnershipTable, Error> {
  let document: unknown;
  try {
    const text = inflateRawSync(value, { maxOutputLength: TABLE_BYTES_MAX });
    document = JSON.parse(text.toString("utf8"));
  } catch (error) {
    return damaged(`cannot be unpacked: ${(error as Error).message}`);
  }
  const parsed = documentSchema.safeParse(document);
  if (!parsed.success) {
    const { path, message } = parsed.error.issues[0];
    return damaged(`${path.join(".")}: ${message}`);
  }
  const { write, epoch, voters, hosts, owners, ranges } = parsed.data;
  if (hosts.some(([, , , , , , named]) => !named.every((place) => place in voters))) {
    return damaged("hosts: each voter must be listed");
  }
  const entered = hosts.map(([address, tenure, id, bornMs, slots, suspected, named]) => {
    const host: Host = {
      tenure,
      voters: named.map((place) => ({ address: voters[place][0], incarnation: voters[place][1] })),
      server: { id, bornMs },
      slots,
      isSuspected: suspected === 1,
    };
    return [address, host] as const;
  });
  if (ranges.some(([, owner]) => owner >= owners.length)) {
    return damaged("ranges: each owner must be listed");
  }
  const spans = ranges.map(([first, owner, epoch, handover], place): Range => ({
    first,
    last: (ranges[place + 1]?.[0] ?? KEYS) - 1,
    owner: owner === NOBODY ? null : owners[owner],
    epoch,
    handover,
  }));
  return isPartition(spans)
    ? Result.ok({ write, epoch, hosts: Object.fromEntries(entered), ranges: spans })
    : damaged("ranges: must cover each key once, in order");
}

function damaged(reason: string): Result<never, Error> {
  return Result.err(new Error(`The ownership table: ${reason}`));
}

function isPartition(ranges: Range[]): boolean {
  return ranges[0]?.first === 0 && ranges.every(({ first, last }) => first <= last);
}
