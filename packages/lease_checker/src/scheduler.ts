/**
 * Virtual time of the checker. Time advances from one event to the next, and only events make progress.
 */

interface TimedEvent {
  at: number;
  sequence: number;
  run: () => void;
}

/** Discrete-event scheduler: a binary heap of events by time, and by insertion order at the same time. */
export class Scheduler {
  readonly #events: TimedEvent[] = [];
  #now = 0;
  #nextSequence = 0;

  /** Current true time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Schedules a callback at a true time, or at the current time if that has passed. */
  at(time: number, run: () => void): void {
    const event = { at: Math.max(time, this.#now), sequence: this.#nextSequence++, run };
    this.#events.push(event);
    this.#siftUp(this.#events.length - 1);
  }

  /**
   * Runs all events up to a time. Calls `afterEach` after each event and the promise continuations that it caused.
   */
  async runUntil(end: number, afterEach: () => void): Promise<void> {
    while (this.#events.length > 0 && this.#events[0].at <= end) {
      const event = this.#pop();
      this.#now = event.at;
      event.run();
      await drainMicrotasks();
      afterEach();
    }
    this.#now = end;
  }

  #pop(): TimedEvent {
    const first = this.#events[0];
    const last = this.#events.pop()!;
    if (last !== first) {
      this.#events[0] = last;
      this.#siftDown(0);
    }
    return first;
  }

  #isBefore(left: number, right: number): boolean {
    const [a, b] = [this.#events[left], this.#events[right]];
    return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
  }

  #siftUp(index: number): void {
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(index: number): void {
    while (true) {
      let first = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        first = child < this.#events.length && this.#isBefore(child, first) ? child : first;
      }
      if (first === index) {
        return;
      }
      this.#swap(index, first);
      index = first;
    }
  }

  #swap(left: number, right: number): void {
    [this.#events[left], this.#events[right]] = [this.#events[right], this.#events[left]];
  }
}

/** Waits until the continuations of all settled promises have run. */
function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
