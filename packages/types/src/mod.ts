/**
 * Identifiers, enums and function types that every package uses, and the process's clock, sleep and seeded
 * random numbers.
 */

/** IP address and port of a daemon's peer listener, such as `10.0.0.1:7000`. Identifies one instance. */
export type Address = string;

/** Position of a record in the platform's log. */
export type Offset = number;

/** One run of a daemon, identified by the offset of its `instance-joined` record. */
export type Incarnation = Offset;

/** Lease group, identified by the offset of its `group-created` record. */
export type Group = Offset;

/** Returns monotonic time in milliseconds, comparable only within one process. */
export type Clock = () => number;

/** Resolves after the given number of milliseconds, or early when the signal aborts. */
export type Sleep = (ms: number, signal?: AbortSignal) => Promise<void>;

/** Outcome that is reported to the caller of a request that the backend server did not respond to. */
export enum Outcome {
  /** No byte of the request reached a backend server, or the server itself rejected it. */
  NotRun = "not-run",
  /** The request may have run. */
  Unknown = "unknown",
}

/** Priority of a class of work while a backend server has no free slots. */
export enum Priority {
  Foreground = "foreground",
  Background = "background",
}

/** Cost that the planner minimises first when it weighs a move of keys. */
export enum Preference {
  /** Minimises unavailability first. */
  Availability = "availability",
  /** Minimises changes of owner first. */
  Stability = "stability",
}

/** Cause of a change of owner of keys, or of a time without an owner. */
export enum MoveCause {
  Initial = "initial",
  Balance = "balance",
  Leave = "leave",
  Loss = "loss",
  HotKey = "hot-key",
}
export { ADDRESS_MESSAGE, isAddress } from "./address.ts";
export type { CallPeer } from "./call_peer.ts";
export { everyTicks, pause, TICK_MS } from "./ticks.ts";
export { createStop, now, sleep } from "./time.ts";
export { createRandom, type Random } from "./random.ts";
export { waitForChange, type WaitOptions } from "./wait.ts";
