/**
 * Identifiers, enums and small shared shapes that every package uses. Nothing here does any work.
 */

/** IP number and port of a daemon's peer listener, such as `10.0.0.1:7000`. Names one instance. */
export type Address = string;

/** Position of a record in the platform's log. */
export type Offset = number;

/** Offset of the `instance-joined` record that started one life of a daemon. */
export type Incarnation = Offset;

/** Offset of the `group-created` record that created a lease group. */
export type Group = Offset;

/** Monotonic time in milliseconds; comparable only within one process. */
export type Clock = () => number;

/** Resolves after the given number of milliseconds, or early when the signal aborts. */
export type Sleep = (ms: number, signal?: AbortSignal) => Promise<void>;

/** What a caller is told of a request that the backend server did not answer. */
export enum Outcome {
  /** No byte of the request reached a backend server, or the server itself refused it. */
  NotRun = "not-run",
  /** The request may have run. */
  Unknown = "unknown",
}

/** How much a class of work matters while a backend server is short of room. */
export enum Priority {
  Foreground = "foreground",
  Background = "background",
}

/** Which measure the planner spares first when it weighs a move of keys. */
export enum Preference {
  /** Spares unavailable time first. */
  Availability = "availability",
  /** Spares changes of owner first. */
  Stability = "stability",
}

/** Why keys changed owner or were without one. */
export enum MoveCause {
  Initial = "initial",
  Balance = "balance",
  Leave = "leave",
  Loss = "loss",
  HotKey = "hot-key",
}
export type { CallPeer } from "./call_peer.ts";
export { createStop, now, sleep } from "./time.ts";
export { createRandom, type Random } from "./random.ts";
