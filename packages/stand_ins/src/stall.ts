/**
 * Stalls of a process, as when its instance has no processor time.
 */

/** Blocks this thread's event loop, in milliseconds. */
export function blockEventLoop(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
