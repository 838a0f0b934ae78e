/**
 * Receives the long bodies of forwarded requests. Only a few are received at a time, since bodies that many daemons
 * send at once would delay every other message on this instance's link by seconds. The others wait at their
 * ingress, and those that would not arrive in time are rejected before they are sent.
 */
import type { Buffer } from "node:buffer";
import { Gate, type RequestMemory } from "@bulrushwood/admission";
import {
  deductDelay,
  type IncomingExchange,
  Reason,
  type RequestHead,
} from "@bulrushwood/protocol";
import { notRun, type RoutedResponse } from "@bulrushwood/routing";
import { now } from "@bulrushwood/types";
import { BodyError, readParts } from "./exchange.ts";
import { toRejection } from "./runner.ts";

/** Number of bodies that are received at a time, so that the link stays busy while the next one is requested. */
const CONCURRENT_BODIES = 2;
/** Time without a part after which a body no longer counts as being received, in milliseconds. */
const STALLED_MS = 200;

/** Retry-after time for callers whose bodies cannot be held here now, in milliseconds. */
export const BODY_RETRY_AFTER_MS = 500;

/** A forwarded request with its whole body and the time that is left for it, or the reason why it is rejected. */
export type ReceivedRequest =
  | { head: RequestHead; body: Buffer | undefined }
  | { rejection: RoutedResponse };

/** Receives long bodies, a few at a time. */
export class LongBodies {
  readonly #gate = new Gate({ now, random: Math.random, limit: () => CONCURRENT_BODIES });

  /** Receives the body of a request; short bodies have arrived with the request. */
  async receive(exchange: IncomingExchange, memory?: RequestMemory): Promise<ReceivedRequest> {
    const { head, requestBody, signal } = exchange;
    if (requestBody.isWhole) {
      return { head, body: requestBody.takeWhole() };
    }
    const arrivedAt = now();
    const admitted = await this.#gate.enter({
      workClass: head.workClass,
      priority: head.priority ?? 0,
      targetAt: arrivedAt + (head.targetMs ?? head.remainingMs),
      deadline: arrivedAt + head.remainingMs,
      signal,
    });
    if (admitted.isErr) {
      return { rejection: toRejection(admitted.error) };
    }
    const { release } = admitted.value;
    const stalled = setTimeout(release, STALLED_MS);
    try {
      const body = await readParts(requestBody, {
        length: head.bodyBytes ?? undefined,
        memory,
        onPart: () => stalled.refresh(),
      });
      return { head: deductDelay(head, now() - arrivedAt), body };
    } catch (error) {
      if (error instanceof BodyError) {
        return { rejection: notRun(Reason.Overloaded, error.message, BODY_RETRY_AFTER_MS) };
      }
      throw error;
    } finally {
      clearTimeout(stalled);
      release();
    }
  }

  /** Number of bodies that are received or wait to be requested. */
  get open(): number {
    return this.#gate.running + this.#gate.waiting;
  }

  /** Rejects all requests whose bodies have not been requested yet. */
  close(): void {
    this.#gate.close();
  }
}
