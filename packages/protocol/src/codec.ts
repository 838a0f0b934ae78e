/**
 * Encodes and decodes messages of frames with `msgpackr`. Received frames are validated before they are used.
 */
import { Buffer } from "node:buffer";
import { Packr } from "msgpackr";
import { Result } from "true-myth";
import { LinkError, LinkErrorKind } from "./errors.ts";
import { type Frame, FrameKind } from "./frames.ts";

/** Largest message that a daemon accepts from a peer, in bytes. */
export const MESSAGE_BYTES_MAX = 8 * 1024 * 1024;

type Check = (value: unknown) => boolean;
type Fields = Record<string, Check>;

const isNumber: Check = (value) => typeof value === "number" && Number.isFinite(value);
const isString: Check = (value) => typeof value === "string";
const isBoolean: Check = (value) => typeof value === "boolean";
const isBytes: Check = (value) => Buffer.isBuffer(value);
const isAnything: Check = () => true;
const isHeaders: Check = (value) => Array.isArray(value) && value.every(isHeader);

function optional(check: Check): Check {
  return (value) => value === undefined || value === null || check(value);
}

function isHeader(value: unknown): boolean {
  return hasFields(value, { name: isString, value: isString });
}

function firstInvalidField(value: object, fields: Fields): string | undefined {
  const record = value as Record<string, unknown>;
  for (const name in fields) {
    if (!fields[name](record[name])) {
      return name;
    }
  }
  return undefined;
}

function hasFields(value: unknown, fields: Fields): boolean {
  return typeof value === "object" && value !== null &&
    firstInvalidField(value, fields) === undefined;
}

const requestHead: Fields = {
  id: isString,
  pool: isString,
  shard: isNumber,
  group: isNumber,
  move: isNumber,
  workClass: isString,
  tenant: isString,
  key: isString,
  method: isString,
  path: isString,
  headers: isHeaders,
  remainingMs: isNumber,
  idempotencyKey: isString,
  firstAttempt: isBoolean,
  priority: optional(isNumber),
  targetMs: optional(isNumber),
  bodyBytes: optional(isNumber),
  excludedServer: optional(isString),
};

const responseHead: Fields = {
  status: isNumber,
  headers: isHeaders,
  outcome: optional(isString),
  reason: optional(isString),
  detail: optional(isString),
  retryAfterMs: optional(isNumber),
  isUnframed: optional(isBoolean),
  bodyBytes: optional(isNumber),
  ranMs: optional(isNumber),
  owner: optional(isString),
  leavingServer: optional(isString),
};

const fieldsOfKind: Record<FrameKind, Fields> = {
  [FrameKind.Hello]: {
    version: isNumber,
    address: isString,
    incarnation: optional(isString),
    sentAt: optional(isNumber),
  },
  [FrameKind.Ping]: { wantsReply: isBoolean },
  [FrameKind.Call]: { call: isNumber, method: isString, payload: isAnything },
  [FrameKind.Reply]: {
    call: isNumber,
    payload: isAnything,
    error: optional(isString),
  },
  [FrameKind.Request]: {
    stream: isNumber,
    head: (value) => hasFields(value, requestHead),
    body: optional(isBytes),
    end: isBoolean,
    sentAt: isNumber,
  },
  [FrameKind.Response]: {
    stream: isNumber,
    head: (value) => hasFields(value, responseHead),
    body: optional(isBytes),
    end: isBoolean,
  },
  [FrameKind.Body]: {
    stream: isNumber,
    ofRequest: isBoolean,
    body: isBytes,
    end: isBoolean,
  },
  [FrameKind.Credit]: {
    stream: isNumber,
    ofRequest: isBoolean,
    bytes: isNumber,
  },
  [FrameKind.Cancel]: { stream: isNumber, byOpener: isBoolean },
};

/** Describes the first error of a decoded frame; returns undefined for a valid one. */
function findFrameError(value: unknown): string | undefined {
  if (typeof value !== "object" || value === null) {
    return "a frame is not an object";
  }
  const fields = fieldsOfKind[(value as Frame).kind];
  if (fields === undefined) {
    return "a frame's kind is unknown";
  }
  const field = firstInvalidField(value, fields);
  return field === undefined
    ? undefined
    : `field ${field} of a ${FrameKind[(value as Frame).kind]} frame`;
}

/**
 * Codec of one link at one end. It has state, since `msgpackr` sends each record structure only once, so
 * every link needs its own.
 */
export class Codec {
  readonly #packr = new Packr({ useRecords: true, sequential: true } as object);
  readonly #unpackr = new Packr(
    { useRecords: true, sequential: true } as object,
  );

  /** Encodes frames as one message. */
  encode(frames: Frame[]): Buffer {
    return this.#packr.pack(frames);
  }

  /** Decodes and validates one message. */
  decode(message: Buffer): Result<Frame[], LinkError> {
    let frames: unknown;
    try {
      frames = this.#unpackr.unpack(message);
    } catch (error) {
      return malformed(
        `a message cannot be decoded: ${(error as Error).message}`,
      );
    }
    if (!Array.isArray(frames)) {
      return malformed("a message is not an array of frames");
    }
    for (const frame of frames) {
      const error = findFrameError(frame);
      if (error !== undefined) {
        return malformed(error);
      }
    }
    return Result.ok(frames as Frame[]);
  }
}

function malformed(what: string): Result<never, LinkError> {
  return Result.err(
    new LinkError(LinkErrorKind.Malformed, `The peer sent ${what}`),
  );
}
