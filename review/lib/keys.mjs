/**
 * The keys that one life of a stand-in upstream holds, as PROTOCOL.md describes grants and releases.
 */
import { randomBytes } from "node:crypto";
import { now, sleep } from "./tools.mjs";

const KEYS = 65_536;
const POLL_MS = 5;
const TOKEN_BYTES = 8;

/** Grants of one life of an upstream, and the requests that run on its keys. */
export class HeldKeys {
  #fence = new Int32Array(KEYS).fill(-1);
  #until = new Float64Array(KEYS);
  #running = new Uint32Array(KEYS);

  /** Whether a key is held now. */
  has(key) {
    return this.#until[key] > now();
  }

  /** Counts a run on a key until the returned function is called. */
  begin(key) {
    this.#running[key]++;
    return () => this.#running[key]--;
  }

  /** Takes keys; returns false if a higher epoch number was seen on one of them. */
  grant({ from, target, fence, hold_ms: holdMs }) {
    for (let key = from; key <= target; key++) {
      if (this.#fence[key] > fence) {
        return false;
      }
    }
    this.#fence.fill(fence, from, target + 1);
    this.#until.fill(now() + holdMs, from, target + 1);
    return true;
  }

  /** Gives keys back; resolves to the handover token when the work on them has ended. */
  async release({ from, target, fence }) {
    for (let key = from; key <= target; key++) {
      if (this.#fence[key] <= fence) {
        this.#until[key] = 0;
      }
    }
    while (this.#running.subarray(from, target + 1).some((running) => running > 0)) {
      await sleep(POLL_MS);
    }
    return randomBytes(TOKEN_BYTES).toString("hex");
  }
}

/** Checks the epoch numbers of all grants that upstreams take. */
export class EpochCheck {
  #fence = new Int32Array(KEYS).fill(-1);
  #holder = new Array(KEYS);
  /** Grants that an upstream took with an epoch number that isn't above that of another upstream. */
  broken = [];

  /** Records that an upstream took keys. */
  recordGrant(upstream, { from, target, fence }) {
    let count = 0;
    let other;
    for (let key = from; key <= target; key++) {
      if (this.#holder[key] !== undefined && this.#holder[key] !== upstream) {
        if (fence <= this.#fence[key]) {
          count++;
          other = this.#holder[key];
        }
      }
      if (fence >= this.#fence[key]) {
        this.#fence[key] = fence;
        this.#holder[key] = upstream;
      }
    }
    if (count > 0) {
      this.broken.push(
        `OWNER: ${upstream} took ${count} keys of ${from}-${target} with the epoch number ${fence}, ` +
          `with which ${other} had them`,
      );
    }
  }
}
