/**
 * Serves the requests that peers forward to this daemon, and handles their calls.
 */
import { Buffer } from "node:buffer";
import { z } from "zod";
import type { Leases } from "@bulrushwood/lease";
import type { Detector, Relay } from "@bulrushwood/membership";
import type { IncomingExchange } from "@bulrushwood/protocol";
import type { RequestRecords, RoutedResponse } from "@bulrushwood/routing";
import { type Incarnation, Outcome } from "@bulrushwood/types";
import type { Holder } from "./holder.ts";
import { BAR_METHOD } from "./ingress.ts";

/** Method that returns a daemon's status. */
export const STATUS_METHOD = "admin.status";

const barRequest = z.object({ id: z.string(), incarnation: z.number() });

/** Components that handle peers' calls. */
export interface PeerServices {
  incarnation: Incarnation;
  leases: Leases;
  detector: Detector;
  relay: Relay;
  holder: Holder;
  records: RequestRecords;
  /** Returns this daemon's status. */
  status: () => unknown;
}

/**
 * Handles one call of a peer and returns its reply; a rejected promise becomes the error of the
 * call.
 */
export function handlePeerCall(
  services: PeerServices,
  method: string,
  options: { payload: unknown },
): Promise<unknown> {
  const { payload } = options;
  const reply = services.leases.handleCall(method, payload) ??
    services.detector.handleCall(method, payload) ??
    services.relay.handleCall(method, payload);
  if (reply !== undefined) {
    return reply;
  }
  switch (method) {
    case BAR_METHOD:
      return Promise.resolve(bar(services, payload));
    case STATUS_METHOD:
      return Promise.resolve(services.status());
    default:
      return Promise.reject(new Error(`The method ${method} is unknown`));
  }
}

/**
 * Bars a request from running and returns its outcome. That is unknown for a request that was sent
 * to another incarnation, whose records this one does not have.
 */
function bar(services: PeerServices, payload: unknown): Outcome {
  const { id, incarnation } = barRequest.parse(payload);
  return incarnation === services.incarnation ? services.records.bar(id) : Outcome.Unknown;
}

/** Serves one forwarded request from its first frame to its last. */
export async function serveExchange(
  holder: Holder,
  exchange: IncomingExchange,
): Promise<void> {
  const { requestBody, head, signal } = exchange;
  const body = requestBody.isWhole ? requestBody.takeWhole() : requestBody;
  const response = await holder.serve(head, body, signal);
  await sendResponse(exchange, response);
}

async function sendResponse(
  exchange: IncomingExchange,
  response: RoutedResponse,
): Promise<void> {
  const { head, body } = response;
  if (body === undefined || Buffer.isBuffer(body)) {
    exchange.respond(head, body, true);
    return;
  }
  exchange.respond(head, undefined, false);
  try {
    for await (const chunk of body) {
      if (!(await exchange.responseBody.write(chunk))) {
        return;
      }
    }
    exchange.responseBody.end(Buffer.alloc(0));
  } catch {
    exchange.abort();
  }
}
