/** Token bucket whose depth is reduced because grants may be used late. Times are in milliseconds. */
import type * as manifest from "../manifest/types.js";
import * as constants from "./constants.js";

/** Bucket parameters derived from the rate of a customer. */
export interface BucketParameters {
    readonly tokensPerMs: number;
    readonly depth: number;
    /** Time from sending an acquire call within which its grant may be used. */
    readonly validityMs: number;
}

export interface Bucket {
    /** Tokens at `updatedAt`. Negative after a takeover that had to assume more grants than there were tokens. */
    readonly level: number;
    readonly updatedAt: number;
}

/**
 * Derives the parameters of a bucket from a rate.
 *
 * At most `depth + rate x w` grants are made in any window of length `w`. A grant may be used until its validity ends,
 * so `depth = burst - rate x validity` keeps the admissions within `burst + rate x w`. The validity is reduced where the
 * depth would fall below 1. At the minimum validity the depth stays at 1 and the refill is slowed instead: two
 * admissions are then at least `(2 - burst) / rate` apart even if the first grant is used late.
 */
export function parametersOf(rate: manifest.Rate): BucketParameters {
    const tokensPerMs = rate.requestsPerSecond / 1000;
    const slackMs = (rate.burst - 1) / tokensPerMs;
    if (slackMs >= constants.MINIMUM_GRANT_VALIDITY_MS) {
        const validityMs = Math.min(constants.GRANT_VALIDITY_MS, slackMs);
        return { tokensPerMs, depth: Math.max(1, rate.burst - tokensPerMs * validityMs), validityMs };
    }
    const validityMs = constants.MINIMUM_GRANT_VALIDITY_MS;
    return { tokensPerMs: 1 / (1 / tokensPerMs + validityMs - slackMs), depth: 1, validityMs };
}

export function levelAt(bucket: Bucket, parameters: BucketParameters, now: number): number {
    return Math.min(parameters.depth, bucket.level + parameters.tokensPerMs * Math.max(0, now - bucket.updatedAt));
}

/** Whole tokens available. The tolerance absorbs rounding errors of repeated refills; it is far below one token. */
export function available(bucket: Bucket, parameters: BucketParameters, now: number): number {
    return Math.max(0, Math.floor(levelAt(bucket, parameters, now) + ROUNDING_TOLERANCE));
}

const ROUNDING_TOLERANCE = 1e-9;

export function take(bucket: Bucket, parameters: BucketParameters, now: number, count: number): Bucket {
    return { level: levelAt(bucket, parameters, now) - count, updatedAt: now };
}

/** Milliseconds until `count` tokens are available; 0 if they already are. */
export function msUntilAvailable(bucket: Bucket, parameters: BucketParameters, now: number, count: number): number {
    const missing = count - levelAt(bucket, parameters, now);
    return missing <= ROUNDING_TOLERANCE ? 0 : missing / parameters.tokensPerMs;
}

/** Applies new parameters. The level is first refilled with the old ones, so that a new rate is not retroactive. */
export function changeParameters(bucket: Bucket, from: BucketParameters, to: BucketParameters, now: number): Bucket {
    return { level: Math.min(levelAt(bucket, from, now), to.depth), updatedAt: now };
}
