/**
 * Computes the cost of the planned size from the figures in `docs/measurements` and writes `docs/CAPACITY.md`. To
 * measure again: `npm run bench -- NAME --json docs/measurements/NAME.json`.
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import type { Report } from "@bulrushwood/bench";

const MEASUREMENTS_DIRECTORY = "docs/measurements";

/** Size and goals that the users ask to design for. */
const PLAN = {
  daemons: 890,
  shards: 65_536,
  requestsPerSecond: 4_200_000,
  configurationChangesPerDay: 1_800,
  restartsPerDay: 46,
  failuresPerDay: 3,
  controlCorePercent: 2.7,
  controlMb: 256,
  controlKbPerSecond: 30,
  lossMs: 2_000,
  plannedMoveMs: 50,
  addedP99Ms: 1.5,
  requestUs: 100,
};
/** Log records that one restart causes: leaving, joining, new groups, moves, activations, retirements. */
const RECORDS_PER_RESTART = 60;
const SECONDS_PER_DAY = 86_400;
const SNAPSHOTS_PER_DAY = 144;
const BYTES_PER_KB = 1_000;
const MB_PER_CHUNK = 0.065536;

enum Verdict {
  Met = "met",
  NotMet = "not met",
  NotMeasured = "not yet measured",
}

/** Row of a table: a goal and the measured figure. */
interface Line {
  what: string;
  goal: string;
  figure: string;
  verdict: Verdict;
  mechanism: string;
}

function readReport(name: string): Report | undefined {
  const path = `${MEASUREMENTS_DIRECTORY}/${name}.json`;
  return existsSync(path) ? JSON.parse(readFileSync(path, "utf8")) as Report : undefined;
}

function findFigure(report: Report | undefined, row: string, column: string): number | undefined {
  return report?.rows.find((one) => one.name === row)?.figures[column];
}

function evaluate(measured: number | undefined, atMost: number): Verdict {
  if (measured === undefined) {
    return Verdict.NotMeasured;
  }
  return measured <= atMost ? Verdict.Met : Verdict.NotMet;
}

function formatValue(value: number | undefined, unit: string): string {
  if (value === undefined) {
    return "-";
  }
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 10 ? 1 : 2;
  return `${value.toFixed(digits)} ${unit}`;
}

/** Computes the bytes of log records that each daemon reads in a second, as the mean of a day. */
function logBytesPerSecond(recordBytes: number, snapshotMb: number): number {
  const restarts = PLAN.restartsPerDay + PLAN.failuresPerDay;
  const records = PLAN.configurationChangesPerDay * 4 + restarts * RECORDS_PER_RESTART;
  const snapshots = SNAPSHOTS_PER_DAY * snapshotMb * 1_000_000;
  return (records * recordBytes + snapshots) / SECONDS_PER_DAY;
}

function controlLines(): Line[] {
  const control = readReport("control");
  const size = readReport("planned-size");
  const largest = control?.rows.at(-1)?.figures;
  const recordBytes = findFigure(size, "record, bytes", "times") ?? 0;
  const snapshotMb = findFigure(size, "snapshot, MB", "times") ?? 0;
  const logKb = logBytesPerSecond(recordBytes, snapshotMb) / BYTES_PER_KB;
  const linkKb = largest?.["KB/s"];
  const totalKb = linkKb === undefined ? undefined : linkKb + logKb;
  const ledgerMb = findFigure(size, "ledger, MB", "times") ?? 0;
  const totalMb = largest === undefined ? undefined : largest.MB + ledgerMb;
  return [
    {
      what: "bytes for control, each daemon",
      goal: `${PLAN.controlKbPerSecond} KB/s`,
      figure: `${formatValue(linkKb, "KB/s")} on links + ${
        formatValue(logKb, "KB/s")
      } of the log = ${formatValue(totalKb, "KB/s")}`,
      verdict: evaluate(totalKb, PLAN.controlKbPerSecond),
      mechanism:
        "renewals grow with the peers in a daemon's groups, not with the number of daemons or keys",
    },
    {
      what: "processor time for control, each daemon",
      goal: `${PLAN.controlCorePercent}% of a core`,
      figure: `${formatValue(largest?.["% of a core"], "%")}, worst ${
        formatValue(largest?.["worst % of a core"], "%")
      }`,
      verdict: evaluate(largest?.["worst % of a core"], PLAN.controlCorePercent),
      mechanism: "one renewal for each peer four times a lease; plans only when the log changes",
    },
    {
      what: "memory, each daemon",
      goal: `${PLAN.controlMb} MB`,
      figure: `${formatValue(largest?.MB, "MB")} resident + ${
        formatValue(ledgerMb, "MB")
      } of ledger = ${formatValue(totalMb, "MB")}`,
      verdict: evaluate(totalMb, PLAN.controlMb),
      mechanism: "17 bytes for each shard in flat arrays; bounded tables of requests",
    },
    {
      what: "one plan with nothing to do",
      goal: "100 ms",
      figure: formatValue(findFigure(size, "plan with nothing to do", "worst ms"), "ms"),
      verdict: evaluate(findFigure(size, "plan with nothing to do", "worst ms"), 100),
      mechanism: "counts of shards by holder are updated while planning",
    },
    {
      what: "longest plan with something to do",
      goal: "100 ms",
      figure: formatValue(findFigure(size, "plan with something to do", "worst ms"), "ms"),
      verdict: evaluate(findFigure(size, "plan with something to do", "worst ms"), 100),
      mechanism: "at most 96 groups in a plan; the first placement of all shards is one plan",
    },
    {
      what: "one snapshot",
      goal: "100 ms",
      figure: `${formatValue(findFigure(size, "snapshot", "worst ms"), "ms")}, ${
        formatValue(snapshotMb, "MB")
      } in ${Math.ceil(snapshotMb / MB_PER_CHUNK)} appends`,
      verdict: evaluate(findFigure(size, "snapshot", "worst ms"), 100),
      mechanism: "shard arrays as base64; chunks of 64 KB",
    },
  ];
}

