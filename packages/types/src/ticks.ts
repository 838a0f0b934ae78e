/**
 * Pauses of periodic tasks. All tasks of a process wake up together, at multiples of one tick: on a small machine, waking
 * up costs a process more time than most of its periodic tasks.
 */
import { now } from "./time.ts";

/** Time between two ticks, in milliseconds. */
export const TICK_MS = 100;
/** Time before a tick from which on a timer counts as having reached it, in milliseconds; timers are not exact. */
const EARLY_MS = 5;

interface Pause {
  tick: number;
  end: () => void;
}

const pauses = new Set<Pause>();
let timer: NodeJS.Timeout | undefined;
let timerTick = Infinity;

function tickAt(at: number): number {
  return Math.floor((at + EARLY_MS) / TICK_MS);
}

function schedule(tick: number): void {
  if (tick >= timerTick) {
    return;
  }
  clearTimeout(timer);
  timerTick = tick;
  // Periodic tasks alone do not keep a process running.
  timer = setTimeout(endDue, Math.max(1, tick * TICK_MS - now())).unref();
}

function endDue(): void {
  timerTick = Infinity;
  const tick = tickAt(now());
  const due = [...pauses].filter((pause) => pause.tick <= tick);
  due.forEach((pause) => pause.end());
  if (pauses.size > 0) {
    schedule(Math.min(...[...pauses].map((pause) => pause.tick)));
  }
}

/** Waits for about `ms` milliseconds, until a tick, or until the signal aborts; never rejects. */
export function pause(ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) {
    return Promise.resolve();
  }
  const tick = Math.max(tickAt(now()) + 1, Math.round((now() + ms) / TICK_MS));
  return new Promise((resolve) => {
    const end = () => {
      pauses.delete(entry);
      signal?.removeEventListener("abort", end);
      if (pauses.size === 0) {
        clearTimeout(timer);
        timerTick = Infinity;
      }
      resolve();
    };
    const entry = { tick, end };
    pauses.add(entry);
    signal?.addEventListener("abort", end, { once: true });
    schedule(tick);
  });
}

/** Calls a function about every `ms` milliseconds, at ticks, until the signal aborts. */
export async function everyTicks(
  ms: number,
  act: () => void,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await pause(ms, signal);
    if (!signal.aborted) {
      act();
    }
  }
}
