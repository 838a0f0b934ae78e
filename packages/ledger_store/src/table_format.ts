/**
 * Format of the ownership table in the store. Every daemon reads each version whole, so the format is short:
 * repeated names are written once and referred to by index, ranges by their first key, and all is compressed.
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Result } from "true-myth";
import { z } from "zod";
import { type Host, KEYS, type OwnershipTable, type Range } from "./ownership_table.ts";

/** Largest size of an unpacked table, in bytes; limits the memory that corrupt bytes can take. */
const TABLE_BYTES_MAX = 16 * 1024 * 1024;
/** Index that stands for no owner. */
const NO_OWNER = -1;
/** Longest time of votes that is assumed where the table does not contain it, in milliseconds. */
const SUPPORT_MS_MAX = 10_000;
const DEFLATE_LEVEL = 1;
/** Largest epoch that is accepted; far above any real one, and with room for later ones. */
const EPOCH_MAX = 2 ** 52;

const index = z.number().int().min(NO_OWNER);
const epochSchema = z.number().int().min(0).max(EPOCH_MAX);
const documentSchema = z.object({
  write: z.string(),
  epoch: epochSchema,
  /** Address and incarnation of each voter. */
  voters: z.array(z.tuple([z.string(), z.string()])),
  /** Address, tenure, server's id and start time, slots, 1 for a suspected tenure, voters by index. */
  hosts: z.array(z.tuple([
    z.string(),
    z.string(),
    z.string(),
    z.number(),
    z.number(),
    z.number(),
    z.array(index),
  ])),
  /** Longest time of votes for each host, in milliseconds; left out by daemons that always request the same. */
  supports: z.array(z.number().positive()).optional(),
  owners: z.array(z.string()),
  /** First key, owner by index, epoch, handover token; a range ends where the next begins. */
  ranges: z.array(z.tuple([
    z.number().int().min(0).max(KEYS - 1),
    index,
    epochSchema,
    z.string().nullable(),
  ])),
});

type TableDocument = z.infer<typeof documentSchema>;

/** Assigns indexes to names in order of their first use. */
class NameIndex<T> {
  readonly all: T[] = [];
  readonly #indexes = new Map<string, number>();

  indexOf(name: string, value: T): number {
    const existing = this.#indexes.get(name);
    if (existing !== undefined) {
      return existing;
    }
    this.#indexes.set(name, this.all.length);
    return this.all.push(value) - 1;
  }
}

/** Serialises a table for the store. */
export function formatTable(table: OwnershipTable): Buffer {
  const voters = new NameIndex<[string, string]>();
  const owners = new NameIndex<string>();
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
        voters.indexOf(`${address} ${incarnation}`, [address, incarnation])
      ),
    ]),
    supports: Object.values(table.hosts).map(({ supportMsMax }) => supportMsMax),
    ranges: table.ranges.map(({ first, owner, epoch, handover }) => [
      first,
      owner === null ? NO_OWNER : owners.indexOf(owner, owner),
      epoch,
      handover,
    ]),
    voters: voters.all,
    owners: owners.all,
  };
  return deflateRawSync(Buffer.from(JSON.stringify(document)), { level: DEFLATE_LEVEL });
}

/** Parses a table from the store; the error for a corrupt one names the field. */
export function parseTable(value: Buffer): Result<OwnershipTable, Error> {
  let document: unknown;
  try {
    const text = inflateRawSync(value, { maxOutputLength: TABLE_BYTES_MAX });
    document = JSON.parse(text.toString("utf8"));
  } catch (error) {
    return corrupt(`cannot be unpacked: ${(error as Error).message}`);
  }
  const parsed = documentSchema.safeParse(document);
  if (!parsed.success) {
    const { path, message } = parsed.error.issues[0];
    return corrupt(`${path.join(".")}: ${message}`);
  }
  const { write, epoch, voters, hosts, supports = [], owners, ranges } = parsed.data;
  if (
    hosts.some(([, , , , , , voterIndexes]) =>
      !voterIndexes.every((position) => position in voters)
    )
  ) {
    return corrupt("hosts: each voter must be listed");
  }
  const entered = hosts.map((entry, position) => {
    const [address, tenure, id, bornMs, slots, suspected, voterIndexes] = entry;
    const host: Host = {
      tenure,
      voters: voterIndexes.map((voter) => ({
        address: voters[voter][0],
        incarnation: voters[voter][1],
      })),
      server: { id, bornMs },
      slots,
      supportMsMax: supports[position] ?? SUPPORT_MS_MAX,
      isSuspected: suspected === 1,
    };
    return [address, host] as const;
  });
  if (ranges.some(([, owner]) => owner >= owners.length)) {
    return corrupt("ranges: each owner must be listed");
  }
  const spans = ranges.map(([first, owner, epoch, handover], position): Range => ({
    first,
    last: (ranges[position + 1]?.[0] ?? KEYS) - 1,
    owner: owner === NO_OWNER ? null : owners[owner],
    epoch,
    handover,
  }));
  return isPartition(spans)
    ? Result.ok({ write, epoch, hosts: Object.fromEntries(entered), ranges: spans })
    : corrupt("ranges: must cover each key once, in order");
}

function corrupt(reason: string): Result<never, Error> {
  return Result.err(new Error(`The ownership table: ${reason}`));
}

function isPartition(ranges: Range[]): boolean {
  return ranges[0]?.first === 0 && ranges.every(({ first, last }) => first <= last);
}