function requestLines(): Line[] {
  const forwarding = readReport("forwarding");
  const direct = findFigure(forwarding, "direct to the stand-in", "p99 ms");
  const forwarded = findFigure(forwarding, "forwarded", "p99 ms");
  const added = direct === undefined || forwarded === undefined ? undefined : forwarded - direct;
  const ingress = findFigure(forwarding, "forwarded", "despacho-1 us/request");
  const holder = findFigure(forwarding, "forwarded", "despacho-2 us/request");
  const perDaemon = PLAN.requestsPerSecond / PLAN.daemons;
  const cores = ingress === undefined || holder === undefined
    ? undefined
    : (ingress + holder) * perDaemon / 1_000_000;
  return [
    {
      what: "time added at p99 for a forwarded request",
      goal: `${PLAN.addedP99Ms} ms`,
      figure: formatValue(added, "ms"),
      verdict: evaluate(added, PLAN.addedP99Ms),
      mechanism: "one link hop; responses up to 32 KB in one frame",
    },
    {
      what: "processor time at the ingress",
      goal: `${PLAN.requestUs} us`,
      figure: formatValue(ingress, "us"),
      verdict: evaluate(ingress, PLAN.requestUs),
      mechanism: "frames of one turn of the event loop in one message",
    },
    {
      what: "processor time at the holder",
      goal: `${PLAN.requestUs} us`,
      figure: formatValue(holder, "us"),
      verdict: evaluate(holder, PLAN.requestUs),
      mechanism: "persistent connections to the server, opened in advance",
    },
    {
      what: `cores for ${
        Math.round(perDaemon)
      } requests/s at the ingress and as many at the holder, each daemon`,
      goal: "1 (one process)",
      figure: formatValue(cores, "cores"),
      verdict: evaluate(cores, 1),
      mechanism: "none yet: a Node.js process uses one core for this work",
    },
  ];
}

function lossLines(): Line[] {
  const report = readReport("unavailability");
  const rows = report?.rows ?? [];
  return rows.map((row, index) => {
    const isLoss = index < 3;
    const column = isLoss ? "worst ms" : "p99 ms";
    const goal = isLoss ? PLAN.lossMs : PLAN.plannedMoveMs;
    return {
      what: `time without an owner: ${row.name}`,
      goal: `${goal} ms ${isLoss ? "worst" : "at p99"}`,
      figure: `median ${formatValue(row.figures["median ms"], "ms")}, p99 ${
        formatValue(row.figures["p99 ms"], "ms")
      }, worst ${formatValue(row.figures["worst ms"], "ms")} of ${row.figures["keys moved"]} keys`,
      verdict: evaluate(row.figures[column], goal),
      mechanism: isLoss
        ? "succession when the successor's own support has expired; no append"
        : "shards move one by one; requests wait at the new holder",
    };
  });
}

