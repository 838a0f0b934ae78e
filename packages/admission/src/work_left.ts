/**
 * The work that a backend server still has to do, as the time until it can begin one more request. Counting requests
 * takes a queue of three long ones for one of three short ones.
 */

/**
 * Least rest of a running request that is older than expected, as a share of its expected duration: long durations have a
 * long tail, so the older a request is, the longer it will probably take.
 */
const REST_MIN_SHARE = 0.3;

/** A running request, in milliseconds. */
export interface RunningWork {
  ageMs: number;
  expectedMs: number;
}

/** Returns the expected rest of a running request, in milliseconds. */
function restMs({ ageMs, expectedMs }: RunningWork): number {
  return Math.max(expectedMs * REST_MIN_SHARE, expectedMs - ageMs);
}

/**
 * Returns the time until a request can begin that is run after all others, in milliseconds: each slot takes the next
 * queued request once it is free. `queuedMs` are the expected durations in the order of the queue.
 */
export function startInMs(
  running: RunningWork[],
  queuedMs: number[],
  options: { slots: number },
): number {
  const slots = Math.max(1, Math.floor(options.slots));
  const free = running.map(restMs).sort((one, other) => one - other);
  // A server whose slots were cut down runs more requests than it has slots.
  const ends = free.slice(Math.max(0, free.length - slots));
  while (ends.length < slots) {
    ends.unshift(0);
  }
  for (const ms of queuedMs) {
    const end = ends.shift()! + ms;
    const index = ends.findIndex((other) => other > end);
    ends.splice(index < 0 ? ends.length : index, 0, end);
  }
  return ends[0];
}
