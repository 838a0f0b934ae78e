import { expect } from "chai";
import { Priority } from "@bulrushwood/types";
import { Admission, AdmissionErrorKind, DeadlineQueue, type Slot, type WorkTarget } from "./mod.ts";

const BOOKING: WorkTarget = { name: "booking", priority: Priority.Foreground, withinMs: 100 };
const STOCK: WorkTarget = { name: "stock", priority: Priority.Background, withinMs: 400 };

class Fixture {
  time = 0;
  limit = 1;
  readonly admission = new Admission({ now: () => this.time, limit: () => this.limit });

  async admit(workClass: WorkTarget, options: { deadline?: number; signal?: AbortSignal } = {}) {
    const signal = options.signal ?? new AbortController().signal;
    const deadline = options.deadline ?? this.time + 60_000;
    return await this.admission.admit({ workClass, arrivedAt: this.time, deadline, signal });
  }

  async takeSlot(workClass: WorkTarget): Promise<Slot> {
    const admitted = await this.admit(workClass);
    return admitted.isOk ? admitted.value : undefined!;
  }
}

describe("admission", () => {
  it("runs no more requests at once than the limit", async () => {
    const fixture = new Fixture();
    const first = await fixture.takeSlot(BOOKING);
    const second = fixture.admit(BOOKING);
    expect(fixture.admission.waiting).to.equal(1);
    first.release();
    expect((await second).isOk).to.equal(true);
    first.release();
    expect(fixture.admission.running).to.equal(1);
  });

  it("rejects a request early when it would miss its deadline", async () => {
    const fixture = new Fixture();
    const first = await fixture.takeSlot(BOOKING);
    fixture.time += 50;
    first.release();
    await fixture.takeSlot(BOOKING);
    fixture.admit(BOOKING);
    fixture.admit(BOOKING);
    const rejected = await fixture.admit(BOOKING, { deadline: fixture.time + 120 });
    expect(rejected.isErr && rejected.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    expect(rejected.isErr && rejected.error.retryAfterMs).to.equal(100);
  });

  it("drops a queued request when its deadline passes or it is cancelled", async () => {
    const fixture = new Fixture();
    await fixture.takeSlot(BOOKING);
    const late = await fixture.admit(BOOKING, { deadline: fixture.time + 20 });
    expect(late.isErr && late.error.kind).to.equal(AdmissionErrorKind.DeadlinePassed);
    const cancel = new AbortController();
    const cancelled = fixture.admit(BOOKING, { signal: cancel.signal });
    cancel.abort();
    const result = await cancelled;
    expect(result.isErr && result.error.kind).to.equal(AdmissionErrorKind.Cancelled);
    expect(fixture.admission.waiting).to.equal(0);
  });

  it("runs foreground work first, and never starves background work", async () => {
    const fixture = new Fixture();
    const first = await fixture.takeSlot(BOOKING);
    const started: string[] = [];
    const wait = async (workClass: WorkTarget) => {
      const admitted = await fixture.admit(workClass);
      started.push(workClass.name);
      setImmediate(() => admitted.isOk && admitted.value.release());
    };
    const waits = Array.from({ length: 5 }, () => wait(STOCK));
    waits.push(...Array.from({ length: 40 }, () => wait(BOOKING)));
    first.release();
    await Promise.all(waits);
    expect(started.slice(0, 9)).to.deep.equal(new Array(9).fill("booking"));
    expect(started.slice(0, 20).filter((name) => name === "stock")).to.have.length(2);
  });

  it("keeps a queue ordered by time when items are withdrawn", () => {
    const queue = new DeadlineQueue<number>();
    const items = [5, 3, 8, 1, 9, 2, 7];
    items.forEach((item) => queue.add(item, item));
    queue.withdraw(3);
    queue.withdraw(1);
    const taken = Array.from({ length: 6 }, () => queue.shift());
    expect(taken).to.deep.equal([2, 5, 7, 8, 9, undefined]);
  });
});
