/**
 * Waits for a change that is worth another attempt, for callers that may leave meanwhile.
 */
import { firstValueFrom, fromEvent, type Observable, race, timer } from "rxjs";

/** Limits of a wait. */
export interface WaitOptions {
  /** Longest wait, in milliseconds. */
  ms: number;
  /** Ends the wait when it aborts. */
  signal?: AbortSignal;
}

/** Resolves at the next value or the end of `changes`, when the signal aborts, or at the latest after `ms`. */
export async function waitForChange(
  changes: Observable<unknown>,
  { ms, signal }: WaitOptions,
): Promise<void> {
  if (signal?.aborted) {
    return;
  }
  const ends: Observable<unknown>[] = [changes, timer(Math.max(0, ms))];
  if (signal !== undefined) {
    ends.push(fromEvent(signal, "abort"));
  }
  await firstValueFrom(race(ends), { defaultValue: undefined });
}
