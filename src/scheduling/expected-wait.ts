/** How long a call will wait for a server, and when a caller that is refused is to retry. */
import type * as throughputs from "./service-throughput.js";

/** Calls that wait for a server before a call. */
export interface QueueAhead {
    readonly sameRank: number;
    readonly moreUrgent: number;
}

/** Shortest delay in milliseconds after which a caller retries. */
const MINIMUM_RETRY_MS = 50;
/** Callers wait no longer than this share of the time that they have left. */
const MAXIMUM_RETRY_SHARE = 1 / 3;
/** Range of the delays around the expected time, so that refused callers do not retry all at once. */
const RETRY_SPREAD = { from: 0.75, to: 1.25 } as const;
/** Share by which the least urgent calls retry later than the most urgent ones. */
const RANK_DELAY_SHARE = 0.5;

/**
 * Expected wait in milliseconds, 0 with no call ahead and undefined if it is not known. The calls ahead are placed at the
 * recent rate; what more urgent ones use of it is not there for the less urgent.
 */
export function expectedWaitMs(
    rank: number,
    ahead: QueueAhead,
    throughput: throughputs.Throughput | undefined,
): number | undefined {
    if (ahead.sameRank + ahead.moreUrgent === 0) {
        return 0;
    }
    if (throughput === undefined) {
        return undefined;
    }
    return ahead.moreUrgent / throughput.rateFrom(undefined) + ahead.sameRank / throughput.rateFrom(rank);
}

/**
 * Whether the call is known not to be placed while that is of use. A wait that is not known is no reason, and one that is
 * known may be shorter by the time of one call, since servers may take the next calls all at once.
 */
export function isFutile(
    waitMs: number | undefined,
    { usefulUntil, callMs }: { readonly usefulUntil: number; readonly callMs: number; },
    now: number,
): boolean {
    return waitMs !== undefined && waitMs > 0 && now + waitMs - callMs > usefulUntil;
}

export interface RetryAdvice {
    /** Time in milliseconds until the caller is most likely served. */
    readonly availableInMs: number;
    readonly rank: number;
    readonly ranks: number;
    /** Time in milliseconds until the deadline of the call. */
    readonly remainingMs: number;
    /** Place of the call in the spread, from 0 to 1. */
    readonly share: number;
}

/** Delay in milliseconds after which a refused caller retries. */
export function retryAfterMs({ availableInMs, rank, ranks, remainingMs, share }: RetryAdvice): number {
    const spread = RETRY_SPREAD.from + (RETRY_SPREAD.to - RETRY_SPREAD.from) * share;
    const rankFactor = 1 + RANK_DELAY_SHARE * rank / Math.max(1, ranks - 1);
    const longestMs = Math.max(MINIMUM_RETRY_MS, remainingMs * MAXIMUM_RETRY_SHARE);
    return Math.min(longestMs, Math.max(MINIMUM_RETRY_MS, availableInMs * spread * rankFactor));
}
