/**
 * A priority queue ordered by time, as a binary heap. Withdrawn entries stay in the heap until they come to
 * the top.
 */

interface Entry<Item> {
  item: Item;
  order: number;
  withdrawn: boolean;
}

/** Queue of items, the one with the earliest time first. */
export class DeadlineQueue<Item> {
  readonly #heap: Entry<Item>[] = [];
  readonly #entries = new Map<Item, Entry<Item>>();

  /** Number of queued items. */
  get size(): number {
    return this.#entries.size;
  }

  /** Adds an item; `order` is its time. */
  add(item: Item, order: number): void {
    const entry = { item, order, withdrawn: false };
    this.#entries.set(item, entry);
    this.#heap.push(entry);
    this.#siftUp(this.#heap.length - 1);
  }

  /** Removes an item from the queue; returns false when it is not queued. */
  withdraw(item: Item): boolean {
    const entry = this.#entries.get(item);
    if (entry === undefined) {
      return false;
    }
    entry.withdrawn = true;
    return this.#entries.delete(item);
  }

  /** Time of the first item, or undefined when the queue is empty. */
  get firstOrder(): number | undefined {
    this.#dropWithdrawn();
    return this.#heap[0]?.order;
  }

  /** Removes and returns the first item, or undefined when the queue is empty. */
  shift(): Item | undefined {
    this.#dropWithdrawn();
    const entry = this.#pop();
    if (entry !== undefined) {
      this.#entries.delete(entry.item);
    }
    return entry?.item;
  }

  #dropWithdrawn(): void {
    while (this.#heap[0]?.withdrawn) {
      this.#pop();
    }
  }

  #pop(): Entry<Item> | undefined {
    const first = this.#heap[0];
    const last = this.#heap.pop();
    if (last !== undefined && last !== first) {
      this.#heap[0] = last;
      this.#siftDown(0);
    }
    return first;
  }

  #siftUp(index: number): void {
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#heap[parent].order <= this.#heap[index].order) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(index: number): void {
    while (true) {
      const smallest = this.#smallestOf(index);
      if (smallest === index) {
        return;
      }
      this.#swap(index, smallest);
      index = smallest;
    }
  }

  #smallestOf(index: number): number {
    let smallest = index;
    for (const child of [2 * index + 1, 2 * index + 2]) {
      const isSmaller = child < this.#heap.length &&
        this.#heap[child].order < this.#heap[smallest].order;
      smallest = isSmaller ? child : smallest;
    }
    return smallest;
  }

  #swap(left: number, right: number): void {
    const entry = this.#heap[left];
    this.#heap[left] = this.#heap[right];
    this.#heap[right] = entry;
  }
}
