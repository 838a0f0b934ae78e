import { Buffer } from "node:buffer";
import { deflateRawSync } from "node:zlib";
import { expect } from "chai";
import {
  assign,
  emptyTable,
  enterHost,
  formatTable,
  type Host,
  KEYS,
  mergeRanges,
  parseTable,
  rangeOf,
  rangesOf,
  removeHost,
} from "./mod.ts";

const HOST: Host = {
  tenure: "t1",
  voters: [{ address: "a", incarnation: "i" }],
  server: { id: "s1", bornMs: 5 },
  slots: 12,
  supportMsMax: 1_300,
  isSuspected: false,
};

function tableWithTwoOwners() {
  const entered = enterHost(enterHost(emptyTable(), "a", HOST), "b", { ...HOST, tenure: "t2" });
  return assign(entered, [
    { first: 0, last: 999, to: "a", handover: null },
    { first: 1_000, last: KEYS - 1, to: "b", handover: null },
  ]);
}

/** Creates the unpacked document of a table, with some fields invalid. */
function toDocument(fields: { epoch?: string; ranges?: string; hosts?: string }): string {
  const { epoch = "1", ranges = "[[0,-1,0,null]]", hosts = "[]" } = fields;
  return `{"write":"","epoch":${epoch},"voters":[],"hosts":${hosts},"owners":[],"ranges":${ranges}}`;
}

describe("ownership table", () => {
  it("finds the range of a key at its borders", () => {
    const table = tableWithTwoOwners();
    expect([0, 999, 1_000, KEYS - 1].map((key) => rangeOf(table, key).owner))
      .to.deep.equal(["a", "a", "b", "b"]);
  });

  it("splits a range when keys inside it move, and assigns the moved keys a new epoch", () => {
    const table = assign(tableWithTwoOwners(), [{ first: 10, last: 19, to: "b", handover: "h" }]);
    expect(
      table.ranges.map((
        { first, last, owner, epoch, handover },
      ) => [first, last, owner, epoch, handover]),
    ).to.deep.equal([
      [0, 9, "a", 1, null],
      [10, 19, "b", 2, "h"],
      [20, 999, "a", 1, null],
      [1_000, KEYS - 1, "b", 1, null],
    ]);
  });

  it("merges neighbouring ranges only where owner, epoch and handover are equal", () => {
    const table = assign(tableWithTwoOwners(), [
      { first: 0, last: 9, to: "b", handover: null },
      { first: 10, last: 19, to: "b", handover: null },
    ]);
    expect(table.ranges[0]).to.deep.include({ first: 0, last: 19, owner: "b", epoch: 2 });
  });

  it("merges neighbouring ranges of one owner that may be merged, with their newest epoch", () => {
    const cut = assign(
      assign(tableWithTwoOwners(), [{ first: 10, last: 19, to: "a", handover: "h" }]),
      [{ first: 30, last: 39, to: "a", handover: "g" }],
    );
    const merged = mergeRanges(cut, ({ owner, first }) => owner === "a" && first < 30);
    expect(
      rangesOf(merged, "a").map((
        { first, last, epoch, handover },
      ) => [first, last, epoch, handover]),
    ).to.deep.equal([[0, 29, 2, null], [30, 39, 3, "g"], [40, 999, 1, null]]);
    expect(rangesOf(merged, "b")).to.deep.equal(rangesOf(cut, "b"));
    expect(mergeRanges(merged, ({ first }) => first >= 40)).to.equal(merged);
  });

  it("keeps keys and epochs of a server whose daemon enters a new tenure", () => {
    const table = enterHost(tableWithTwoOwners(), "a", { ...HOST, tenure: "t3" });
    expect(rangesOf(table, "a")).to.deep.equal(rangesOf(tableWithTwoOwners(), "a"));
  });

  it("assigns a new epoch to a new incarnation of a server", () => {
    const server = { id: "s1", bornMs: 6 };
    const table = enterHost(tableWithTwoOwners(), "a", { ...HOST, server });
    expect(rangesOf(table, "a").map(({ epoch }) => epoch)).to.deep.equal([2]);
  });

  it("leaves the keys of a removed daemon without an owner", () => {
    const table = removeHost(tableWithTwoOwners(), "a");
    expect(table.hosts).to.have.keys("b");
    expect(rangesOf(table, null)).to.have.length(1);
    expect(rangeOf(table, 5).epoch).to.equal(2);
  });

  it("parses a table that it serialised", () => {
    const table = tableWithTwoOwners();
    expect(parseTable(formatTable(table)).unwrapOr(emptyTable())).to.deep.equal(table);
  });

  for (
    const [name, text, field] of [
      ["bytes that are not JSON", "\u0000\u0001", "JSON"],
      ["a missing field", '{"write":"","epoch":1,"voters":[],"hosts":[],"owners":[]}', "ranges"],
      ["a field of another type", toDocument({ epoch: '"1"' }), "epoch"],
      [
        "an epoch that leaves no room for later ones",
        toDocument({ epoch: `${2 ** 53 - 1}` }),
        "epoch",
      ],
      ["keys without a range", toDocument({ ranges: "[]" }), "cover each key"],
      ["ranges out of order", toDocument({ ranges: "[[0,-1,0,null],[0,-1,0,null]]" }), "in order"],
      ["an owner that is not listed", toDocument({ ranges: "[[0,0,1,null]]" }), "owner"],
      ["a voter that is not listed", toDocument({ hosts: '[["a","t","s",1,4,0,[0]]]' }), "voter"],
    ]
  ) {
    it(`rejects ${name} and names the fault`, () => {
      const parsed = parseTable(deflateRawSync(Buffer.from(text)));
      expect(parsed.isErr && parsed.error.message).to.contain(field);
    });
  }

  it("rejects bytes that cannot be unpacked or that exceed the largest table size", () => {
    for (const value of [Buffer.from([255, 1]), deflateRawSync(Buffer.alloc(20 * 1024 * 1024))]) {
      const parsed = parseTable(value);
      expect(parsed.isErr && parsed.error.message).to.contain("unpacked");
    }
  });

  it("serialises a table of 200 owners with 15 voters each in less than 24 KB", () => {
    const names = Array.from({ length: 200 }, (_, index) => `10.1.${index}.7:7660`);
    const voters = (ownerIndex: number) =>
      Array.from({ length: 15 }, (_, index) => names[(ownerIndex + index * 7) % names.length])
        .map((address) => ({ address, incarnation: `${address.length}a1b2c3d` }));
    const table = names.reduce(
      (entered, name, ownerIndex) =>
        enterHost(entered, name, { ...HOST, tenure: `t${ownerIndex}`, voters: voters(ownerIndex) }),
      emptyTable(),
    );
    const owned = assign(
      table,
      names.flatMap((to, ownerIndex) =>
        [0, 1].map((half) => {
          const first = (ownerIndex * 2 + half) * 160;
          return { first, last: first + 159, to, handover: null };
        })
      ),
    );
    expect(formatTable(owned).length).to.be.below(24 * 1024);
  });
});
