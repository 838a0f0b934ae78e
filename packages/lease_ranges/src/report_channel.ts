/**
 * Grants that travel in the answers to the server's status reports. An answer names all keys that the
 * server is to hold, and for how long, counted from when the report was sent; what it leaves out the server
 * lets go and reports as released. An answer that names no keys at all renews nothing. What the server lists
 * as held counts as held; keys that it does not list were let go only if it says so, or once the last grant
 * for them has surely ended.
 */
import { firstValueFrom, race, Subject, timer } from "rxjs";
import type {
  GrantRow,
  GrantRows,
  HeldKeys,
  ReleasedKeys,
  ServerReport,
} from "@bulrushwood/deployment";
import { encloses, type KeySpan, overlaps, without } from "@bulrushwood/ledger_store";
import {
  endOfGrant,
  type Grant,
  GRANT_MIN_MS,
  type GrantChannel,
  type GrantContext,
  type Handover,
} from "./grant_channel.ts";

/** An answer must be there so long before a report when that report is to show its effect, in milliseconds. */
const SETTLE_MS = 50;
/** A grant that so many answers in a row carried in vain needs a newer epoch. */
const MISSES_MAX = 2;

/**
 * Reports that a grant outlives: one may be lost, and the next brings the renewal.
 */
const GRANT_REPORTS = 2;
/** Added to the time of those reports, in milliseconds: age of the votes at a renewal, and margins. */
const GRANT_REPORTS_MARGIN_MS = 700;

/** How long votes run where grants travel in reports: grants rest on them from one renewal to the next. */
export function reportSupportMs(reportEveryMs: number): number {
  return reportEveryMs * GRANT_REPORTS + GRANT_REPORTS_MARGIN_MS;
}

/** Rules that the checker may take out to show that it finds what they prevent. */
export interface ReportRules {
  /** Keys count as released only by reports that follow an answer which left them out. */
  awaitLeftOut: boolean;
  /** Keys that a report does not list count as held until their grants have ended by their own time. */
  awaitUnlisted: boolean;
  /** Keys that a report lists as held were not let go, whatever it says besides. */
  believeHeld: boolean;
}

/** All rules in force. */
export const ALL_REPORT_RULES: ReportRules = {
  awaitLeftOut: true,
  awaitUnlisted: true,
  believeHeld: true,
};

/** What a channel of reports needs besides the grants. */
export interface ReportChannelOptions {
  /** How long an answer may be kept open for news, in milliseconds; 0 for not at all. */
  holdOpenMs: number;
  /** Rows that one answer may carry; the acknowledgement's size is limited. */
  rowsMax: number;
  rules?: ReportRules;
}

/** One answer. Times are by this process's clock. */
interface SentAnswer {
  sequence: number;
  rows: KeySpan[];
  /** When it had left this process; undefined until then. */
  sentAt: number | undefined;
  /** When its grants have ended at the server for certain. */
  endsBy: number;
}

/** Keys that are being taken back. */
interface Release {
  span: KeySpan;
  /** The first report whose answer left the keys out; undefined until then. */
  leftOutAt: number | undefined;
  released: Handover[];
  done: Subject<void>;
}

/** Grants keys in the answers to status reports. */
export class ReportChannel implements GrantChannel {
  readonly #context: GrantContext;
  readonly #options: ReportChannelOptions;
  readonly #rules: ReportRules;
  /** Emits when an answer that is kept open should be given. */
  readonly #news = new Subject<void>();
  readonly #releases = new Set<Release>();
  readonly #misses = new WeakMap<Grant, number>();
  #answers: SentAnswer[] = [];
  /** The life of the server that the answers went to. */
  #life = "";
  #newest = Number.NEGATIVE_INFINITY;

  constructor(context: GrantContext, options: ReportChannelOptions) {
    this.#context = context;
    this.#options = options;
    this.#rules = options.rules ?? ALL_REPORT_RULES;
  }

  /** A grant is renewed by the answer to the next report; only new ones are news. */
  renew(): void {
    if (this.#context.grants().some(({ isConfirmed }) => !isConfirmed)) {
      this.#news.next();
    }
  }

  /**
   * Takes a report that is newer than all before, and decides its answer. The result is undefined where
   * nothing may be granted; `noteSent` is to be called when the answer has left.
   */
  async answer(
    report: ServerReport,
    options: { mayWait: boolean },
  ): Promise<{ grants: GrantRows; noteSent: () => void } | undefined> {
    const receivedAt = this.#context.now();
    const life = `${report.id}@${report.bornMs}`;
    if (life !== this.#life) {
      this.#life = life;
      this.#newest = Number.NEGATIVE_INFINITY;
    }
    this.#newest = report.sequence;
    // An answer that is still open belongs to an older report now.
    this.#news.next();
    this.#learn(report, receivedAt);
    if (options.mayWait && this.#isUpToDate(report)) {
      await firstValueFrom(race(this.#news, timer(this.#options.holdOpenMs)), {
        defaultValue: undefined,
      });
    }
    const isNewest = this.#life === life && this.#newest === report.sequence;
    return isNewest ? this.#grant(report, receivedAt) : undefined;
  }

