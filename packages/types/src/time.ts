/**
 * The process's own clock and sleep, for the places that take them as functions.
 */
import { setMaxListeners } from "node:events";
import { setTimeout as delay } from "node:timers/promises";

/** Reads the monotonic clock, in milliseconds. */
export function now(): number {
  return performance.now();
}

/** Waits for `ms` milliseconds, or until the signal aborts; never rejects. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  try {
    await delay(ms, undefined, { signal });
  } catch {
    // An aborted wait ends early; the caller checks its own signal.
  }
}

/** Makes a controller that any number of tasks may wait on to learn that they have to stop. */
export function createStop(): AbortController {
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  return stop;
}
