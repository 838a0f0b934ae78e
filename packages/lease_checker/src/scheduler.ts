/**
 * Virtual time for the checker: tasks sleep on clocks of their own, and nothing happens between two events.
 */

interface Event {
  at: number;
  order: number;
  run: () => void;
}

/** Runs events in the order of their times. */
export class Scheduler {
  readonly #events: Event[] = [];
  #now = 0;
  #order = 0;

  /** True time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Runs something at a true time, or now where that has passed. */
  at(time: number, run: () => void): void {
    const event = { at: Math.max(time, this.#now), order: this.#order++, run };
    this.#events.push(event);
    this.#raise(this.#events.length - 1);
  }

  /** Runs all events up to a time; `afterEach` is called when all that an event set off is done. */
  async runUntil(end: number, afterEach: () => void): Promise<void> {
    while (this.#events.length > 0 && this.#events[0].at <= end) {
      const event = this.#pop();
      this.#now = event.at;
      event.run();
      await settle();
      afterEach();
    }
    this.#now = end;
  }

  #pop(): Event {
    const first = this.#events[0];
    const last = this.#events.pop()!;
    if (last !== first) {
      this.#events[0] = last;
      this.#lower(0);
    }
    return first;
  }

  #isBefore(left: number, right: number): boolean {
    const [a, b] = [this.#events[left], this.#events[right]];
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  #raise(index: number): void {
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #lower(index: number): void {
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

/** Lets all promises that are ready run their continuations. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
