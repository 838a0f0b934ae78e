/**
 * HTTP client of a daemon's administration API.
 */
import { request } from "node:http";
import { Result } from "true-myth";
import { z } from "zod";
import { AdminError, AdminErrorKind } from "./errors.ts";
import {
  type AcceptedPublication,
  acceptedPublicationSchema,
  AdminPath,
  errorSchema,
  type Explanation,
  explanationSchema,
  type InstanceRequest,
  type Publication,
  type SystemStatus,
  systemStatusSchema,
  type VersionsInForce,
  versionsInForceSchema,
} from "./wire.ts";

/** Timeout of a call, from connecting to the end of the response. */
const TIMEOUT_MS = 20_000;

const configurationSchema = z.object({
  version: z.number(),
  by: z.string(),
  configuration: z.unknown(),
});
const objectSchema = z.looseObject({});

/** Error kinds by HTTP status; every other status is `Unavailable`. */
const KIND_OF_STATUS = new Map<number, AdminErrorKind>([
  [400, AdminErrorKind.Malformed],
  [404, AdminErrorKind.NotFound],
  [409, AdminErrorKind.Conflict],
  [504, AdminErrorKind.Unsettled],
]);

interface ReceivedDocument {
  status: number;
  document: unknown;
}

/** Client of one daemon's administration API. */
export class AdminClient {
  readonly #url: string;

  /** `address` is an IP number and a port. */
  constructor(address: string) {
    this.#url = `http://${address}`;
  }

  /** Returns the state of the whole system. */
  status(): Promise<Result<SystemStatus, AdminError>> {
    return this.#get(AdminPath.Status, systemStatusSchema);
  }

  /** Returns the configuration in force at the daemon, with its version. */
  configuration(): Promise<
    Result<z.infer<typeof configurationSchema>, AdminError>
  > {
    return this.#get(AdminPath.Configuration, configurationSchema);
  }

  /** Returns the configuration version that each daemon has in force. */
  versionsInForce(): Promise<Result<VersionsInForce, AdminError>> {
    return this.#get(AdminPath.VersionsInForce, versionsInForceSchema);
  }

  publish(publication: Publication): Promise<Result<AcceptedPublication, AdminError>> {
    return this.#post(AdminPath.Configuration, acceptedPublicationSchema, publication);
  }

  /** Returns which instance owns a key, and why. */
  explain(pool: string, key: string): Promise<Result<Explanation, AdminError>> {
    const query = new URLSearchParams({ pool, key });
    return this.#get(`${AdminPath.Explain}?${query}`, explanationSchema);
  }

  /** Starts to drain an instance. */
  drain(instance: InstanceRequest): Promise<Result<object, AdminError>> {
    return this.#post(AdminPath.Drain, objectSchema, instance);
  }

  /** Confirms that an instance's process no longer runs. */
  declareLost(instance: InstanceRequest): Promise<Result<object, AdminError>> {
    return this.#post(AdminPath.Lost, objectSchema, instance);
  }

  #get<T>(path: string, schema: z.ZodType<T>): Promise<Result<T, AdminError>> {
    return this.#call("GET", path, { schema });
  }

  #post<T>(
    path: string,
    schema: z.ZodType<T>,
    body: object,
  ): Promise<Result<T, AdminError>> {
    return this.#call("POST", path, { schema, body });
  }

  async #call<T>(
    method: string,
    path: string,
    options: { schema: z.ZodType<T>; body?: object },
  ): Promise<Result<T, AdminError>> {
    const sent = await this.#send(method, path, options.body);
    if (sent.isErr) {
      return Result.err(sent.error);
    }
    const { status, document } = sent.value;
    if (status !== 200) {
      return Result.err(readError(status, document));
    }
    const parsed = options.schema.safeParse(document);
    if (!parsed.success) {
      const message = `The daemon at ${this.#url} sent a response of an unknown format`;
      return Result.err(new AdminError(AdminErrorKind.Unavailable, message));
    }
    return Result.ok(parsed.data);
  }

  #send(
    method: string,
    path: string,
    body?: object,
  ): Promise<Result<ReceivedDocument, AdminError>> {
    return new Promise((resolve) => {
      const fail = (error: Error) => {
        const message = `The daemon at ${this.#url} does not respond: ${error.message}`;
        resolve(
          Result.err(new AdminError(AdminErrorKind.Unavailable, message)),
        );
      };
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      const headers = { "content-type": "application/json" };
      const call = request(`${this.#url}${path}`, {
        method,
        headers,
        signal,
        agent: false,
      });
      call.on("error", fail);
      call.on("response", async (response) => {
        try {
          let text = "";
          for await (const chunk of response) {
            text += chunk;
          }
          resolve(
            Result.ok({
              status: response.statusCode ?? 0,
              document: JSON.parse(text),
            }),
          );
        } catch (error) {
          fail(error as Error);
        }
      });
      call.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }
}

/** Converts an error response; a body without an error document leaves only the status. */
function readError(status: number, document: unknown): AdminError {
  const parsed = errorSchema.safeParse(document);
  const kind = KIND_OF_STATUS.get(status) ?? AdminErrorKind.Unavailable;
  if (!parsed.success) {
    return new AdminError(kind, `The daemon responded with status ${status}`);
  }
  return new AdminError(kind, parsed.data.error, {
    faults: parsed.data.faults,
  });
}
