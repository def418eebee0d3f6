/** Token bucket whose depth accounts for the validity of grants. Times are in milliseconds. */
import type * as manifest from "../manifest/types.js";
import * as constants from "./constants.js";

/** Parameters of a bucket, derived from the rate of a customer. */
export interface Shape {
    readonly tokensPerMs: number;
    readonly depth: number;
    /** Time from sending an acquire call within which its grant may be used. */
    readonly validityMs: number;
}

export interface Bucket {
    /** Tokens at the time `at`; negative after a takeover that had to assume more grants than were made. */
    readonly level: number;
    readonly at: number;
}

/**
 * Derives the parameters.
 *
 * Grants made within any window of length `w` number at most `depth + rate x w`, and one is used up to the validity
 * later, so `depth = burst - rate x validity` keeps the admissions within `burst + rate x w`. The validity shrinks
 * where the depth would fall below 1. Below the smallest useful validity the depth stays 1 and the refill slows
 * instead: two admissions are then at least `(2 - burst) / rate` apart although the first may be used late.
 */
export function shapeOf(rate: manifest.Rate): Shape {
    const tokensPerMs = rate.requestsPerSecond / 1000;
    const slackMs = (rate.burst - 1) / tokensPerMs;
    if (slackMs >= constants.MINIMUM_GRANT_VALIDITY_MS) {
        const validityMs = Math.min(constants.GRANT_VALIDITY_MS, slackMs);
        return { tokensPerMs, depth: Math.max(1, rate.burst - tokensPerMs * validityMs), validityMs };
    }
    const validityMs = constants.MINIMUM_GRANT_VALIDITY_MS;
    return { tokensPerMs: 1 / (1 / tokensPerMs + validityMs - slackMs), depth: 1, validityMs };
}

export function levelAt(bucket: Bucket, shape: Shape, now: number): number {
    return Math.min(shape.depth, bucket.level + shape.tokensPerMs * Math.max(0, now - bucket.at));
}

/** Whole tokens available. The tolerance absorbs rounding of repeated refills and is far below one token. */
export function available(bucket: Bucket, shape: Shape, now: number): number {
    return Math.max(0, Math.floor(levelAt(bucket, shape, now) + ROUNDING_TOLERANCE));
}

const ROUNDING_TOLERANCE = 1e-9;

/** Removes tokens. */
export function take(bucket: Bucket, shape: Shape, now: number, count: number): Bucket {
    return { level: levelAt(bucket, shape, now) - count, at: now };
}

/** Milliseconds until `count` tokens are available; 0 when they are. */
export function waitFor(bucket: Bucket, shape: Shape, now: number, count: number): number {
    const missing = count - levelAt(bucket, shape, now);
    return missing <= ROUNDING_TOLERANCE ? 0 : missing / shape.tokensPerMs;
}

/** Settles the level under the old parameters, so that a change of the rate does not apply to time already past. */
export function reshape(bucket: Bucket, from: Shape, to: Shape, now: number): Bucket {
    return { level: Math.min(levelAt(bucket, from, now), to.depth), at: now };
}