function unmeasuredLines(): Line[] {
  const unmeasured = (what: string, goal: string, mechanism: string): Line => (
    { what, goal, figure: "-", verdict: Verdict.NotMeasured, mechanism }
  );
  return [
    unmeasured(
      "a configuration in force everywhere",
      "5 s at 890 daemons",
      "long polls of the log; relay by peers",
    ),
    unmeasured("890 daemons reading the log at once", "the platform's limit", "one long poll each"),
    unmeasured(
      "start of a daemon from a snapshot at that size",
      "seconds",
      "latest whole snapshot and tail",
    ),
    unmeasured(
      "the hottest 14 keys change within minutes",
      "targets kept",
      "not built: load by shard, separate shards for hot keys",
    ),
    unmeasured("a data centre is lost", "2 s", "three data centres in each group"),
    unmeasured(
      "regions cannot reach each other for an hour",
      "keys served",
      "holder and successor in one region",
    ),
  ];
}

function renderTable(lines: Line[]): string {
  const rows = lines.map(({ what, goal, figure, verdict, mechanism }) =>
    `| ${what} | ${goal} | ${figure} | ${verdict} | ${mechanism} |`
  );
  const head = [
    "| what | goal | figure | verdict | mechanism |",
    "| --- | --- | --- | --- | --- |",
  ];
  return [...head, ...rows].join("\n");
}

function renderReport(name: string): string {
  const report = readReport(name);
  if (report === undefined) {
    return "Not measured yet.";
  }
  const columns = Object.keys(report.rows[0].figures);
  const rows = report.rows.map((row) =>
    `| ${row.name} | ${
      columns.map((column) => formatValue(row.figures[column], "").trim()).join(" | ")
    } |`
  );
  const head = `| | ${columns.join(" | ")} |\n| --- |${" --- |".repeat(columns.length)}`;
  return `${report.explanation}\n\n${head}\n${rows.join("\n")}`;
}

function renderPage(): string {
  return `# Capacity at the planned size

Written by \`npm run capacity\` from the figures in \`docs/measurements\`; do not edit it by hand. The planned size:
${PLAN.daemons} daemons, ${PLAN.shards} shards, ${
    PLAN.requestsPerSecond / 1_000_000
  } million requests a second, ${PLAN.configurationChangesPerDay} changes of configuration, ${PLAN.restartsPerDay}
restarts and ${PLAN.failuresPerDay} failures a day. All figures come from one machine of 8 cores with small stand-ins.

They are figures of the daemon on the product's own protocols. The daemon on the users' platform
([design](design/platform.md)) has not been measured at this size. From its design:

- Beyond 30 daemons, each sends heartbeats to at most 13 heartbeat peers, 8 of them 3.3 times a second, or 1.7
  times where its server's work is long, and 5 1.7 times at most, so 35 or 22 a second and as many replies, in 3.3
  wake-ups a second, whatever the number of daemons.
- A hub of a service gets 1.7 heartbeats a second from each daemon of the service, 1,480 at 890 daemons, and one
  of a service without keys also from those of other services in its data centre. A small instance cannot handle
  that, so large ones are preferred; at that size the heartbeats would have to be aggregated first.
- The ownership table is some 0.1 KB for each daemon, and each change writes the whole table.
- Each daemon reads the changes once in 2 s at most, the planner twice a second; new owners get the table from its
  writer. At this size a few daemons will have to read and send the changes to the others ([limits at
  size](measurements/large.md)). No sweep has been played since this changed.

## Control

${renderTable(controlLines())}

The figures on links are those of the largest number of daemons measured; they stop growing once a daemon has the
peers of its four groups as holder, four as successor and some as witness, and the three daemons that watch it and the three that it watches. The log's share
counts four records for each change of configuration, ${RECORDS_PER_RESTART} for each restart or failure, and ${SNAPSHOTS_PER_DAY} snapshots a day.

## Requests

${renderTable(requestLines())}

## Losses and moves

${renderTable(lossLines())}

## Open

${renderTable(unmeasuredLines())}

## Roles

| role | state | messages | classes |
| --- | --- | --- | --- |
| every daemon | ledger; links; recent records for peers | renewals to the peers of its groups, 4 a lease; 3 heartbeats a second at most; 1 long poll | Leases, Detector, Follower |
| holder | leases of its groups; requests in flight; request ids and idempotency keys | 1 response for each request; extensions of grants while work runs | Holder, GrantExtender |
| ingress | retry budget; hints of which daemon responded | 1 request for each forwarded request | Ingress |
| voter | step, expiry and floor for each group it belongs to | replies to renewals and seals | Voter |
| planner (one) | counts of shards while planning | appends of groups and moves, at most 48 at once; snapshots | Planner, SnapshotWriter |

## Measured

### Control

${renderReport("control")}

### Frames and open requests

${renderReport("slopes")}

### Ledger and planner

${renderReport("planned-size")}

### Requests

${renderReport("forwarding")}

### Losses and moves

${renderReport("unavailability")}
`;
}

writeFileSync("docs/CAPACITY.md", renderPage());
