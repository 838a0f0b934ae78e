/**
 * Sends grants in the responses to the server's status reports. A response lists all keys that the server is
 * to hold, and for how long, counted from when the report was sent; the server releases keys that are not
 * listed and reports them as released. A response without any keys renews nothing. Keys that the server lists
 * as held count as held. Keys that it doesn't list count as released only if it reports so, or once the last
 * grant for them has certainly ended.
 */
import { firstValueFrom, map, race, Subject, timer } from "rxjs";
import {
  type GrantRow,
  type GrantRows,
  type HeldKeys,
  incarnationName,
  type ReleasedKeys,
  type ServerReport,
} from "@bulrushwood/deployment";
import { encloses, type KeySpan, overlaps, without } from "@bulrushwood/ledger_store";
import {
  awaitGrantsEnd,
  endOfGrant,
  type Grant,
  GRANT_MIN_MS,
  type GrantChannel,
  type GrantContext,
  type Handover,
} from "./grant_channel.ts";

/** Shortest time between a response and a report that must show its effect, in milliseconds. */
const SETTLE_MS = 50;
/** Number of consecutive responses without effect after which a grant needs a newer epoch. */
const MISSES_MAX = 2;

/** Number of report intervals that a grant outlasts: one report may be lost, and the next brings the renewal. */
const GRANT_REPORTS = 2;
/** Time added to those intervals, in milliseconds; covers the age of the votes at a renewal, and margins. */
const GRANT_REPORTS_MARGIN_MS = 700;

/**
 * Returns how long votes run where grants are sent in responses to reports, in milliseconds: the votes must
 * support a grant until its next renewal.
 */
export function reportSupportMs(reportEveryMs: number): number {
  return reportEveryMs * GRANT_REPORTS + GRANT_REPORTS_MARGIN_MS;
}

/** Safety rules; the checker turns single rules off to show that it finds the faults that they prevent. */
export interface ReportRules {
  /** Keys count as released only by reports that follow a response without them. */
  awaitOmission: boolean;
  /** Keys that a report doesn't list count as held until their grants have expired. */
  awaitUnlisted: boolean;
  /** Keys that a report lists as held are not released, even if it also lists them as released. */
  trustHeld: boolean;
}

/** Enables all rules, as in production. */
export const ALL_REPORT_RULES: ReportRules = {
  awaitOmission: true,
  awaitUnlisted: true,
  trustHeld: true,
};

/** Limits of the responses, and the rules in force. */
export interface ReportChannelOptions {
  /** Longest time that a response is held open for changed grants, in milliseconds; 0 for not at all. */
  holdOpenMs: number;
  /** Largest number of rows in one response; the size of the acknowledgement is limited. */
  rowsMax: number;
  rules?: ReportRules;
}

/** One response to a report. Times are by this process's clock. */
interface SentResponse {
  sequence: number;
  rows: KeySpan[];
  /** Time at which the response had left this process; undefined until then. */
  sentAt: number | undefined;
  /** Time at which its grants have certainly ended at the server. */
  endsBy: number;
}

/** Keys that are being revoked. */
interface Release {
  span: KeySpan;
  /** Sequence number of the first report whose response omitted the keys; undefined until then. */
  omittedAt: number | undefined;
  released: Handover[];
  done: Subject<void>;
}

/** Why the wait of a response that is held open ends. */
enum Wake {
  ResponseDue = "response-due",
  TimedOut = "timed-out",
  Closed = "closed",
}

/** Grants keys in the responses to status reports. */
export class ReportChannel implements GrantChannel {
  readonly #context: GrantContext;
  readonly #options: ReportChannelOptions;
  readonly #rules: ReportRules;
  /** Emits when a response that is held open must be sent. */
  readonly #respondNow = new Subject<void>();
  readonly #releases = new Set<Release>();
  readonly #misses = new WeakMap<Grant, number>();
  #responses: SentResponse[] = [];
  /** Incarnation of the server that the responses were sent to. */
  #incarnation = "";
  #newestSequence = Number.NEGATIVE_INFINITY;

  constructor(context: GrantContext, options: ReportChannelOptions) {
    this.#context = context;
    this.#options = options;
    this.#rules = options.rules ?? ALL_REPORT_RULES;
  }

  /** Ends the wait of an open response if a grant is new; the next response renews the other grants anyway. */
  renew(): void {
    if (this.#context.grants().some(({ isConfirmed }) => !isConfirmed)) {
      this.#respondNow.next();
    }
  }

