/**
 * Formats a request timeline as text: one line for each step, times in milliseconds since the request's arrival.
 */
import type { RequestTimeline } from "./request_timeline.ts";

/** Smallest difference between clocks that is printed, in milliseconds. */
const CLOCK_DIFFERENCE_MIN_MS = 5;
const TIME_WIDTH = 9;

/** Formats a request timeline as text for operators. */
export function formatTimeline(timeline: RequestTimeline): string {
  const { id, ingress, arrivedAt, steps, inputs, clocks } = timeline;
  const instanceWidth = Math.max(...steps.map(({ instance }) => instance.length));
  const lines = steps.map(({ atMs, instance, event, fields, isOwn }) =>
    [
      isOwn ? "*" : " ",
      `${Math.round(atMs)} ms`.padStart(TIME_WIDTH),
      instance.padEnd(instanceWidth),
      event,
      describeFields(fields),
    ].join(" ").trimEnd()
  );
  const differing = clocks.filter(({ addMs }) => Math.abs(addMs) >= CLOCK_DIFFERENCE_MIN_MS);
  return [
    `request ${id} reached ${ingress} at ${new Date(arrivedAt).toISOString()}`,
    ...describeInputs(inputs),
    ...differing.map(({ instance, addMs, withinMs }) => {
      const within = withinMs === undefined ? "" : `, within ${Math.round(withinMs)} ms`;
      return `the clock of ${instance} differs: ${Math.round(addMs)} ms are added${within}`;
    }),
    "",
    ...lines,
  ].join("\n");
}

function describeInputs(
  { manifestVersion, manifestAgeMs, ownersAgeMs }: RequestTimeline["inputs"],
): string[] {
  const described: string[] = [];
  if (manifestAgeMs !== undefined) {
    described.push(
      `manifest ${manifestVersion}, in force there for ${Math.round(manifestAgeMs)} ms`,
    );
  }
  if (ownersAgeMs !== undefined) {
    described.push(`keys last changed their owner ${Math.round(ownersAgeMs)} ms before`);
  }
  return described;
}

function describeFields(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .filter(([name, value]) => name !== "id" && value !== undefined)
    .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`)
    .join(", ");
}
