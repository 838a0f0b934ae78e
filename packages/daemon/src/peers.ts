/**
 * What this daemon does for its peers: serves the requests they forward and answers their calls.
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

/** Name of the call that asks a daemon for its status. */
export const STATUS_METHOD = "admin.status";

const barRequest = z.object({ id: z.string(), incarnation: z.number() });

/** Who answers peers' calls. */
export interface PeerServices {
  incarnation: Incarnation;
  keeper: Leases;
  detector: Detector;
  relay: Relay;
  holder: Holder;
  records: RequestRecords;
  /** This daemon's own status. */
  status: () => unknown;
}

/** Answers one call of a peer; a rejection becomes the call's error. */
export function answerCall(
  services: PeerServices,
  method: string,
  options: { payload: unknown },
): Promise<unknown> {
  const { payload } = options;
  const answer = services.keeper.handleCall(method, payload) ??
    services.detector.handleCall(method, payload) ??
    services.relay.handleCall(method, payload);
  if (answer !== undefined) {
    return answer;
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

/** An incarnation that did not take the request itself cannot vouch for it. */
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
  const answer = await holder.serve(head, body, signal);
  await sendAnswer(exchange, answer);
}

async function sendAnswer(
  exchange: IncomingExchange,
  answer: RoutedResponse,
): Promise<void> {
  const { head, body } = answer;
  if (body === undefined || Buffer.isBuffer(body)) {
    exchange.respond(head, body, true);
    return;
  }
  exchange.respond(head, undefined, false);
  try {
    for await (const part of body) {
      if (!(await exchange.responseBody.write(part))) {
        return;
      }
    }
    exchange.responseBody.end(Buffer.alloc(0));
  } catch {
    exchange.abort();
  }
}
