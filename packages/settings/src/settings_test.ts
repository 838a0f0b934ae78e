import { readFileSync } from "node:fs";
import { expect } from "chai";
import {
  formatFault,
  parseConfiguration,
  parseDaemonSettings,
  replacementProblems,
} from "./mod.ts";

const daemonText = readFileSync("examples/daemon.jsonc", "utf8");
const configurationText = readFileSync("examples/tamborin.jsonc", "utf8");

function faultsOf(text: string): string[] {
  const parsed = parseDaemonSettings(text, "daemon.jsonc");
  return parsed.isErr ? parsed.error.faults.map((fault) => formatFault("d", fault)) : [];
}

function configurationFaults(change: (text: string) => string): string[] {
  const parsed = parseConfiguration(change(configurationText), "c");
  return parsed.isErr ? parsed.error.faults.map((fault) => formatFault("c", fault)) : [];
}

describe("settings of a daemon", () => {
  it("may have comments and get default values", () => {
    const parsed = parseDaemonSettings(daemonText, "daemon.jsonc");
    expect(parsed.isOk && parsed.value.lease.durationMs).to.equal(1_000);
  });

  it("report every fault with its position, the value found and the value expected", () => {
    const text = `{
  // an upper-case name, a host name, a wrong type, an unknown field, two missing fields
  "instance": "Despacho",
  "dataCentre": "carapungo",
  "listen": {
    "callers": "localhost:80",
    "peers": 7000,
    "backend": "127.0.0.1:6000",
    "admin": "127.0.0.1:9000"
  },
  "loglevel": "info"
}`;
    expect(faultsOf(text)).to.deep.equal([
      'd:3:15: instance: found "Despacho", expected a name of small letters, digits and hyphens, at most 63 long',
      "d:1:1: region: found nothing, expected a value of type string",
      'd:6:16: listen.callers: found "localhost:80", expected an IP number and a port, such as "10.0.0.1:7000"',
      "d:7:14: listen.peers: found 7000, expected a value of type string",
      "d:1:1: log: found nothing, expected a value of type object",
      'd:11:15: loglevel: found "info", expected no field of this name; remove it or correct its spelling',
    ]);
  });

  it("report the position of a syntax error", () => {
    expect(faultsOf('{\n  "instance": ,\n}')).to.deep.equal([
      'd:2:15: the file: found ",", expected valid JSON with comments (ValueExpected)',
    ]);
  });
});

describe("the operators' configuration", () => {
  it("has valid examples", () => {
    for (const path of ["examples/tamborin.jsonc", "examples/quetzal.jsonc"]) {
      expect(parseConfiguration(readFileSync(path, "utf8"), path).isOk, path).to.equal(true);
    }
  });

  it("checks references between its parts", () => {
    const faults = configurationFaults((text) =>
      text.replace('"class": "booking"', '"class": "boking"')
        .replace('"pool": "inspeccion", "class"', '"pool": "inspection", "class"')
        .replace('"key": { "pathPart": "plant" }', '"key": { "pathPart": "plan" }')
    );
    expect(faults).to.deep.equal([
      'c:37:28: routes.0.key.pathPart: found "plan", expected the name of a part of /plants/:plant/quotes, written there as :NAME',
      'c:43:16: routes.1.class: found "boking", expected one of the classes: quoting, booking, photo',
      'c:46:57: routes.2.pool: found "inspection", expected one of the pools: despacho, inspeccion',
    ]);
  });

  it("rejects targets that cannot be met", () => {
    const faults = configurationFaults((text) =>
      text.replace('"withinMs": 150', '"withinMs": 9000').replace("0.95", "1.5")
    );
    expect(faults.map((fault) => fault.replace(/^c:\d+:\d+: /, ""))).to.deep.equal([
      "classes.photo.target.share: found 1.5, expected at most 1",
      "classes.quoting.target.withinMs: found 9000, expected at most the deadline of the class, 4000",
    ]);
  });

  it("cannot change the number of shards of a keyed pool", () => {
    const parsed = parseConfiguration(configurationText, "c");
    const earlier = parsed.isOk ? parsed.value : undefined!;
    const later = structuredClone(earlier);
    later.pools.despacho.shards = 128;
    expect(replacementProblems(earlier, later)).to.have.length(1);
    expect(replacementProblems(earlier, earlier)).to.deep.equal([]);
  });
});
