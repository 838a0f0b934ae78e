/**
 * Lets a daemon learn of what has already arrived before it starts work that others might have cancelled.
 */

let polled: Promise<void> | undefined;

/**
 * Resolves once the event loop has polled all connections again, so that the end of a caller's connection or a
 * cancellation that arrived up to then was handled. Concurrent calls share one round of the event loop.
 */
export function nextPoll(): Promise<void> {
  // The first callback runs in this round of the event loop, the second after the poll of the next one.
  polled ??= new Promise((resolve) => {
    setImmediate(() => {
      polled = undefined;
      setImmediate(resolve);
    });
  });
  return polled;
}
