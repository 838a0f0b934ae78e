/**
 * HTTP server of the administration API. Maps paths to the daemon's actions, and checks request bodies.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { z } from "zod";
import { AdminError, AdminErrorKind } from "./errors.ts";
import {
  type AcceptedPublication,
  AdminPath,
  type DaemonStatus,
  type Explanation,
  type InstanceRequest,
  instanceRequestSchema,
  type Publication,
  publicationSchema,
  type SystemStatus,
  type VersionsInForce,
} from "./wire.ts";

/** Largest request body. */
const BODY_BYTES_MAX = 1_048_576;

const STATUS_OF_KIND: Record<AdminErrorKind, number> = {
  [AdminErrorKind.Malformed]: 400,
  [AdminErrorKind.NotFound]: 404,
  [AdminErrorKind.Conflict]: 409,
  [AdminErrorKind.Unavailable]: 503,
  [AdminErrorKind.Unsettled]: 504,
};

/** The configuration in force, with its version. */
export interface ConfigurationDocument {
  version: number;
  /** Who published it. */
  by: string;
  configuration: unknown;
}

/** The functions behind the paths of the API. */
export interface AdminActions {
  isReady: () => boolean;
  metrics: () => Promise<string>;
  ownStatus: () => DaemonStatus;
  systemStatus: () => Promise<SystemStatus>;
  configuration: () => ConfigurationDocument;
  publish: (publication: Publication) => Promise<Result<AcceptedPublication, AdminError>>;
  versionsInForce: () => Promise<VersionsInForce>;
  explain: (pool: string, key: string) => Result<Explanation, AdminError>;
  drain: (request: InstanceRequest) => Promise<Result<object, AdminError>>;
  declareLost: (
    request: InstanceRequest,
  ) => Promise<Result<object, AdminError>>;
}

/** The administration API of one daemon. */
export class AdminServer {
  readonly #server: Server;
  readonly #actions: AdminActions;

  private constructor(actions: AdminActions) {
    this.#actions = actions;
    this.#server = createServer((request, response) => {
      this.#route(request, response).catch((error) => {
        sendDocument(response, 500, {
          error: (error as Error).message,
          faults: [],
        });
      });
    });
  }

  static async listen(
    actions: AdminActions,
    address: { host: string; port: number },
  ): Promise<AdminServer> {
    const admin = new AdminServer(actions);
    await new Promise<void>((resolve, reject) => {
      admin.#server.once("error", reject);
      admin.#server.listen(address.port, address.host, resolve);
    });
    return admin;
  }

  async #route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://admin");
    switch (`${request.method} ${url.pathname}`) {
      case `GET ${AdminPath.Health}`:
        return sendText(response, 200, "ok\n");
      case `GET ${AdminPath.Ready}`:
        return this.#actions.isReady()
          ? sendText(response, 200, "ready\n")
          : sendText(response, 503, "not ready\n");
      case `GET ${AdminPath.Metrics}`:
        return sendText(response, 200, await this.#actions.metrics());
      case `GET ${AdminPath.Status}`:
        return await this.#sendStatus(url, response);
      case `GET ${AdminPath.Configuration}`:
        return sendDocument(response, 200, this.#actions.configuration());
      case `POST ${AdminPath.Configuration}`:
        return await this.#runAction(
          request,
          response,
          publicationSchema,
          this.#actions.publish,
        );
      case `GET ${AdminPath.VersionsInForce}`:
        return sendDocument(response, 200, await this.#actions.versionsInForce());
      case `GET ${AdminPath.Explain}`:
        return this.#sendExplanation(url, response);
      case `POST ${AdminPath.Drain}`:
        return await this.#runAction(
          request,
          response,
          instanceRequestSchema,
          this.#actions.drain,
        );
      case `POST ${AdminPath.Lost}`:
        return await this.#runAction(
          request,
          response,
          instanceRequestSchema,
          this.#actions.declareLost,
        );
      default: {
        const paths = Object.values(AdminPath).join(", ");
        const error = `No such path or method; the paths are ${paths}`;
        return sendDocument(response, 404, { error, faults: [] });
      }
    }
  }

  async #sendStatus(url: URL, response: ServerResponse): Promise<void> {
    const isOwn = url.searchParams.get("of") === "self";
    const status = isOwn ? this.#actions.ownStatus() : await this.#actions.systemStatus();
    sendDocument(response, 200, status);
  }

  #sendExplanation(url: URL, response: ServerResponse): void {
    const pool = url.searchParams.get("pool") ?? "";
    const key = url.searchParams.get("key") ?? "";
    sendResult(response, this.#actions.explain(pool, key));
  }

  async #runAction<Input, Output extends object>(
    request: IncomingMessage,
    response: ServerResponse,
    schema: z.ZodType<Input>,
    action: (input: Input) => Promise<Result<Output, AdminError>>,
  ): Promise<void> {
    const parsed = schema.safeParse(await readJson(request));
    if (!parsed.success) {
      const faults = parsed.error.issues.map((issue) => {
        const field = issue.path.length === 0 ? "the body" : issue.path.join(".");
        return `${field}: ${issue.message}`;
      });
      sendDocument(response, 400, {
        error: "The request is malformed",
        faults,
      });
      return;
    }
    sendResult(response, await action(parsed.data));
  }

  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

function sendResult(
  response: ServerResponse,
  result: Result<object, AdminError>,
): void {
  if (result.isOk) {
    sendDocument(response, 200, result.value);
    return;
  }
  const { kind, message, faults } = result.error;
  sendDocument(response, STATUS_OF_KIND[kind], { error: message, faults });
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, { "content-type": "text/plain; charset=utf-8" })
    .end(text);
}

function sendDocument(
  response: ServerResponse,
  status: number,
  document: object,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(`${JSON.stringify(document)}\n`);
}

/** Parses a body as JSON; returns undefined when it is malformed or too large. */
async function readJson(request: IncomingMessage): Promise<unknown> {
  let text = "";
  for await (const chunk of request) {
    text += chunk;
    if (text.length > BODY_BYTES_MAX) {
      return undefined;
    }
  }
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
