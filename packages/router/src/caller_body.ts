/**
 * Reads the bodies of callers' requests, within the limits of their size, of the memory for all bodies and of the time
 * that the caller waits.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { RequestMemory } from "@bulrushwood/admission";
import { BodyCollector, BodyFailure, lengthOf } from "@bulrushwood/http_client";
import { now } from "@bulrushwood/types";

/** Why a request's body was not read. */
export enum BodyRejection {
  TooLarge = "too-large",
  /** The bodies of other requests leave no memory for it. */
  NoMemory = "no-memory",
  /** It had not arrived when the caller stopped waiting. */
  Late = "late",
  /** The caller left before it was whole. */
  Truncated = "truncated",
}

/** A request's body, undefined if it has none, or why it was not read. */
export type CallerBody = { body: Buffer | undefined } | { rejection: BodyRejection };

/** Limits of a body. */
export interface BodyLimits {
  bytesMax: number;
  memory: RequestMemory;
  /** When the caller stops waiting, on this process's clock in milliseconds. */
  deadline: number;
}

const REJECTION_OF: Record<BodyFailure, BodyRejection> = {
  [BodyFailure.TooLarge]: BodyRejection.TooLarge,
  [BodyFailure.NoMemory]: BodyRejection.NoMemory,
  [BodyFailure.Cancelled]: BodyRejection.Truncated,
};

/** Reads a request's body. After a rejection, what still arrives of it is discarded. */
export async function readCallerBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<CallerBody> {
  const length = lengthOf(request);
  if (length === undefined && request.headers["transfer-encoding"] === undefined) {
    request.resume();
    return { body: undefined };
  }
  const { bytesMax, memory, deadline } = limits;
  const body = new BodyCollector({ length, bytesMax, take: (bytes) => memory.take(bytes) });
  if (body.failure !== undefined) {
    request.resume();
    return { rejection: REJECTION_OF[body.failure] };
  }
  let timer: NodeJS.Timeout | undefined;
  const read = await new Promise<CallerBody>((resolve) => {
    const reject = (rejection: BodyRejection) => resolve({ rejection });
    timer = setTimeout(() => reject(BodyRejection.Late), Math.max(0, deadline - now()));
    request.on("data", (part: Buffer) => {
      if (!body.add(part)) {
        reject(REJECTION_OF[body.failure!]);
      }
    });
    request.on(
      "end",
      () => request.complete ? resolve({ body: body.end() }) : reject(BodyRejection.Truncated),
    );
    request.on("error", () => reject(BodyRejection.Truncated));
    request.on("close", () => reject(BodyRejection.Truncated));
  });
  clearTimeout(timer);
  if ("rejection" in read) {
    body.cancel();
  }
  return read;
}
