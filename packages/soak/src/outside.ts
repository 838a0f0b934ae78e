/**
 * What surrounds the daemons of a deployment, encoded in the deployment's own formats: the counterpart of the
 * daemon's adapter. The platform implements it.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders, OutgoingHttpHeaders, RequestListener } from "node:http";
import type {
  DeploymentSettings,
  GrantOrder,
  Manifest,
  ReleaseOrder,
  ServerLoad,
  ServerReport,
  Store,
} from "@bulrushwood/deployment";

/** An HTTP call to a daemon's listener for status reports. */
export interface ReportCall {
  method: string;
  path: string;
  headers: OutgoingHttpHeaders;
  body: Buffer;
}

/** Metadata of a request that a backend server receives. */
export interface ReceivedRequest {
  id: string | undefined;
  /** Id of the only server that may run the request. */
  serverId: string | undefined;
  key: number | undefined;
}

/** Metadata of a backend server's response. */
export interface SentResponse {
  /** Id of the request that it belongs to. */
  id?: string;
  /** Origin marker of a response to a request that ran. */
  originMarker?: string;
  isNotRun?: boolean;
  load?: ServerLoad;
  /** Id of the server in its response to a health check. */
  serverId?: string;
  handover?: string;
}

/** A decoded order to a backend server. */
export type ServerOrder =
  | { kind: "grant"; order: GrantOrder }
  | { kind: "release"; order: ReleaseOrder };

/** Formats of the systems around the daemons. */
export interface Outside {
  encodeSettings(settings: DeploymentSettings): string;
  /** Returns the environment variables that name the settings file to a daemon. */
  environment(settingsPath: string): Record<string, string>;
  /** Returns the HTTP interface of a store. */
  storeListener(store: Store): RequestListener;
  manifestLocation: { topic: string; key: string };
  encodeManifest(manifest: Manifest): Buffer;
  /** Returns the key of the record by which an operator evacuates a data centre, in the topic of the manifest. */
  evacuationKey(dataCentre: string): string;
  report(report: ServerReport): ReportCall;
  farewell(id: string): ReportCall;
  callerHeaders(request: { id: string; deadlineMs: number; key?: number }): OutgoingHttpHeaders;
  readRequest(headers: IncomingHttpHeaders): ReceivedRequest;
  /** Decodes an order; returns undefined for any other request. */
  readOrder(method: string, path: string, body: Buffer): ServerOrder | undefined;
  responseHeaders(response: SentResponse): OutgoingHttpHeaders;
  /** Decodes the head of the response that a caller gets. */
  readAnswer(headers: IncomingHttpHeaders): { id: string | undefined; hasOriginMarker: boolean };
}
