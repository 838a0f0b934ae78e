/**
 * Structured, rate-limited log: each kind of event has its own allowance of lines a second, and the next
 * line that is written counts the lines dropped before it.
 */
import process from "node:process";
import winston from "winston";
import type { Clock } from "@bulrushwood/types";

/** Kinds of logged events. */
export enum Event {
  Started = "started",
  Stopping = "stopping",
  Stopped = "stopped",
  SettingsReloaded = "settings-reloaded",
  ListenerFailed = "listener-failed",
  ConnectionsClosed = "connections-closed",
  BodiesRefused = "bodies-refused",
  StoreReachable = "store-reachable",
  StoreRelayed = "store-relayed",
  StoreReconnected = "store-reconnected",
  StoreLost = "store-lost",
  StoreEra = "store-era",
  StoreWentBack = "store-went-back",
  ManifestApplied = "manifest-applied",
  ManifestRejected = "manifest-refused",
  EvacuationChanged = "evacuation-changed",
  EvacuationIgnored = "evacuation-ignored",
  ServerReported = "server-reported",
  ServerLost = "server-lost",
  ServerBack = "server-back",
  ServerEnded = "server-ended",
  ReportRejected = "report-refused",
  DepartureUnstored = "departure-unstored",
  NoticeMalformed = "notice-malformed",
  Suspended = "suspended",
  TenureSealed = "tenure-sealed",
  KeysAssigned = "keys-assigned",
  KeysMoved = "keys-moved",
  KeysTransferred = "keys-given",
  OrderFailed = "order-failed",
  TableCorrupt = "table-damaged",
  RequestRejected = "request-refused",
  RequestLost = "request-lost",
  RequestResent = "request-sent-again",
  CallerLeft = "caller-left",
  RequestCancelled = "request-cancelled",
  RequestDelayed = "request-delayed",
  LoopDelayed = "loop-delayed",
  Overloaded = "overloaded",
  PeerMalformed = "peer-malformed",
  TaskFailed = "task-failed",
}

/** Logs one event with the inputs of the decision behind it. */
export type EventLog = (event: Event, fields?: Record<string, unknown>) => void;

/** Largest burst of lines of one kind. */
const BURST = 40;
/** Sustained rate of lines of one kind, per second. */
const LINES_PER_SECOND = 10;
/** Buffered output beyond which lines are dropped, in bytes, so that a stalled reader does not exhaust memory. */
const BACKLOG_BYTES_MAX = 256 * 1024;
const MS_PER_SECOND = 1_000;

interface Allowance {
  lines: number;
  at: number;
  dropped: number;
}

/** Returns a function that logs each error of a listener. */
export function logListenerErrors(log: EventLog): (error: Error) => void {
  return ({ message }) => log(Event.ListenerFailed, { reason: message });
}

/** Creates a log on standard output whose lines name the instance. */
export function createEventLog(instance: string, options: { now: Clock }): EventLog {
  const { combine, timestamp, json } = winston.format;
  const logger = winston.createLogger({
    format: combine(timestamp(), json()),
    defaultMeta: { instance },
    transports: [new winston.transports.Stream({ stream: process.stdout })],
  });
  const allowances = new Map<Event, Allowance>();
  return (event, fields = {}) => {
    const dropped = takeLine(allowances, event, options.now());
    if (dropped === undefined) {
      return;
    }
    const counted = dropped > 0 ? { ...fields, dropped } : fields;
    logger.info(event, counted);
  };
}

/** Takes one line from an event's allowance; returns the number of lines dropped before it, or undefined to drop it. */
function takeLine(
  allowances: Map<Event, Allowance>,
  event: Event,
  now: number,
): number | undefined {
  const allowance = allowances.get(event) ?? { lines: BURST, at: now, dropped: 0 };
  allowances.set(event, allowance);
  const earned = (now - allowance.at) * LINES_PER_SECOND / MS_PER_SECOND;
  allowance.lines = Math.min(BURST, allowance.lines + earned);
  allowance.at = now;
  if (allowance.lines < 1 || process.stdout.writableLength > BACKLOG_BYTES_MAX) {
    allowance.dropped++;
    return undefined;
  }
  allowance.lines--;
  const { dropped } = allowance;
  allowance.dropped = 0;
  return dropped;
}
