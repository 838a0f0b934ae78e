/**
 * The process's clock and sleep, for code that takes a `Clock` and a `Sleep`, and a stop signal for tasks.
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
    // An aborted sleep ends early; the caller checks its own signal.
  }
}

/** Creates an abort controller whose signal any number of tasks may listen to, without a listener warning. */
export function createStop(): AbortController {
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  return stop;
}
