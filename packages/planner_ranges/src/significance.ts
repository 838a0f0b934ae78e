/**
 * Tells a difference in load from chance. Requests come one by one, and a rate is counted over little more
 * than a second, so servers with equal shares show rates that differ. Answers the load of small services,
 * some ten requests a second for each server, where keys would else move to and fro on such differences.
 */
import { MEMORY_MS } from "./load_meter.ts";

/** Standard deviations by which a surplus must exceed what chance gives; one look in 44 is wrong. */
const DEVIATIONS_MIN = 2;
const MS_PER_SECOND = 1_000;

/** Whether a server with this rate is asked for more than its share, both in requests a second. */
export function isBeyondChance(rate: number, surplus: number): boolean {
  // The variance of a rate whose requests fade with a time constant T is the rate divided by 2 T.
  const deviation = Math.sqrt(rate * MS_PER_SECOND / (2 * MEMORY_MS));
  return surplus > DEVIATIONS_MIN * deviation;
}