  /** Whether the server holds just what it should. */
  #isUpToDate({ held }: ServerReport): boolean {
    const grants = this.#context.grants();
    const isComplete = grants.every((grant) => coveredBy(grant, held));
    return isComplete && held.every((keys) => without(keys, [...grants]).length === 0);
  }

  #grant(
    report: ServerReport,
    receivedAt: number,
  ): { grants: GrantRows; noteSent: () => void } | undefined {
    const { now, grants, grantableMs } = this.#context;
    // The server counts from when it sent the report, so time in which the answer was kept open is past.
    const durationMs = grantableMs(receivedAt);
    if (receivedAt + durationMs - now() < GRANT_MIN_MS) {
      return undefined;
    }
    const granted = this.#chooseGrants();
    const answer: SentAnswer = {
      sequence: report.sequence,
      rows: granted.map(({ first, last }) => ({ first, last })),
      sentAt: undefined,
      endsBy: endOfGrant(receivedAt, durationMs),
    };
    this.#answers = this.#answers.filter(({ endsBy }) => endsBy > now()).concat(answer);
    for (const release of this.#releases) {
      release.leftOutAt ??= report.sequence;
    }
    const rows = toRows(granted, this.#context.handoverOf);
    const noteSent = () => {
      answer.sentAt = now();
      const present = granted.filter((grant) => grants().includes(grant));
      const isFirst = present.some(({ isConfirmed }) => !isConfirmed);
      for (const grant of present) {
        grant.until = receivedAt + durationMs;
        grant.isConfirmed = true;
      }
      if (isFirst) {
        this.#context.onChanged();
      }
    };
    return { grants: { rows, durationMs }, noteSent };
  }

  /** Grants that one answer can carry; those that the server has go first, since it lets go of the rest. */
  #chooseGrants(): Grant[] {
    const { grants, onFailed } = this.#context;
    const { rowsMax } = this.#options;
    const all = [...grants()];
    if (all.length <= rowsMax) {
      return all;
    }
    const left = all.sort((one, other) => Number(other.isConfirmed) - Number(one.isConfirmed))
      .splice(rowsMax);
    onFailed("grant", `${left.length} grants are more than one answer carries`, left[0]);
    return all;
  }

  /** Learns from a report what the server holds and what it let go. */
  #learn(report: ServerReport, receivedAt: number): void {
    for (const release of this.#releases) {
      const isAfter = release.leftOutAt !== undefined && report.sequence > release.leftOutAt;
      if (
        (isAfter || !this.#rules.awaitLeftOut) &&
        takeReleased(release, report, { rules: this.#rules })
      ) {
        release.done.next();
      }
    }
    const last = this.#answers.findLast(({ sentAt }) => sentAt !== undefined);
    const isShown = last?.sentAt !== undefined && last.sequence < report.sequence &&
      receivedAt - last.sentAt >= SETTLE_MS;
    if (isShown) {
      this.#checkTaken(last, report.held);
    }
  }

  /** A grant that the server did not take is given again, at last with a newer epoch. */
  #checkTaken(answer: SentAnswer, held: HeldKeys[]): void {
    const { grants, onChanged, onOutdated, onFailed } = this.#context;
    for (const grant of grants().filter(({ isConfirmed }) => isConfirmed)) {
      const wasSent = answer.rows.some((row) => encloses(row, grant));
      if (!wasSent || coveredBy(grant, held)) {
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
    options: { isServerGone: boolean },
  ): Promise<Handover[]> {
    const { now, sleep, earlierEndBy } = this.#context;
    const { first, last } = span;
    const granted = this.#answers.filter(({ rows }) => rows.some((row) => overlaps(row, span)));
    const endsBy = Math.max(earlierEndBy, ...granted.map((answer) => answer.endsBy));
    const leftMs = Math.max(0, endsBy - now());
    if (options.isServerGone) {
      await sleep(leftMs);
      return [{ first, last, handover: null }];
    }
    const release: Release = {
      span: { first, last },
      leftOutAt: undefined,
      released: [],
      done: new Subject(),
    };
    this.#releases.add(release);
    this.#news.next();
    await Promise.race([
      firstValueFrom(release.done, { defaultValue: undefined }),
      sleep(leftMs),
    ]);
    this.#releases.delete(release);
    const rest = without(release.span, release.released);
    return [...release.released, ...rest.map((keys) => ({ ...keys, handover: null }))];
  }

  close(): void {
    this.#news.complete();
    this.#releases.forEach(({ done }) => done.complete());
  }
}

/** Adds what a report says of keys that are being taken back; true once all of them are free. */
function takeReleased(
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
    const fresh = without(within, release.released);
    release.released.push(...fresh.map((part) => ({ ...part, handover: handoverOf(keys) })));
  }
  const isHeld = report.held.some((keys) => overlaps(keys, span));
  const isFree = !rules.awaitUnlisted || without(span, release.released).length === 0;
  return isFree && !(isHeld && rules.believeHeld);
}

function handoverOf({ handover }: ReleasedKeys): string | null {
  return handover === "" ? null : handover;
}

/** Whether the server reports all keys of a grant as held, with its epoch. */
function coveredBy(grant: Grant, held: HeldKeys[]): boolean {
  return without(grant, held.filter(({ epoch }) => epoch === grant.epoch)).length === 0;
}

/** Neighbours that differ in nothing but their keys share a row. */
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
