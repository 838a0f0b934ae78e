/**
 * Distinguishes a difference in load from random variation. Requests arrive one by one, and a rate covers
 * little more than a second, so servers with equal shares show different rates. Without this check, keys of
 * small services, with some ten requests a second for each server, would move back and forth.
 */
import { DECAY_TIME_MS } from "./load_meter.ts";

/** Number of standard deviations that a surplus must exceed; random variation passes in one check of 44. */
const DEVIATION_FACTOR = 2;
const MS_PER_SECOND = 1_000;

/** Returns whether a surplus is more than random variation of the rate, both in requests a second. */
export function isSignificant(rate: number, surplus: number): boolean {
  // The variance of a rate whose requests decay with a time constant T is the rate divided by 2 T.
  const deviation = Math.sqrt(rate * MS_PER_SECOND / (2 * DECAY_TIME_MS));
  return surplus > DEVIATION_FACTOR * deviation;
}