  /**
   * Processes a report that is newer than all before and decides the grants in its response. The result is
   * undefined where nothing may be granted. The caller calls `recordSent` once the response has been sent.
   */
  async respond(
    report: ServerReport,
    options: { mayWait: boolean },
  ): Promise<{ grants: GrantRows; recordSent: () => void } | undefined> {
    const receivedAt = this.#context.now();
    const incarnation = incarnationName(report);
    if (incarnation !== this.#incarnation) {
      this.#incarnation = incarnation;
      this.#resetGrants();
    }
    this.#newestSequence = report.sequence;
    // A response that is still open belongs to an older report now.
    this.#respondNow.next();
    this.#processReport(report, receivedAt);
    const isNewest = () =>
      this.#incarnation === incarnation && this.#newestSequence === report.sequence;
    if (options.mayWait) {
      const mayRespond = () => !isNewest() || this.#isGrantable(receivedAt);
      await this.#holdOpen({ isDue: !this.#isUpToDate(report), mayRespond });
    }
    return isNewest() ? this.#grant(report, receivedAt) : undefined;
  }

  /** A new incarnation of the server holds no keys, whatever an earlier one was granted. */
  #resetGrants(): void {
    const confirmed = this.#context.grants().filter(({ isConfirmed }) => isConfirmed);
    for (const grant of confirmed) {
      grant.isConfirmed = false;
      grant.until = 0;
    }
    if (confirmed.length > 0) {
      this.#context.onChanged();
    }
  }

  /** Waits until a response is due and may be sent, at most for the time that responses are held open. */
  async #holdOpen(response: { isDue: boolean; mayRespond: () => boolean }): Promise<void> {
    const { now } = this.#context;
    const until = now() + this.#options.holdOpenMs;
    let { isDue } = response;
    while (now() < until && !(isDue && response.mayRespond())) {
      const wake = await firstValueFrom(
        race(
          this.#respondNow.pipe(map(() => Wake.ResponseDue)),
          timer(until - now()).pipe(map(() => Wake.TimedOut)),
        ),
        { defaultValue: Wake.Closed },
      );
      if (wake !== Wake.ResponseDue) {
        return;
      }
      isDue = true;
    }
  }

  /** Returns whether a response to a report may grant keys now. */
  #isGrantable(receivedAt: number): boolean {
    const { now, grantableMs } = this.#context;
    return receivedAt + grantableMs(receivedAt) - now() >= GRANT_MIN_MS;
  }

  /** Returns whether the server holds exactly the keys that it is granted. */
  #isUpToDate({ held }: ServerReport): boolean {
    const grants = this.#context.grants();
    const isComplete = grants.every((grant) => coveredBy(grant, held));
    return isComplete && held.every((keys) => without(keys, [...grants]).length === 0);
  }

  #grant(
    report: ServerReport,
    receivedAt: number,
  ): { grants: GrantRows; recordSent: () => void } | undefined {
    const { now, grants, grantableMs } = this.#context;
    // The server counts from when it sent the report, so the time that the response was held open is used up.
    const durationMs = grantableMs(receivedAt);
    if (receivedAt + durationMs - now() < GRANT_MIN_MS) {
      return undefined;
    }
    const granted = this.#chooseGrants();
    const response: SentResponse = {
      sequence: report.sequence,
      rows: granted.map(({ first, last }) => ({ first, last })),
      sentAt: undefined,
      endsBy: endOfGrant(receivedAt, durationMs),
    };
    this.#responses = this.#responses.filter(({ endsBy }) => endsBy > now()).concat(response);
    for (const release of this.#releases) {
      release.omittedAt ??= report.sequence;
    }
    const rows = toRows(granted, this.#context.handoverOf);
    const recordSent = () => {
      response.sentAt = now();
      const current = granted.filter((grant) => grants().includes(grant));
      for (const grant of current) {
        grant.until = receivedAt + durationMs;
        grant.isConfirmed = true;
      }
      if (current.length > 0) {
        this.#context.onChanged();
      }
    };
    return { grants: { rows, durationMs }, recordSent };
  }

  /** Chooses the grants that fit one response; confirmed ones go first, since the server releases the rest. */
  #chooseGrants(): Grant[] {
    const { grants, onFailed } = this.#context;
    const { rowsMax } = this.#options;
    const all = [...grants()];
    if (all.length <= rowsMax) {
      return all;
    }
    const excess = all.sort((one, other) => Number(other.isConfirmed) - Number(one.isConfirmed))
      .splice(rowsMax);
    onFailed("grant", `${excess.length} grants exceed the size of one response`, excess[0]);
    return all;
  }

  /** Updates grants and pending releases by what a report lists as held and released. */
  #processReport(report: ServerReport, receivedAt: number): void {
    for (const release of this.#releases) {
      const isAfter = release.omittedAt !== undefined && report.sequence > release.omittedAt;
      if (
        (isAfter || !this.#rules.awaitOmission) &&
        addReleased(release, report, { rules: this.#rules })
      ) {
        release.done.next();
      }
    }
    const last = this.#responses.findLast(({ sentAt }) => sentAt !== undefined);
    const isEffectVisible = last?.sentAt !== undefined && last.sequence < report.sequence &&
      receivedAt - last.sentAt >= SETTLE_MS;
    if (isEffectVisible) {
      this.#checkAccepted(last, report.held);
    }
  }

  /** Resets grants that the server did not accept, so that they are sent again, and finally with a newer epoch. */
  #checkAccepted(response: SentResponse, held: HeldKeys[]): void {
    const { grants, onChanged, onOutdated, onFailed } = this.#context;
    for (const grant of grants().filter(({ isConfirmed }) => isConfirmed)) {
      const wasGranted = response.rows.some((row) => encloses(row, grant));
      if (!wasGranted || coveredBy(grant, held)) {
        this.#misses.delete(grant);
        continue;
      }
      const misses = (this.#misses.get(grant) ?? 0) + 1;
      this.#misses.set(grant, misses);
      onFailed("grant", "the server does not report the keys as held", grant);
      grant.isConfirmed = false;
      grant.until = 0;
      onChanged();
      if (misses >= MISSES_MAX) {
        onOutdated(grant);
      }
    }
  }

  async release(
    span: KeySpan & { epoch: number },
    options: { isServerLost: boolean },
  ): Promise<Handover[]> {
    const { now, sleep, earlierGrantsEndBy } = this.#context;
    const { first, last } = span;
    const granted = this.#responses.filter(({ rows }) => rows.some((row) => overlaps(row, span)));
    const endsBy = Math.max(earlierGrantsEndBy(), ...granted.map((response) => response.endsBy));
    const remainingMs = Math.max(0, endsBy - now());
    if (options.isServerLost) {
      await awaitGrantsEnd(this.#context, endsBy);
      return [{ first, last, handover: null }];
    }
    const release: Release = {
      span: { first, last },
      omittedAt: undefined,
      released: [],
      done: new Subject(),
    };
    this.#releases.add(release);
    this.#respondNow.next();
    await Promise.race([
      firstValueFrom(release.done, { defaultValue: undefined }),
      sleep(remainingMs),
    ]);
    this.#releases.delete(release);
    const rest = without(release.span, release.released);
    return [...release.released, ...rest.map((keys) => ({ ...keys, handover: null }))];
  }

  close(): void {
    this.#respondNow.complete();
    this.#releases.forEach(({ done }) => done.complete());
  }
}

/** Adds the keys that a report lists as released to a release; returns true once the release is complete. */
function addReleased(
  release: Release,
  report: ServerReport,
  options: { rules: ReportRules },
): boolean {
  const { rules } = options;
  const { span } = release;
  for (const keys of report.released) {
    if (!overlaps(keys, span)) {
      continue;
    }
    const within = {
      first: Math.max(keys.first, span.first),
      last: Math.min(keys.last, span.last),
    };
    const added = without(within, release.released);
    release.released.push(...added.map((part) => ({ ...part, handover: handoverOf(keys) })));
  }
  const isHeld = report.held.some((keys) => overlaps(keys, span));
  const isFree = !rules.awaitUnlisted || without(span, release.released).length === 0;
  return isFree && !(isHeld && rules.trustHeld);
}

function handoverOf({ handover }: ReleasedKeys): string | null {
  return handover === "" ? null : handover;
}

/** Returns whether the server reports all keys of a grant as held, with the grant's epoch. */
function coveredBy(grant: Grant, held: HeldKeys[]): boolean {
  return without(grant, held.filter(({ epoch }) => epoch === grant.epoch)).length === 0;
}

/** Converts grants to rows; neighbouring grants that differ only in their keys share a row. */
function toRows(grants: Grant[], handoverOf: GrantContext["handoverOf"]): GrantRow[] {
  const rows: GrantRow[] = [];
  for (const grant of grants.toSorted((one, other) => one.first - other.first)) {
    const { first, last, epoch } = grant;
    const handover = grant.isConfirmed ? undefined : handoverOf(grant);
    const previous = rows.at(-1);
    const isNext = previous !== undefined && previous.last + 1 === first &&
      previous.epoch === epoch && previous.handover === handover;
    if (isNext) {
      previous.last = last;
    } else {
      rows.push({ first, last, epoch, handover });
    }
  }
  return rows;
}
