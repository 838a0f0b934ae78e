/**
 * Formats the report of a soak.
 */
import { Rule } from "./history.ts";
import type { SoakReport } from "./soak.ts";

/** Findings of each rule that are shown in full. */
const SHOWN_FINDINGS = 6;
/** Events that are shown before a finding. */
const SHOWN_EVENTS = 8;
const BYTES_PER_MB = 1_000_000;

function formatCounts(counts: Map<string, number>): string {
  return [...counts].map(([name, count]) => `${name}: ${count}`).join(", ");
}

function countBy(names: string[]): Map<string, number> {
  const counts = new Map<string, number>();
  names.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  return counts;
}

/** Formats a report as text; `withSchedule` adds all steps of the schedule. */
export function formatReport(report: SoakReport, options: { withSchedule: boolean }): string {
  const { seed, schedule, findings, history, endings, daemons, folder } = report;
  const seconds = (at: number) => ((at - history.startedAt) / 1_000).toFixed(3);
  const ends = countBy(
    daemons.flatMap((daemon) =>
      [...daemon.ends].flatMap(([end, count]) => Array<string>(count).fill(end))
    ),
  );
  const total = [...endings.values()].reduce((sum, count) => sum + count, 0);
  const memory = Math.max(...daemons.map(({ peak }) => peak.memoryBytes)) / BYTES_PER_MB;
  const descriptors = Math.max(...daemons.map(({ peak }) => peak.descriptors));
  const lines = [
    `seed ${seed}: ${daemons.length} daemons, ${schedule.length} faults, ${findings.length} findings`,
    `faults: ${formatCounts(countBy(schedule.map(({ fault }) => fault.name)))}`,
    `requests: ${total}; ${formatCounts(endings)}`,
    `ends of processes: ${formatCounts(ends) || "none"}`,
    `peaks of a daemon: ${memory.toFixed(0)} MB, ${descriptors} descriptors`,
  ];
  const stalledMs = history.stalls.map(({ from, until }) => Math.round(until - from));
  if (stalledMs.length > 0) {
    const longest = Math.max(...stalledMs);
    lines.push(`the soak's own process stalled ${stalledMs.length} times, up to ${longest} ms`);
  }
  if (options.withSchedule) {
    lines.push(
      ...schedule.map(({ atMs, fault, seed }) =>
        `  ${(atMs / 1_000).toFixed(3)} s ${fault.name} (seed ${seed})`
      ),
    );
  }
  if (findings.length > 0) {
    lines.push(`findings: ${formatCounts(countBy(findings.map(({ rule }) => rule)))}; ${folder}`);
  }
  const shown = Object.values(Rule).flatMap((rule) =>
    findings.filter((finding) => finding.rule === rule).slice(0, SHOWN_FINDINGS)
  );
  for (const { rule, at, machines, detail } of shown) {
    lines.push(`${rule} at ${seconds(at)} s, ${machines.join(" ")}: ${detail}`);
    const events = history.eventsBefore(at, machines, SHOWN_EVENTS);
    lines.push(
      ...events.map((event) =>
        `    ${seconds(event.at)} s ${event.machine ?? "all"} ${event.what}`
      ),
    );
  }
  return lines.join("\n");
}
